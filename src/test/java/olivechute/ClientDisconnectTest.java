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
 * What a client sends behind a request that waits, and when it leaves there: seen at once, and nothing done for it
 * after.
 */
public class ClientDisconnectTest extends DownstreamServerTestBase {
    private static final long DISCONNECT_DETECTION_MILLIS =
            100; // a client that left this long ago has gone; how often it is looked at: LookTest
    private static final int FLOOD_BYTES = 1 << 20; // more than is kept of what comes behind a request

    private static byte[] jobRequests(String... ids) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String id : ids) {
            all.writeBytes(TestClient.jobRequest("verify", id, 5000));
        }
        return all.toByteArray();
    }

    /** While the stream is unanswered: nothing but the look at the client can show it. */
    private void awaitDisconnect(ProxyEvent.RequestArrived request) throws InterruptedException {
        ProxyEvent.ClientDisconnected e = disconnects.poll(2, TimeUnit.SECONDS);
        assertTrue(e != null && e.client() == request.client(), "not seen to have gone");
        assertFalse(request.client().isPresent());
    }

    /**
     * Its connection was not read while a request behind it waited: the client was not seen to go, and its next request
     * was taken.
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

    /** The same where what is behind is only the beginning of a request. */
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
            Thread.sleep(60); // three looks
            assertEquals(arrivedRequests.size(), 0);
            sendResult(e, id);
            assertEquals(statusAndBody(client.receive()), "200 " + id);
        }
        client.send(Arrays.copyOfRange(all, all.length - 5, all.length));
        sendResult(awaitRequest(), "t3");
        assertEquals(statusAndBody(client.receive()), "200 t3");
    }

    /**
     * More than one message behind a request: that gets its answer, whole, and the connection ends without taking the
     * rest.
     */
    @Test
    public void excessPipelinedDataIsDiscardedAndTheRequestIsAnswered() throws Exception {
        AtomicInteger bytesRead = new AtomicInteger();
        listen(channel -> new CountingConnection(channel, bytesRead));
        TestClient flood = connect().send(jobRequests("t1"));
        flood.socket.setReceiveBufferSize(4096);
        ProxyEvent.RequestArrived first = awaitRequest();
        byte[] job = jobRequests("t3");
        int sent = job.length; // t1 is as long
        for (int behind = 0; behind < FLOOD_BYTES; behind += job.length) {
            flood.send(job);
            sent += job.length;
        }
        int allBytes = sent;
        await(() -> bytesRead.get() == allBytes); // an answer before the first look behind it would let one be taken
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

    /** Counts the bytes that the node has read, from all connections together. */
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

        private int counted(int n) {
            bytesRead.addAndGet(Math.max(0, n));
            return n;
        }
    }

    /** Each write on a connection tells that it begins, and waits. */
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
     * The same behind requests that this node answers itself, where no stream is under way: the connection ends with
     * their answers.
     */
    @Test
    public void excessDataAfterLocalReplyClosesTheConnection() throws Exception {
        byte[] two = "GET /health/ready HTTP/1.1\r\n\r\n".repeat(2).getBytes(UTF_8);
        CountDownLatch writes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenWithBlockedWrites(writes, go);
        TestClient flood = connect().send(two);
        assertTrue(writes.await(2, TimeUnit.SECONDS));
        Threads.start("flood", () -> {
            try {
                flood.send(new byte[FLOOD_BYTES]);
            } catch (IOException ended) {
                return;
            }
        });
        Thread.sleep(50); // longer than a look at the client is put off
        go.countDown();
        assertEquals(flood.receive().status(), 200);
        while (flood.receive() != null) {
            assertTrue(server.unansweredRequests() == 0);
        }
        flood.close();
        await(server::isQuiescent);
    }

    /** It sends much, reads nothing and goes: what it holds is given back, and nothing of it is taken. */
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

    /** What waits behind the last answer is not taken, and does not cut that answer off. */
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
     * The same where the node has not read what is behind: it closed over that, and the reset took what was left of the
     * answer along.
     */
    @Test
    public void finalResponseIsCompleteDespiteUnreadData() throws Exception {
        AtomicReference<Connection> link = new AtomicReference<>();
        AtomicInteger reads = new AtomicInteger();
        CountDownLatch go = new CountDownLatch(1);
        listen(channel -> {
            ObservedConnection made = new ObservedConnection(channel) {
                @Override
                void beforeRead() {
                    if (reads.incrementAndGet() == 2) {
                        awaitLatch(go);
                    }
                }
            };
            link.set(made);
            return made;
        });
        TestClient client = connect();
        client.socket.setReceiveBufferSize(4096);
        client.send(MessageWriter.request("POST", "/verify", "b", null, "X-Txn", "t1", "Connection", "close"));
        ProxyEvent.RequestArrived first = awaitRequest();
        client.send(jobRequests("t2"));
        await(() -> link.get().hasUnreadInput());
        String large = "x".repeat(60_000);
        sendResult(first, large);
        await(() -> server.unansweredRequests() == 0);
        go.countDown();
        assertEquals(statusAndBody(client.receive()), "200 " + large);
        assertNull(client.receive());
        assertEquals(arrivedRequests.size(), 0);
    }

    /** An answer that its client no longer waits for ends in nothing: no stream is owed, none is left. */
    @Test
    public void disconnectDuringResponseReleasesTheRequest() throws Exception {
        CountDownLatch writes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenWithBlockedWrites(writes, go);
        TestClient client = connect().send(jobRequests("t1", "t2"));
        ProxyEvent.RequestArrived first = awaitRequest();
        Threads.start("answer", () -> sendResult(first, "x".repeat(60_000)));
        assertTrue(writes.await(2, TimeUnit.SECONDS));
        assertEquals(server.unansweredRequests(), 1); // handed over, not written: still owed
        client.close();
        Thread.sleep(DISCONNECT_DETECTION_MILLIS);
        go.countDown();
        await(server::isQuiescent);
        assertEquals(arrivedRequests.size(), 0);
    }
}
