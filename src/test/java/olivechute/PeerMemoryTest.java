package olivechute;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import olivechute.http.HttpResponse;
import olivechute.memory.MemoryBudget;
import olivechute.net.Connection;
import olivechute.net.Threads;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the limit on the memory that peers make the node hold. Clients that stop in the middle of messages, in whatever
 * framing, filled the heap: messages that were still being received did not count.
 */
public class PeerMemoryTest extends DownstreamServerTestBase {
    private static final int BUDGET_BYTES = 800 * 1024;
    private static final int NEW_PEER_BYTES = BUDGET_BYTES / 8 * 5;
    private static final int NEW_ENDPOINT_BYTES = BUDGET_BYTES / 8 * 6;
    private static final int STALLED_CLIENTS = 40;
    private static final int DOCUMENT_BYTES = 60_000;
    /** A client that stops in the middle of a message gets its error or close within this time. */
    private static final long MAX_STALL_NANOS = 3_000_000_000L;

    private static final String DOCUMENT = "d".repeat(DOCUMENT_BYTES);

    private static String head(String path, String fields) {
        return "POST " + path + " HTTP/1.1\r\nHost: node\r\nX-Txn: half\r\n" + fields;
    }

    @DataProvider
    public Object[][] incompleteMessages() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 15; i++) {
            fields.append("X-Field-")
                    .append(i)
                    .append(": ")
                    .append("a".repeat(1000))
                    .append("\r\n");
        }
        return new Object[][] {
            // what a client sends before it stops, the limit of the memory for such messages
            {head("/verify", "Content-Length: 65536\r\n\r\n") + DOCUMENT, NEW_PEER_BYTES},
            {head("/verify", "Content-Length: 65536\r\n\r\n"), NEW_PEER_BYTES},
            {head("/verify", fields + "Content-Length: 65536\r\n\r\n") + DOCUMENT, NEW_PEER_BYTES},
            {head("/verify", fields.toString()), NEW_PEER_BYTES},
            {head("/verify", "Transfer-Encoding: chunked\r\n\r\nf000\r\n") + DOCUMENT, NEW_PEER_BYTES},
            {head("/nothing", "Content-Length: 65536\r\n\r\n") + DOCUMENT, NEW_PEER_BYTES},
            {head("/_jobs/news", "Content-Length: 65536\r\n\r\n") + DOCUMENT, NEW_ENDPOINT_BYTES},
            {head("/_jobs/news", "Transfer-Encoding: chunked\r\n\r\nf000\r\n") + DOCUMENT, NEW_ENDPOINT_BYTES},
        };
    }

    /**
     * However many clients stop in the middle of messages, they hold no more than their part of the budget, each gets
     * its error or close in time, and a client that has sent requests before is served meanwhile.
     */
    @Test(dataProvider = "incompleteMessages")
    public void incompleteMessagesHoldNoMoreThanTheirPart(String incompleteMessage, int limitBytes) throws Exception {
        memory = new MemoryBudget(BUDGET_BYTES);
        listen(Connection::new);
        TestClient known = connect();
        exchange(known, "k0");
        AtomicLong maxReserved = new AtomicLong();
        AtomicBoolean ended = new AtomicBoolean();
        Threads.start("sampler", () -> {
            while (!ended.get()) {
                maxReserved.accumulateAndGet(memory.reservedBytes(), Math::max);
                Thread.onSpinWait();
            }
        });
        AtomicInteger answered = new AtomicInteger();
        AtomicLong longestNanos = new AtomicLong();
        CountDownLatch clientsEnded = new CountDownLatch(STALLED_CLIENTS);
        for (int i = 0; i < STALLED_CLIENTS; i++) {
            Threads.start("stalled-client", () -> {
                long startNanos = System.nanoTime();
                answered.addAndGet(stall(incompleteMessage.getBytes(ISO_8859_1)) ? 1 : 0);
                longestNanos.accumulateAndGet(System.nanoTime() - startNanos, Math::max);
                clientsEnded.countDown();
            });
        }
        await(() -> memory.reservedBytes() > limitBytes - 100 * 1024);
        assertTrue(maxReserved.get() <= limitBytes, "reserved " + maxReserved);
        for (int i = 1; i <= 5; i++) {
            exchange(known, "k" + i);
        }
        awaitLatch(clientsEnded);
        assertTrue(longestNanos.get() < MAX_STALL_NANOS, "client ended after " + longestNanos + " ns");
        assertEquals(answered.get(), STALLED_CLIENTS);
        await(() -> memory.reservedBytes() == 0);
        ended.set(true);
    }

    /** Sends half a message and waits for its end; true if a response came first. */
    private boolean stall(byte[] incompleteMessage) {
        try (TestClient client = new TestClient(serverAddress)) {
            HttpResponse response = client.exchange(incompleteMessage);
            return response != null && response.status() == 503 && client.isClosedByServer();
        } catch (Exception e) {
            return false;
        }
    }

    private void exchange(TestClient client, String id) throws Exception {
        client.send(document("verify", id));
        var request = awaitRequest();
        sendResult(request, "ok");
        request.memory().release();
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    private static byte[] document(String requestClass, String id) {
        return (head("/" + requestClass, "Content-Length: " + DOCUMENT_BYTES + "\r\n\r\n")
                                .replace("X-Txn: half", "X-Txn: " + id)
                        + DOCUMENT)
                .getBytes(ISO_8859_1);
    }

    /** What a client sends ahead counts; beyond the budget the response in progress is the last one. */
    @Test
    public void bytesSentAheadOfTheResponseCount() throws Exception {
        memory = new MemoryBudget(BUDGET_BYTES);
        listen(Connection::new);
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            TestClient client = connect();
            client.send(TestClient.jobRequest("verify", "a" + i, 5000));
            client.send(document("verify", "b" + i));
            clients.add(client);
        }
        List<olivechute.proxy.ProxyEvent.RequestArrived> first = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            first.add(awaitRequest());
        }
        await(() -> memory.reservedBytes() > BUDGET_BYTES / 2);
        Thread.sleep(200);
        assertTrue(memory.reservedBytes() <= BUDGET_BYTES / 8 * 7, "reserved " + memory.reservedBytes());
        for (var request : first) {
            sendResult(request, "ok");
        }
        for (TestClient client : clients) {
            assertEquals(statusAndBody(client.receive()), "200 ok");
            client.close();
        }
        await(() -> {
            for (var request = arrivedRequests.poll(); request != null; request = arrivedRequests.poll()) {
                request.memory().release(); // of requests sent ahead, whose clients have gone
            }
            return memory.reservedBytes() == 0;
        });
    }

    /** A response that its client does not read counts until it is written or given up. */
    @Test
    public void unwrittenResponsesCount() throws Exception {
        memory = new MemoryBudget(BUDGET_BYTES);
        CountDownLatch release = new CountDownLatch(1);
        listen(channel -> blockingWrites(channel, release));
        TestClient client = connect();
        client.send(TestClient.jobRequest("verify", "a", 5000));
        var request = awaitRequest();
        // On a thread of its own, as whoever posts a response may have to write it.
        Threads.start("answer", () -> sendResult(request, DOCUMENT));
        await(() -> memory.reservedBytes() >= DOCUMENT_BYTES);
        release.countDown();
        assertEquals(client.receive().status(), 200);
        await(() -> memory.reservedBytes() == 0);
    }

    private static Connection blockingWrites(SocketChannel channel, CountDownLatch release) {
        return new ObservedConnection(channel) {
            @Override
            void beforeWrite() {
                awaitLatch(release);
            }
        };
    }

    /** A client that is turned away for lack of memory is told when it may try again. */
    @Test
    public void rejectionForLackOfMemoryAdvisesARetry() throws Exception {
        memory = new MemoryBudget(BUDGET_BYTES);
        memory.add(BUDGET_BYTES);
        listen(Connection::new);
        HttpResponse response = connect().exchange(document("verify", "a"));
        assertEquals(response.status(), 503);
        assertEquals(response.headers().get("Retry-After"), "1.000");
        assertEquals(response.keepAlive(), false);
        assertEquals(memory.reservedBytes(), BUDGET_BYTES);
    }
}
