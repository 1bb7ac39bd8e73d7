package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import olivechute.error.FleetException;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.StageSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rollout.PriorityWeights;
import org.junit.jupiter.api.Test;

/**
 * The controller with the real decisions: a change that does no worse completes, and two alternating leaders reach the
 * same result.
 */
class RolloutIntegrationTest {
    private static final int NODES = 8;
    private static final int MAX_ROUNDS = 2000;

    private static ReconcilePlan.StepFunction stepFunction() {
        return new ControllerSettings(
                        PriorityWeights.equalWeights(java.util.List.of(100L, 1000L, 10_000L)), Duration.ofSeconds(1))
                .stepFunction();
    }

    private static ControllerRig rigWithProposedChange() throws FleetException {
        ControllerRig rig = new ControllerRig(NODES, stepFunction());
        rig.rounds(10);
        rig.client.propose(
                ChangeSpec.newBuilder()
                        .setId("v2")
                        .setMostAway(1)
                        .setReadyWithinMs(30_000)
                        .addStages(StageSpec.newBuilder()
                                .setNodes(2)
                                .setLeastMs(60_000)
                                .setLongestMs(900_000)
                                .setLeastJobs(100))
                        .addStages(StageSpec.newBuilder()
                                .setPercent(100)
                                .setLeastMs(30_000)
                                .setLongestMs(900_000)
                                .setLeastJobs(100))
                        .build(),
                VersionSpec.newBuilder().setId("v2").build());
        return rig;
    }

    private static void assertCompleted(ControllerRig rig, Set<String> seen) throws FleetException {
        rig.rounds(2);
        assertEquals("DONE", rig.pastChange("v2").getPhase(), seen.toString());
        assertEquals("v2", rig.client.fleetState().baseVersion());
        assertEquals(Set.of("v2"), rig.fleet.versions());
        rig.assertOrderedVersions(List.of("v1", "v2"));
    }

    @Test
    void changePassesItsStages() throws FleetException {
        ControllerRig rig = rigWithProposedChange();
        Set<String> seen = new TreeSet<>();
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            seen.add(rig.currentChange().getPhase() + rig.currentChange().getStage());
            assertTrue(rig.fleet.notReadyCount() <= 1, "more than one away in round " + i);
            rig.round();
        }
        assertCompleted(rig, seen);
        assertTrue(
                seen.containsAll(Set.of("PROPOSED0", "MOVING0", "WATCHING0", "MOVING1", "WATCHING1")), seen.toString());
    }

    /** Every seventh round another controller takes the lead, which starts with nothing but the store. */
    @Test
    void alternatingLeadersCompleteTheChange() throws FleetException {
        ControllerRig rig = rigWithProposedChange();
        Set<String> seen = new TreeSet<>();
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            seen.add(rig.currentChange().getPhase() + rig.currentChange().getStage() + " "
                    + rig.currentChange().getReason());
            if (i % 7 == 6) {
                rig.clock.advance(RolloutController.LEASE_TTL.toMillis() + 1);
            }
            (i / 7 % 2 == 0 ? rig.firstController : rig.secondController).tick();
            rig.advanceFleet();
        }
        assertCompleted(rig, seen);
    }

    @Test
    void isStoppedAndRolledBack() throws FleetException {
        ControllerRig rig = rigWithProposedChange();
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            if (rig.currentChange().getPhase().equals("WATCHING")) {
                rig.client.stop();
            }
            assertTrue(rig.fleet.notReadyCount() <= 1, "more than one away in round " + i);
            rig.round();
        }
        assertEquals("STOPPED", rig.pastChange("v2").getPhase());
        assertEquals(Set.of("v1"), rig.fleet.versions());
        assertEquals("v1", rig.client.fleetState().baseVersion());
        assertEquals(List.of(), rig.orderLog.violations);
    }
}
