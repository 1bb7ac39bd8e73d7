package olivechute.fleet;

import java.util.Set;
import java.util.TreeSet;
import olivechute.rig.Fleet;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests a machine that is partitioned from the store, and a store that is down: nodes keep serving, and decisions made
 * meanwhile are carried out afterwards.
 */
@Tag("long")
class StoreOutageIT extends FleetIT {
    @Test
    void machineIsPartitionedDuringRollback() {
        fleet.proposeProgram("v2", versions.equivalent());
        Set<String> seenUnready = new TreeSet<>();
        // Both conditions in one wait, as a node may be ready again before a second wait begins.
        fleet.nodes()
                .clients()
                .awaitReady(
                        ready -> {
                            ready.forEach((node, is) -> {
                                if (!is) {
                                    seenUnready.add(node);
                                }
                            });
                            return !seenUnready.isEmpty() && !ready.containsValue(false);
                        },
                        TIMEOUT_MILLIS);
        String machine = fleet.machineOf(seenUnready.iterator().next());
        fleet.partition(machine);
        fleet.call("stop");
        awaitMoreJobs(200);
        fleet.heal(machine);
        assertChangeEnds("STOPPED", Fleet.BASE);
        assertInvariantsHold(1);
    }

    @Test
    void nodesServeWhileAllReplicasAreDown() {
        fleet.replicas().values().forEach(replica -> replica.kill());
        awaitMoreJobs(400);
        fleet.replicas().values().forEach(replica -> replica.restart());
        fleet.replicas()
                .forEach(
                        (id, replica) -> replica.awaitLine("^replica " + id + " (leads term|follows)", CHANGE_TIMEOUT));
        fleet.proposeSettings("s2", "settings.ceilings.conn_idle = 4.0");
        assertChangeEnds("DONE", "s2");
        assertInvariantsHold(1);
    }
}
