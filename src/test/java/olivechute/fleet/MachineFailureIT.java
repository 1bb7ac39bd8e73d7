package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import olivechute.rig.EventLedger;
import olivechute.rig.Fleet;
import olivechute.rig.TestMachine;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests a machine that fails with old and new nodes on it, which says nothing about the new version: the change is held
 * until the machine is back.
 */
@Tag("long")
class MachineFailureIT extends FleetIT {
    private static final int JOBS_DURING_OUTAGE =
            12 * JOBS_PER_SECOND; // 12 s of load: longer than a reachable node may stay unready
    private static final Duration HELD_TIMEOUT = Duration.ofSeconds(20);

    @Override
    Fleet.Stages stages() {
        return new Fleet.Stages(List.of(1, 4), Duration.ofSeconds(4), Duration.ofSeconds(20), 20, 1);
    }

    @Test
    void machineFailsDuringFirstStage() {
        fleet.proposeProgram("v2", versions.equivalent());
        String moved = onlyNodeAt(fleet.awaitPhase("WATCHING", CHANGE_TIMEOUT), "v2");
        String name = fleet.machineOf(moved);
        List<String> nodes = fleet.nodes().names().stream()
                .filter(node -> fleet.machineOf(node).equals(name))
                .toList();
        TestMachine machine = new TestMachine(name);
        machine.add(fleet.supervisor(name));
        long killed = EventLedger.now();
        machine.kill();
        fleet.nodes().clients().awaitReady(ready -> nodes.stream().noneMatch(ready::get), TIMEOUT_MILLIS);
        nodes.forEach(node -> fleet.nodes().ledger().addOutage(node, killed, EventLedger.now()));
        assertHeld(fleet.awaitPhase("HELD", HELD_TIMEOUT), moved);
        assertNoNodeDrains(JOBS_DURING_OUTAGE);
        assertHeld(fleet.call("show"), moved);
        fleet.supervisor(name).restart();
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(2);
        for (EventLedger.Job job : fleet.nodes().ledger().jobs()) {
            assertTrue(job.end() != EventLedger.Outcome.LOST || nodes.contains(job.node()), job.toString());
        }
    }

    private static String onlyNodeAt(List<String> shown, String version) {
        String prefix = "nodes: 1 ready at " + version + ": ";
        return shown.stream()
                .filter(line -> line.startsWith(prefix))
                .findFirst()
                .orElse(shown + "")
                .substring(prefix.length());
    }

    private static void assertHeld(List<String> shown, String moved) {
        assertTrue(shown.contains("phase: HELD") && shown.contains("stage: 1 of 2"), shown.toString());
        assertTrue(
                shown.stream().anyMatch(line -> line.startsWith("away: " + moved + " out of reach, ordered v2")),
                shown.toString());
        assertEquals(2, shown.stream().filter(line -> line.startsWith("away: ")).count(), shown.toString());
    }
}
