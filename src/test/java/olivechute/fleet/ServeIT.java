package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import olivechute.rig.EventLedger;
import olivechute.rig.FleetInvariants;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestNodes;
import olivechute.rig.TestProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests three nodes without a store: a failure of one costs the others no job, and no job is answered or signed twice.
 */
@Timeout(60)
class ServeIT {
    private static final long SEED = 20261203;
    private static final int RATE = 120; // jobs per second
    private static final long TIMEOUT_MILLIS = 20_000;

    private final TestNodes nodes = new TestNodes(3, SEED);

    @AfterEach
    void close() {
        System.out.println("seed " + SEED + ", jobs " + nodes.ledger().counts() + ", runs "
                + nodes.ledger().executions().size());
        nodes.close();
    }

    private void startAll() {
        nodes.names().forEach(node -> nodes.launch(node, ProcessSpec.JAR));
        nodes.connectClients();
        nodes.clients().awaitReady(ready -> ready.values().stream().allMatch(is -> is), TIMEOUT_MILLIS);
        nodes.clients().startLoad(RATE);
        nodes.clients().awaitServed(100, TIMEOUT_MILLIS);
    }

    private void awaitMore(int jobs) {
        nodes.clients().awaitServed(nodes.ledger().answers().size() + jobs, TIMEOUT_MILLIS);
    }

    private long lostJobsAt(String node) {
        return nodes.ledger().jobs().stream()
                .filter(job ->
                        job.end() == EventLedger.Outcome.LOST && job.node().equals(node))
                .count();
    }

    @Test
    void killedNodeIsRestarted() {
        startAll();
        long killed = EventLedger.now();
        nodes.program("n1").kill();
        nodes.clients().awaitReady(ready -> !ready.get("n1"), TIMEOUT_MILLIS);
        nodes.ledger().addOutage("n1", killed, EventLedger.now());
        awaitMore(100);
        nodes.program("n1").restart();
        nodes.clients().awaitReady(ready -> ready.get("n1"), TIMEOUT_MILLIS);
        awaitMore(100);
        assertEquals(List.of(), nodes.stopAndCheck(1));
        assertEquals(0, lostJobsAt("n0") + lostJobsAt("n2"));
    }

    @Test
    void terminatedNodeAnswersAllAcceptedJobs() {
        startAll();
        TestProcess node = nodes.program("n1");
        node.terminate();
        awaitMore(50);
        assertEquals(143, node.awaitExit(Duration.ofSeconds(15)));
        node.restart();
        nodes.clients().awaitReady(ready -> ready.get("n1"), TIMEOUT_MILLIS);
        awaitMore(50);
        assertEquals(List.of(), nodes.stopAndCheck(1));
    }

    @Test
    void nodeIsPausedPastItsJobDeadlines() {
        startAll();
        long paused = EventLedger.now();
        nodes.program("n1").pause();
        nodes.clients().awaitReady(ready -> !ready.get("n1"), TIMEOUT_MILLIS);
        awaitMore(200);
        nodes.program("n1").resume();
        nodes.clients().awaitReady(ready -> ready.get("n1"), TIMEOUT_MILLIS);
        nodes.ledger().addOutage("n1", paused, EventLedger.now());
        awaitMore(100);
        List<FleetInvariants.Violation> found = nodes.stopAndCheck(1);
        assertEquals(List.of(), found);
        assertTrue(nodes.ledger().count("sign", EventLedger.Outcome.SERVED) > 100);
    }
}
