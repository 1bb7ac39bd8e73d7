package olivechute.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Each transition between phases, and each operator action in each phase. */
class RolloutTest {
    private static Arguments transition(
            String name, RolloutPhase from, Consumer<SmallFleet> event, RolloutPhase to, String reason) {
        return Arguments.of(name, from, event, to, reason);
    }

    private static void setZoneLost(SmallFleet fleet, String zone, boolean lost) {
        fleet.nodes.stream().filter(node -> node.zone.equals(zone)).forEach(node -> {
            node.reachable = !lost;
            node.frozen = lost;
        });
    }

    static Stream<Arguments> transitions() {
        return Stream.of(
                transition(
                        "measures the baseline first",
                        RolloutPhase.PROPOSED,
                        fleet -> fleet.run(10),
                        RolloutPhase.PROPOSED,
                        "learns how the nodes usually differ"),
                transition(
                        "moves after the baseline",
                        RolloutPhase.PROPOSED,
                        fleet -> fleet.run(20),
                        RolloutPhase.MOVING,
                        "stage 1: brings 1 of 6 nodes"),
                transition(
                        "no metrics at all",
                        RolloutPhase.PROPOSED,
                        fleet -> withoutTraffic(fleet).run(121),
                        RolloutPhase.HELD,
                        "no node reported metrics"),
                transition(
                        "metrics arrive late",
                        RolloutPhase.PROPOSED,
                        fleet -> {
                            withoutTraffic(fleet).run(121);
                            fleet.trafficOn = true;
                            fleet.run(12);
                        },
                        RolloutPhase.MOVING,
                        "stage 1"),
                transition(
                        "all nodes of the stage serve",
                        RolloutPhase.MOVING,
                        fleet -> fleet.run(6),
                        RolloutPhase.WATCHING,
                        "stage 1"),
                transition(
                        "a zone lost while it moves",
                        RolloutPhase.PROPOSED,
                        fleet -> {
                            fleet.run(20);
                            setZoneLost(fleet, "b", true);
                            fleet.run(2);
                        },
                        RolloutPhase.HELD,
                        "3 nodes are away, 1 may be"),
                transition(
                        "the zone is back",
                        RolloutPhase.PROPOSED,
                        fleet -> {
                            fleet.run(20);
                            setZoneLost(fleet, "b", true);
                            fleet.run(60);
                            setZoneLost(fleet, "b", false);
                            fleet.run(8);
                        },
                        RolloutPhase.WATCHING,
                        "stage 1"),
                transition(
                        "minimum duration not over",
                        RolloutPhase.WATCHING,
                        fleet -> fleet.run(18),
                        RolloutPhase.WATCHING,
                        "of at least 20 s"),
                transition(
                        "passes",
                        RolloutPhase.WATCHING,
                        fleet -> fleet.run(21).runUntil(RolloutPhase.MOVING),
                        RolloutPhase.MOVING,
                        "stage 1 passed"),
                transition(
                        "no traffic",
                        RolloutPhase.WATCHING,
                        fleet -> withoutTraffic(fleet).run(121),
                        RolloutPhase.HELD,
                        "too little evidence"),
                transition(
                        "evidence arrives late",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            withoutTraffic(fleet).run(121);
                            fleet.trafficOn = true;
                            fleet.run(20).runUntil(RolloutPhase.MOVING);
                        },
                        RolloutPhase.MOVING,
                        "stage 1 passed"),
                transition(
                        "worse",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            fleet.servedPercentAtNew = 70;
                            fleet.run(60);
                        },
                        RolloutPhase.STOPPED,
                        "served 0.700 at new nodes against 0.900 at old ones"),
                transition(
                        "breaks a rule",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            fleet.firstMovedNode().ruleViolations = 1;
                            fleet.run(1);
                        },
                        RolloutPhase.ROLLING_BACK,
                        "broke 1 rules under the new version"),
                transition(
                        "crashes once",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            fleet.firstMovedNode().crashes = 1;
                            fleet.run(1);
                        },
                        RolloutPhase.WATCHING,
                        "stage 1"),
                transition(
                        "crashes twice",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            fleet.firstMovedNode().crashes = 2;
                            fleet.run(1);
                        },
                        RolloutPhase.ROLLING_BACK,
                        "crashed 2 times"),
                transition(
                        "refused",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            fleet.firstMovedNode().phase = NodePhase.REFUSED;
                            fleet.firstMovedNode().frozen = true;
                            fleet.firstMovedNode().lastError = "key x";
                            fleet.run(1);
                        },
                        RolloutPhase.ROLLING_BACK,
                        "refused the new version: key x"),
                transition(
                        "not ready",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            freezeWhileStarting(fleet);
                            fleet.run(12);
                        },
                        RolloutPhase.ROLLING_BACK,
                        "is not ready 11 s after it was to be, 10 s are allowed"),
                transition(
                        "not ready and unreachable",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            freezeWhileStarting(fleet);
                            fleet.firstMovedNode().reachable = false;
                            fleet.run(200);
                        },
                        RolloutPhase.HELD,
                        "1 nodes are away, 1 may be"),
                transition(
                        "a zone lost while it watches",
                        RolloutPhase.WATCHING,
                        fleet -> {
                            setZoneLost(fleet, fleet.firstMovedNode().zone, true);
                            fleet.run(300);
                        },
                        RolloutPhase.HELD,
                        "3 nodes are away"),
                transition(
                        "rolled back",
                        RolloutPhase.ROLLING_BACK,
                        fleet -> fleet.run(30),
                        RolloutPhase.STOPPED,
                        "stopped by an operator"),
                transition(
                        "rolled back but not ready",
                        RolloutPhase.ROLLING_BACK,
                        fleet -> {
                            fleet.run(1);
                            fleet.nodes.stream()
                                    .filter(node -> node.orderedVersion != null)
                                    .findFirst()
                                    .orElseThrow()
                                    .frozen = true;
                            fleet.run(9);
                        },
                        RolloutPhase.ROLLING_BACK,
                        "stopped by an operator"),
                transition(
                        "an ended one stays",
                        RolloutPhase.DONE,
                        fleet -> fleet.run(5),
                        RolloutPhase.DONE,
                        "all 6 nodes run the new version"),
                transition(
                        "a stopped one stays",
                        RolloutPhase.STOPPED,
                        fleet -> fleet.run(5),
                        RolloutPhase.STOPPED,
                        "stopped by an operator"));
    }

    private static SmallFleet withoutTraffic(SmallFleet fleet) {
        fleet.trafficOn = false;
        return fleet;
    }

    private static void freezeWhileStarting(SmallFleet fleet) {
        fleet.firstMovedNode().phase = NodePhase.STARTING;
        fleet.firstMovedNode().frozen = true;
    }

    /** A fleet brought to a phase through the regular steps of a rollout. */
    private static SmallFleet fleetInPhase(RolloutPhase phase) throws RolloutException {
        SmallFleet fleet = SmallFleet.withThreeStages();
        switch (phase) {
            case PROPOSED -> fleet.run(0);
            case MOVING, WATCHING, DONE -> fleet.runUntil(phase);
            case HELD -> {
                fleet.runUntil(RolloutPhase.WATCHING);
                withoutTraffic(fleet).runUntil(RolloutPhase.HELD);
            }
            case PAUSED -> fleet.state = Rollout.pause(fleet.runUntil(RolloutPhase.WATCHING).state, fleet.nowMs);
            case ROLLING_BACK ->
                fleet.state = Rollout.stop(fleet.runUntil(RolloutPhase.WATCHING, 1).state, fleet.nowMs);
            default -> {
                fleet.state = Rollout.stop(fleet.runUntil(RolloutPhase.WATCHING).state, fleet.nowMs);
                fleet.runUntil(RolloutPhase.STOPPED);
            }
        }
        assertEquals(phase, fleet.state.phase(), fleet.state.reason());
        return fleet;
    }

    @ParameterizedTest(name = "{1}: {0}")
    @MethodSource("transitions")
    void phaseTransitions(String name, RolloutPhase from, Consumer<SmallFleet> event, RolloutPhase to, String reason)
            throws RolloutException {
        SmallFleet fleet = fleetInPhase(from);
        event.accept(fleet);
        assertEquals(to, fleet.state.phase(), fleet.state.reason());
        assertTrue(fleet.state.reason().contains(reason), fleet.state.reason());
        assertTrue(fleet.maxUnavailableSeen <= 1);
    }

    @ParameterizedTest
    @CsvSource({
        "PROPOSED, pause, PAUSED", "PROPOSED, resume, PROPOSED", "PROPOSED, stop, STOPPED",
        "MOVING, pause, PAUSED", "MOVING, resume, MOVING", "MOVING, stop, STOPPED",
        "WATCHING, pause, PAUSED", "WATCHING, resume, WATCHING", "WATCHING, stop, ROLLING_BACK",
        "HELD, pause, PAUSED", "HELD, resume, HELD", "HELD, stop, ROLLING_BACK",
        "PAUSED, pause, PAUSED", "PAUSED, resume, MOVING", "PAUSED, stop, ROLLING_BACK",
        "ROLLING_BACK, pause, CHANGE_INVALID", "ROLLING_BACK, resume, CHANGE_INVALID",
                "ROLLING_BACK, stop, ROLLING_BACK",
        "DONE, pause, CHANGE_UNKNOWN", "DONE, resume, CHANGE_UNKNOWN", "DONE, stop, CHANGE_UNKNOWN",
        "STOPPED, pause, CHANGE_UNKNOWN", "STOPPED, resume, CHANGE_UNKNOWN", "STOPPED, stop, CHANGE_UNKNOWN"
    })
    void operatorActionsAreDefinedInEachPhase(RolloutPhase phase, String action, String outcome)
            throws RolloutException {
        SmallFleet fleet = fleetInPhase(phase);
        if (outcome.startsWith("CHANGE_")) {
            RolloutException error = assertThrows(RolloutException.class, () -> applyAction(action, fleet));
            assertEquals(ErrorCode.valueOf(outcome), error.code());
        } else {
            assertEquals(
                    RolloutPhase.valueOf(outcome), applyAction(action, fleet).phase());
        }
    }

    private static RolloutState applyAction(String action, SmallFleet fleet) throws RolloutException {
        return switch (action) {
            case "pause" -> Rollout.pause(fleet.state, fleet.nowMs);
            case "resume" -> Rollout.resume(fleet.state, fleet.nowMs);
            default -> Rollout.stop(fleet.state, fleet.nowMs);
        };
    }

    @Test
    void aPausedChangeMovesNothingAndGoesOnWhereItWas() throws RolloutException {
        SmallFleet fleet = fleetInPhase(RolloutPhase.PAUSED);
        Set<String> moved = fleet.state.moved();
        fleet.run(300);
        assertEquals(moved, fleet.state.moved());
        fleet.state = Rollout.resume(fleet.state, fleet.nowMs);
        fleet.runUntil(RolloutPhase.DONE);
        assertEquals(RolloutPhase.DONE, fleet.state.phase(), fleet.state.reason());
    }

    @Test
    void anOperatorLetsAHeldStagePass() throws RolloutException {
        SmallFleet fleet = fleetInPhase(RolloutPhase.HELD);
        fleet.run(600);
        assertEquals(RolloutPhase.HELD, fleet.state.phase());
        fleet.state = Rollout.resume(fleet.state, fleet.nowMs);
        fleet.run(1);
        assertEquals(1, fleet.state.stage());
        assertTrue(fleet.state.reason().contains("by an operator's decision"), fleet.state.reason());
    }

    @Test
    void theSameInputsGiveTheSameDecision() {
        SmallFleet fleet = SmallFleet.withThreeStages();
        for (int s = 0; s < 300; s++) {
            fleet.nowMs += 1000;
            fleet.nodes.forEach(fleet::advanceNode);
            RolloutDecision one =
                    Rollout.step(fleet.state, fleet.statuses(), fleet.metrics(), SimFleet.WEIGHTS, fleet.nowMs);
            RolloutDecision two =
                    Rollout.step(fleet.state, fleet.statuses(), fleet.metrics(), SimFleet.WEIGHTS, fleet.nowMs);
            assertEquals(one.orders(), two.orders());
            assertEquals(one.nextState().reason(), two.nextState().reason());
            assertArrayEquals(one.nextState().evidence(), two.nextState().evidence());
            RolloutDecision again =
                    Rollout.step(one.nextState(), fleet.statuses(), fleet.metrics(), SimFleet.WEIGHTS, fleet.nowMs);
            if (fleet.state.phase() == RolloutPhase.WATCHING && one.nextState().phase() == RolloutPhase.WATCHING) {
                assertArrayEquals(one.nextState().evidence(), again.nextState().evidence(), "metrics count once");
            }
            fleet.step();
        }
        assertEquals(RolloutPhase.DONE, fleet.state.phase(), fleet.state.reason());
    }

    @Test
    void aNodeThatJoinsGetsTheVersionItsStageNames() {
        SmallFleet fleet = SmallFleet.withThreeStages().runUntil(RolloutPhase.WATCHING);
        SimNode joins = new SimNode("n9", "a");
        joins.version = "";
        joins.phase = NodePhase.DOWN;
        fleet.nodes.add(joins);
        fleet.step();
        assertEquals(Map.of("n9", "v1"), fleet.orders);
        fleet.runUntil(RolloutPhase.DONE);
        assertEquals("v2", joins.version);
    }

    @Test
    void unreachableNodesAreOrderedBack() throws RolloutException {
        SmallFleet fleet = fleetInPhase(RolloutPhase.WATCHING);
        SimNode node = fleet.firstMovedNode();
        node.reachable = false;
        fleet.state = Rollout.stop(fleet.state, fleet.nowMs);
        fleet.run(2);
        assertEquals("v1", node.orderedVersion);
        assertEquals(RolloutPhase.STOPPED, fleet.state.phase(), fleet.state.reason());
    }

    @Test
    void unreadableEvidenceRestartsTheComparisonAndIsReported() {
        SmallFleet fleet = SmallFleet.withThreeStages().runUntil(RolloutPhase.WATCHING);
        byte[] broken = fleet.state.evidence().clone();
        broken[broken.length / 2] ^= 1;
        RolloutState was = fleet.state;
        fleet.state = new RolloutState(
                was.spec(), was.phase(), was.stage(), was.stageSinceMs(), was.reason(), was.moved(), broken);
        fleet.step();
        assertTrue(fleet.state.reason().contains("evidence could not be read"), fleet.state.reason());
        fleet.run(150);
        assertEquals(RolloutPhase.HELD, fleet.state.phase(), fleet.state.reason());
    }

    @Test
    void invalidChangesAreRejected() {
        RolloutStage all = SmallFleet.LAST;
        assertTrue(Rollout.validate(new RolloutSpec("c", "v1", "v2", List.of(SmallFleet.FIRST, all), 1, 1000), 6)
                .isEmpty());
        List<RolloutSpec> invalid = List.of(
                new RolloutSpec("", "v1", "v2", List.of(all), 1, 1000),
                new RolloutSpec("c", "v1", "v1", List.of(all), 1, 1000),
                new RolloutSpec("c", "v1", "", List.of(all), 1, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(), 1, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(all), 0, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(all), 6, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(all), 1, 0),
                new RolloutSpec("c", "v1", "v2", List.of(all, SmallFleet.FIRST), 1, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(SmallFleet.SECOND), 1, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(new RolloutStage(1, 10, 1, 2, 0), all), 1, 1000),
                new RolloutSpec("c", "v1", "v2", List.of(new RolloutStage(0, 100, 3, 2, 0)), 1, 1000));
        for (RolloutSpec change : invalid) {
            List<RolloutException> errors = Rollout.validate(change, 6);
            assertFalse(errors.isEmpty(), change.toString());
            assertTrue(errors.stream().allMatch(fault -> fault.code() == ErrorCode.CHANGE_INVALID));
        }
    }

    /**
     * Guards against missing a 30 ms regression where the baseline is short and uneven: here the usual added delay lies
     * anywhere between 0.1 and 1 ms from one second to the next.
     */
    @Test
    void addedDelayIsDetectedOverAShortVariableBaseline() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SmallFleet fleet = new SmallFleet(1, new RolloutStage(1, 0, 60_000, 120_000, 100), SmallFleet.LAST);
            fleet.delays = node -> node.delayCounts[node.version.equals("v2") ? 21 : random.nextInt(3, 10)] += 20;
            fleet.runUntil(RolloutPhase.STOPPED);
            assertEquals(0, fleet.state.stage(), "seed " + seed + ": " + fleet.state.reason());
            assertTrue(fleet.state.reason().startsWith("added delay "), "seed " + seed + ": " + fleet.state.reason());
        }
    }
}
