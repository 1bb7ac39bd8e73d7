package olivechute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import olivechute.http.MessageWriter;
import olivechute.net.Connection;
import olivechute.net.Threads;
import olivechute.proxy.ProxyEvent;
import org.testng.annotations.Test;

/**
 * Tests what a client sends behind a request that is being processed, and clients that disconnect at that point: the
 * disconnect is detected promptly, and nothing is done for the client afterwards.
 */
public class ClientDisconnectTest extends DownstreamServerTestBase {
    /** Upper bound for detecting a disconnect; {@code PeerCheckIntervalTest} covers how often a client is checked. */
    private static final long DISCONNECT_DETECTION_MILLIS = 100;

    private static final int FLOOD_BYTES = 1 << 20; // more than a connection buffers behind a request

    private static byte[] jobRequests(String... ids) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String id : ids) {
            all.writeBytes(TestClient.jobRequest("verify", id, 5000));
        }
        return all.toByteArray();
    }

    /**
     * Waits for the disconnect event while the request is unanswered, when only the periodic check of the connection
     * can detect it.
     */
    private void awaitDisconnect(ProxyEvent.RequestArrived request) throws InterruptedException {
        ProxyEvent.ClientDisconnected e = disconnects.poll(2, TimeUnit.SECONDS);
        assertTrue(e != null && e.client() == request.client(), "the disconnect was not detected");
        assertFalse(request.client().isPresent());
    }

    /**
     * Regression test: the connection was not read while a pipelined request waited, so the disconnect went undetected
     * and the next request was forwarded.
     */
    @Test
    public void disconnectWithPipelinedRequestsIsDetectedAndNoneIsForwarded() throws Exception {
        listen(Connection::new);
        TestClient client = connect().send(jobRequests("t1", "t2", "t3"));
        ProxyEvent.RequestArrived first = awaitRequest();
        client.close();
        awaitDisconnect(first);
        sendResult(first, "late");
        await(() -> server.unansweredRequests() == 0 && server.isQuiescent());
        assertEquals(arrivedRequests.size(), 0);
    }

    /** As above, where only the beginning of a request is pipelined. */
    @Test
    public void disconnectWithPartialPipelinedRequestIsDetected() throws Exception {
        listen(Connection::new);
        TestClient client = connect().send(jobRequests("t1")).send("POST /verify HTT".getBytes(UTF_8));
        ProxyEvent.RequestArrived first = awaitRequest();
        client.close();
        awaitDisconnect(first);
        await(server::isQuiescent);
    }

    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        listen(Connection::new);
        byte[] all = jobRequests("t1", "t2", "t3");
        TestClient client = connect();
        client.send(Arrays.copyOf(all, all.length - 5));
        for (String id : List.of("t1", "t2")) {
            ProxyEvent.RequestArrived e = awaitRequest();
            assertEquals(e.request().id(), id);
            Thread.sleep(60); // three checks of the connection
            assertEquals(arrivedRequests.size(), 0);
            sendResult(e, id);
            assertEquals(statusAndBody(client.receive()), "200 " + id);
        }
        client.send(Arrays.copyOfRange(all, all.length - 5, all.length));
        sendResult(awaitRequest(), "t3");
        assertEquals(statusAndBody(client.receive()), "200 t3");
    }

    /**
     * When more than one message arrives behind a request, the request gets its complete response and the connection is
     * closed without accepting the rest.
     */
    @Test
    public void excessPipelinedDataIsDiscardedAndTheRequestIsAnswered() throws Exception {
        AtomicInteger bytesRead = new AtomicInteger();
        listen(channel -> new CountingConnection(channel, bytesRead));
        TestClient flood = connect().send(jobRequests("t1"));
        flood.socket.setReceiveBufferSize(4096);
        ProxyEvent.RequestArrived first = awaitRequest();
        byte[] job = jobRequests("t3");
        int sent = job.length; // the request t1 has the same length
        for (int behind = 0; behind < FLOOD_BYTES; behind += job.length) {
            flood.send(job);
            sent += job.length;
        }
        int allBytes = sent;
        // A response before the node has read behind its request would let the next request be accepted.
        await(() -> bytesRead.get() == allBytes);
        assertTrue(first.client().isPresent());
        TestClient other = connect().send(jobRequests("other"));
        sendResult(awaitRequest(), "ok");
        assertEquals(statusAndBody(other.receive()), "200 ok");
        String large = "x".repeat(60_000);
        sendResult(first, large);
        await(() -> server.unansweredRequests() == 0);
        assertEquals(statusAndBody(flood.receive()), "200 " + large);
        assertNull(flood.receive());
        assertEquals(arrivedRequests.size(), 0);
    }

    /** Counts the bytes that the node has read from all connections. */
    private static final class CountingConnection extends Connection {
        private final AtomicInteger bytesRead;

        CountingConnection(SocketChannel channel, AtomicInteger bytesRead) {
            super(channel);
            this.bytesRead = bytesRead;
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            return counted(super.read(into));
        }

        @Override
        public int readAvailable(ByteBuffer into) throws IOException {
            return counted(super.readAvailable(into));
        }

        @Override
        public int readDiscarded(ByteBuffer into) throws IOException {
            return counted(super.readDiscarded(into));
        }

        private int counted(int n) {
            bytesRead.addAndGet(Math.max(0, n));
            return n;
        }
    }

    /** Starts the server with connections that signal the start of each write and then block until released. */
    private void listenWithBlockedWrites(CountDownLatch writeStarted, CountDownLatch release) throws Exception {
        listen(channel -> new ObservedConnection(channel) {
            @Override
            void beforeWrite() {
                writeStarted.countDown();
                awaitLatch(release);
            }
        });
    }

    /**
     * Excess data behind requests that the node answers itself, of which none is forwarded: the connection is closed
     * after their responses.
     */
    @Test
    public void excessDataAfterLocalReplyClosesTheConnection() throws Exception {
        byte[] two = "GET /health/ready HTTP/1.1\r\n\r\n".repeat(2).getBytes(UTF_8);
        CountDownLatch writeStarted = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        listenWithBlockedWrites(writeStarted, release);
        TestClient flood = connect().send(two);
        assertTrue(writeStarted.await(2, TimeUnit.SECONDS));
        Threads.start("flood", () -> {
            try {
                flood.send(new byte[FLOOD_BYTES]);
            } catch (IOException ended) {
                return;
            }
        });
        Thread.sleep(50); // longer than the interval between two checks of the connection
        release.countDown();
        assertEquals(flood.receive().status(), 200);
        while (flood.receive() != null) {
            assertTrue(server.unansweredRequests() == 0);
        }
        flood.close();
        await(server::isQuiescent);
    }

    /**
     * The client sends a lot, reads nothing and disconnects: its resources are released, and none of its data is
     * accepted.
     */
    @Test
    public void floodFollowedByDisconnectReleasesAllResources() throws Exception {
        listen(Connection::new);
        TestClient flood = connect().send(jobRequests("t1"));
        ProxyEvent.RequestArrived first = awaitRequest();
        flood.send(new byte[FLOOD_BYTES]);
        flood.close();
        awaitDisconnect(first);
        await(server::isQuiescent);
        assertEquals(arrivedRequests.size(), 0);
    }

    /** Data pipelined behind the last request of a connection is not accepted and does not truncate its response. */
    @Test
    public void finalResponseIsCompleteDespitePipelinedData() throws Exception {
        listen(Connection::new);
        TestClient client = connect();
        client.socket.setReceiveBufferSize(4096);
        client.send(MessageWriter.request("POST", "/verify", "b", null, "X-Txn", "t1", "Connection", "close"));
        ProxyEvent.RequestArrived first = awaitRequest();
        client.send(jobRequests("t2", "t3"));
        String large = "x".repeat(60_000);
        sendResult(first, large);
        await(() -> server.unansweredRequests() == 0);
        client.send(jobRequests("t4"));
        assertEquals(statusAndBody(client.receive()), "200 " + large);
        assertNull(client.receive());
        assertEquals(arrivedRequests.size(), 0);
    }

    /**
     * As above, but the node has not read the pipelined data. Regression test: it closed the connection with unread
     * data, and the resulting reset discarded the rest of the response.
     */
    @Test
    public void finalResponseIsCompleteDespiteUnreadData() throws Exception {
        AtomicReference<Connection> connection = new AtomicReference<>();
        AtomicInteger reads = new AtomicInteger();
        CountDownLatch release = new CountDownLatch(1);
        listen(channel -> {
            ObservedConnection created = new ObservedConnection(channel) {
                @Override
                void beforeRead() {
                    if (reads.incrementAndGet() == 2) {
                        awaitLatch(release);
                    }
                }
            };
            connection.set(created);
            return created;
        });
        TestClient client = connect();
        client.socket.setReceiveBufferSize(4096);
        client.send(MessageWriter.request("POST", "/verify", "b", null, "X-Txn", "t1", "Connection", "close"));
        ProxyEvent.RequestArrived first = awaitRequest();
        client.send(jobRequests("t2"));
        await(() -> connection.get().hasUnreadInput());
        String large = "x".repeat(60_000);
        sendResult(first, large);
        await(() -> server.unansweredRequests() == 0);
        release.countDown();
        assertEquals(statusAndBody(client.receive()), "200 " + large);
        assertNull(client.receive());
        assertEquals(arrivedRequests.size(), 0);
    }

    /** A response to a client that has disconnected is dropped, and the request no longer counts as unanswered. */
    @Test
    public void disconnectDuringResponseReleasesTheRequest() throws Exception {
        CountDownLatch writeStarted = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        listenWithBlockedWrites(writeStarted, release);
        TestClient client = connect().send(jobRequests("t1", "t2"));
        ProxyEvent.RequestArrived first = awaitRequest();
        Threads.start("answer", () -> sendResult(first, "x".repeat(60_000)));
        assertTrue(writeStarted.await(2, TimeUnit.SECONDS));
        // Handed to the writer but not written: still counts as unanswered.
        assertEquals(server.unansweredRequests(), 1);
        client.close();
        Thread.sleep(DISCONNECT_DETECTION_MILLIS);
        release.countDown();
        await(server::isQuiescent);
        assertEquals(arrivedRequests.size(), 0);
    }
}
