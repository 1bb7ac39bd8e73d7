package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import olivechute.rig.Fleet;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestVersions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * Base class of tests of changes: four nodes on two machines under load. Times are in ms where a constant is no
 * Duration.
 */
@Timeout(180)
abstract class FleetIT {
    static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(90);
    static final long TIMEOUT_MILLIS = 30_000;
    static final int JOBS_PER_SECOND = 200;
    private static final int MAX_CHECKS = 40;
    private static final Duration REPLICA_TIMEOUT = Duration.ofSeconds(20);

    final TestVersions versions = new TestVersions(ProcessSpec.JAR);
    private final long seed = 20261204;
    private final Map<String, Long> marks = new HashMap<>();
    Fleet fleet;
    private boolean passed;

    /** Returns the stages of every change of the test. */
    Fleet.Stages stages() {
        return Fleet.Stages.of(4);
    }

    @BeforeEach
    void startFleet() {
        fleet = new Fleet(2, 2, seed, stages());
        fleet.nodes().clients().startLoad(JOBS_PER_SECOND);
        fleet.nodes().clients().awaitServed(100, TIMEOUT_MILLIS);
    }

    @AfterEach
    void stopFleet() {
        System.out.println("seed " + seed + ", jobs " + fleet.nodes().ledger().counts()
                + (passed ? "" : "\n" + fleet.recentOutput()));
        fleet.close();
        versions.close();
    }

    /**
     * Waits for the end of the change, and then until all four nodes run this version: a machine that was unreachable
     * at the end receives its order when it is back.
     */
    List<String> assertChangeEnds(String phase, String version) {
        String expectedNodes = "nodes: 4 ready at " + version + ": n0 n1 n2 n3";
        List<String> output = fleet.awaitPhase(phase, CHANGE_TIMEOUT);
        for (int i = 0; i < MAX_CHECKS && !output.contains(expectedNodes); i++) {
            awaitMoreJobs(JOBS_PER_SECOND / 2);
            output = fleet.call("show");
        }
        assertTrue(output.contains("phase: " + phase), output.toString());
        assertTrue(output.contains("base: " + version), output.toString());
        assertTrue(output.contains(expectedNodes), output.toString());
        return output;
    }

    void assertInvariantsHold(int maxUnavailable) {
        assertEquals(List.of(), fleet.nodes().stopAndCheck(maxUnavailable));
        passed = true;
    }

    void awaitMoreJobs(int jobs) {
        fleet.nodes().clients().awaitServed(fleet.nodes().ledger().answers().size() + jobs, TIMEOUT_MILLIS);
    }

    /** Proposes an equivalent program and waits until a node is not ready, which shows that the change has begun. */
    void startChange() {
        fleet.proposeProgram("v2", versions.equivalent());
        fleet.nodes().clients().awaitReady(ready -> ready.containsValue(false), TIMEOUT_MILLIS);
    }

    /** Asserts that no node is drained while this many jobs are served. */
    void assertNoNodeDrains(int jobs) {
        Map<String, Long> from = new HashMap<>();
        fleet.machines()
                .forEach(machine -> from.put(machine, fleet.supervisor(machine).mark()));
        awaitMoreJobs(jobs);
        from.forEach((machine, mark) -> assertEquals(
                List.of(),
                fleet.supervisor(machine).linesAfter(mark).stream()
                        .filter(line -> line.contains(" drains "))
                        .toList()));
    }

    /** Records the current position in each replica's output. */
    void markReplicas() {
        fleet.replicas().forEach((id, replica) -> marks.put(id, replica.mark()));
    }

    /** Waits until each other replica reports, after its mark, that it leads or follows a new leader. */
    void awaitNewLeader(String old) {
        for (var replica : fleet.replicas().entrySet()) {
            if (!replica.getKey().equals(old)) {
                replica.getValue()
                        .awaitLine(
                                "replica " + replica.getKey() + " (leads term|follows (?!" + old + ")\\w)",
                                marks.get(replica.getKey()),
                                REPLICA_TIMEOUT);
            }
        }
    }

    /** Waits for an output line of a replica after its mark. */
    void awaitReplicaLine(String id, String line) {
        fleet.replicas().get(id).awaitLine("replica " + id + " " + line, marks.get(id), REPLICA_TIMEOUT);
    }
}
