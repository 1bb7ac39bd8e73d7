package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import olivechute.http.MessageWriter;
import org.testng.annotations.Test;

/**
 * Tests a node whose endpoint list may be outdated while discovery is reachable: whatever happens to its requests to
 * discovery, a server that has begun to drain since then gets no requests. The order of events is forced by the content
 * and time of discovery's responses.
 */
public class StaleEndpointListTest extends NodeTestBase {
    private static final int AWAIT_TIMEOUT_MILLIS = 20_000;
    private static final byte[] UNAVAILABLE_RESPONSE = MessageWriter.response(503, new byte[0], true);

    private static void awaitLong(BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000L;
        while (!holds.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(10);
        }
        assertTrue(holds.getAsBoolean());
    }

    private String runJob(String id) throws Exception {
        return statusAndBody(connectClient().exchange(TestClient.jobRequest("verify", id, 3000)));
    }

    /**
     * The list of a configuration may be of any age: its server has been draining for a long time, and discovery has
     * not answered yet.
     */
    @Test
    public void newNodeSendsNothingBeforeDiscoveryAnswers() throws Exception {
        TestServer draining = startServer(acceptAndReport("s1", doneEvent("draining")));
        TestServer serving = startServer(acceptAndReport("s2", doneEvent("serving")));
        CountDownLatch answers = new CountDownLatch(1);
        byte[] news = endpointListResponse(
                2, false, endpointEntry("s1", draining, "leaving", 0), endpointEntry("s2", serving, "active", 0));
        discovery = startServer(r -> {
            answers.await();
            return r.target().contains("since=1&") || !r.target().contains("since=") ? news : null;
        });
        CompletableFuture<Void> starting = CompletableFuture.runAsync(() -> {
            try {
                start(endpointEntry("s1", draining, "active", 0));
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        awaitLong(() -> node != null || starting.isDone());
        assertTrue(runJob("t1").startsWith("503 "), "nothing is known of the servers yet");
        assertEquals(draining.requests().size(), 0);
        answers.countDown();
        awaitLong(() -> discovery.requests().stream().anyMatch(r -> r.target().contains("since=2&")));
        assertEquals(runJob("t2"), "200 serving");
        assertEquals(draining.requests().size(), 0);
    }

    /**
     * Discovery answers 503 from the second request on, and then the server drains. {@code ask_every} bounds the age of
     * the list here.
     */
    @Test
    public void nodeWithExpiredListSendsNothing() throws Exception {
        TestServer draining = startServer(acceptAndReport("s1", doneEvent("draining")));
        TestServer serving = startServer(acceptAndReport("s2", doneEvent("serving")));
        byte[] nothing = endpointListResponse(1, false);
        byte[] news = endpointListResponse(
                2, false, endpointEntry("s1", draining, "leaving", 0), endpointEntry("s2", serving, "active", 0));
        boolean[] back = {false};
        discovery = startServer(r -> discovery.requests().size() == 1
                ? nothing
                : !back[0] ? UNAVAILABLE_RESPONSE : r.target().contains("since=1&") ? news : null);
        startWith(
                text -> text.replace("\"ask_every\":10.0", "\"ask_every\":1.0"),
                1024,
                endpointEntry("s1", draining, "active", 0));
        assertEquals(runJob("t0"), "200 draining");
        int[] jobs = {0};
        awaitLong(() -> {
            try {
                return runJob("u" + jobs[0]++).startsWith("503 ");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        int sent = draining.requests().size();
        for (int i = 0; i < 3; i++) {
            assertTrue(runJob("v" + i).startsWith("503 "));
        }
        assertEquals(draining.requests().size(), sent);
        back[0] = true;
        awaitLong(() -> discovery.requests().stream().anyMatch(r -> r.target().contains("since=2&")));
        assertEquals(runJob("w"), "200 serving");
        assertEquals(draining.requests().size(), sent);
    }
}
