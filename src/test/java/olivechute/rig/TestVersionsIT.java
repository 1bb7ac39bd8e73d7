package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests each version alone as a node with clients: it has its fault and no other. */
@Timeout(40)
class TestVersionsIT {
    private static final long SEED = 20261202;
    private static final int RATE = 100; // jobs per second
    /** Prefix of the ids of a node's own warm-up jobs. */
    private static final String WARMUP_ID_PREFIX = "0000000000000000";

    private static final long TIMEOUT_MILLIS = 15_000;

    private final TestVersions versions = new TestVersions(ProcessSpec.JAR);
    private final TestNodes nodes = new TestNodes(1, SEED);

    @AfterEach
    void close() {
        System.out.println("seed " + SEED + ", jobs " + nodes.ledger().counts());
        nodes.close();
        versions.close();
    }

    private void serve(Path jar, int jobs) {
        nodes.start("n0", jar);
        nodes.connectClients();
        nodes.clients().awaitReady(ready -> ready.get("n0"), TIMEOUT_MILLIS);
        nodes.clients().startLoad(RATE);
        nodes.clients().awaitServed(jobs, TIMEOUT_MILLIS);
        assertEquals(List.of(), nodes.stopAndCheck(0));
    }

    @Test
    void equivalentVersionServesUnderAnotherDigest() {
        Path equal = versions.equivalent();
        assertNotEquals(TestVersions.digest(ProcessSpec.JAR), TestVersions.digest(equal));
        serve(equal, 100);
        assertEquals(nodes.ledger().jobs().size(), served("verify") + served("sign") + rejected());
        assertTrue(served("verify") + served("sign") > 0
                && nodes.program("n0").lines().stream().noneMatch(l -> l.startsWith("injected")));
    }

    /** A node that is short of processor time rejects some jobs itself; injected rejections are logged as such. */
    @Test
    void rejectsEveryTenthOfSign() {
        serve(versions.rejectingTenthOfSign(), 200);
        long signs = nodes.ledger().jobs().stream()
                .filter(job -> job.requestClass().equals("sign"))
                .count();
        List<String> injected = nodes.program("n0").lines().stream()
                .filter(line -> line.startsWith("injected rejection of "))
                .map(line -> line.substring(line.lastIndexOf(' ') + 1))
                .filter(id -> !id.startsWith(WARMUP_ID_PREFIX))
                .toList();
        assertTrue(Math.abs(injected.size() - signs / 10.0) <= 1, injected + " of " + signs);
        List<String> refused = nodes.ledger().jobs().stream()
                .filter(job -> job.end() == EventLedger.Outcome.REFUSED)
                .map(EventLedger.Job::id)
                .toList();
        assertTrue(refused.containsAll(injected), refused + " without some of " + injected);
    }

    private long rejected() {
        return nodes.ledger().jobs().stream()
                .filter(job -> job.end() == EventLedger.Outcome.REFUSED)
                .count();
    }

    private long served(String requestClass) {
        return nodes.ledger().count(requestClass, EventLedger.Outcome.SERVED);
    }

    @Test
    void delaysEachJob() {
        serve(versions.slower(300), 50);
        assertTrue(nodes.ledger().jobs().stream().allMatch(job -> job.ended() - job.sent() >= 300));
    }

    @Test
    void exitsOnceReady() {
        TestProcess node = nodes.start("n0", versions.crashesAfter(1000));
        assertEquals(3, node.awaitExit(Duration.ofSeconds(10)));
        assertTrue(node.lines().contains("injected crash"));
    }

    @Test
    void servesButIsNeverReady() throws IOException, HttpException {
        nodes.start("n0", versions.neverReady());
        nodes.connectClients();
        assertThrows(TestSetupException.class, () -> nodes.clients().awaitReady(ready -> ready.get("n0"), 500));
        try (HttpTestConnection line = new HttpTestConnection(nodes.address("n0"), 1000)) {
            line.send(MessageWriter.request("GET", "/health/ready", "node", null));
            assertEquals(503, line.receive(2000).status());
            line.send(MessageWriter.request(
                    "POST",
                    "/verify?user=u1",
                    "backend.local",
                    new byte[] {'x'},
                    "X-Txn",
                    "1234567890abcdef",
                    "X-Org",
                    "acme",
                    "X-Remaining",
                    "5000m"));
            HttpResponse served = line.receive(6000);
            assertEquals(200, served.status());
        }
    }

    @Test
    void patchWithoutMatchFails() {
        assertThrows(TestSetupException.class, () -> new TestVersions(versions.path("missing.jar")).equivalent());
        assertEquals(Map.of(), nodes.ledger().counts());
    }
}
