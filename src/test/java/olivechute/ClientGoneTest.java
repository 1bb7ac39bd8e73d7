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
public class ClientGoneTest extends FrontRig {
    private static final long GONE_MILLIS =
            100; // a client that left this long ago has gone; how often it is looked at: LookTest
    private static final int FLOOD = 1 << 20; // more than is kept of what comes behind a request

    private static byte[] jobs(String... ids) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String id : ids) {
            all.writeBytes(Client.job("verify", id, 5000));
        }
        return all.toByteArray();
    }

    /** While the stream is unanswered: nothing but the look at the client can show it. */
    private void awaitGone(ProxyEvent.RequestArrived stream) throws InterruptedException {
        ProxyEvent.ClientDisconnected e = gone.poll(2, TimeUnit.SECONDS);
        assertTrue(e != null && e.client() == stream.client(), "not seen to have gone");
        assertFalse(stream.client().isPresent());
    }

    /**
     * Its connection was not read while a request behind it waited: the client was not seen to go, and its next request
     * was taken.
     */
    @Test
    public void aClientThatLeavesBehindPipelinedRequestsIsSeenToAndNoneOfThemIsTaken() throws Exception {
        listen(Connection::new);
        Client client = connect().send(jobs("t1", "t2", "t3"));
        ProxyEvent.RequestArrived first = next();
        client.close();
        awaitGone(first);
        serve(first, "late");
        await(() -> front.unansweredRequests() == 0 && front.isQuiescent());
        assertEquals(opened.size(), 0);
    }

    /** The same where what is behind is only the beginning of a request. */
    @Test
    public void aClientThatLeavesBehindHalfARequestIsSeenTo() throws Exception {
        listen(Connection::new);
        Client client = connect().send(jobs("t1")).send("POST /verify HTT".getBytes(UTF_8));
        ProxyEvent.RequestArrived first = next();
        client.close();
        awaitGone(first);
        await(front::isQuiescent);
    }

    @Test
    public void pipelinedRequestsOfAClientThatStaysAreAnsweredInTurnAndOnlyThen() throws Exception {
        listen(Connection::new);
        byte[] all = jobs("t1", "t2", "t3");
        Client client = connect();
        client.send(Arrays.copyOf(all, all.length - 5));
        for (String id : List.of("t1", "t2")) {
            ProxyEvent.RequestArrived e = next();
            assertEquals(e.request().id(), id);
            Thread.sleep(60); // three looks
            assertEquals(opened.size(), 0);
            serve(e, id);
            assertEquals(text(client.receive()), "200 " + id);
        }
        client.send(Arrays.copyOfRange(all, all.length - 5, all.length));
        serve(next(), "t3");
        assertEquals(text(client.receive()), "200 t3");
    }

    /**
     * More than one message behind a request: that gets its answer, whole, and the connection ends without taking the
     * rest.
     */
    @Test
    public void aFloodBehindARequestIsThrownAwayAndTheRequestAnsweredAllTheSame() throws Exception {
        AtomicInteger bytesRead = new AtomicInteger();
        listen(channel -> new CountingConnection(channel, bytesRead));
        Client flood = connect().send(jobs("t1"));
        flood.socket.setReceiveBufferSize(4096);
        ProxyEvent.RequestArrived first = next();
        byte[] job = jobs("t3");
        int sent = job.length; // t1 is as long
        for (int behind = 0; behind < FLOOD; behind += job.length) {
            flood.send(job);
            sent += job.length;
        }
        int allBytes = sent;
        await(() -> bytesRead.get() == allBytes); // an answer before the first look behind it would let one be taken
        assertTrue(first.client().isPresent());
        Client other = connect().send(jobs("other"));
        serve(next(), "ok");
        assertEquals(text(other.receive()), "200 ok");
        String large = "x".repeat(60_000);
        serve(first, large);
        await(() -> front.unansweredRequests() == 0);
        assertEquals(text(flood.receive()), "200 " + large);
        assertNull(flood.receive());
        assertEquals(opened.size(), 0);
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
    private void listenHolding(CountDownLatch writes, CountDownLatch go) throws Exception {
        listen(channel -> new Watched(channel) {
            @Override
            void beforeWrite() {
                writes.countDown();
                hold(go);
            }
        });
    }

    /**
     * The same behind requests that this node answers itself, where no stream is under way: the connection ends with
     * their answers.
     */
    @Test
    public void aFloodBehindALocalReplyEndsItsConnection() throws Exception {
        byte[] two = "GET /health/ready HTTP/1.1\r\n\r\n".repeat(2).getBytes(UTF_8);
        CountDownLatch writes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenHolding(writes, go);
        Client flood = connect().send(two);
        assertTrue(writes.await(2, TimeUnit.SECONDS));
        Threads.start("flood", () -> {
            try {
                flood.send(new byte[FLOOD]);
            } catch (IOException ended) {
                return;
            }
        });
        Thread.sleep(50); // longer than a look at the client is put off
        go.countDown();
        assertEquals(flood.receive().status(), 200);
        while (flood.receive() != null) {
            assertTrue(front.unansweredRequests() == 0);
        }
        flood.close();
        await(front::isQuiescent);
    }

    /** It sends much, reads nothing and goes: what it holds is given back, and nothing of it is taken. */
    @Test
    public void aClientThatFloodsAndGoesHoldsNothing() throws Exception {
        listen(Connection::new);
        Client flood = connect().send(jobs("t1"));
        ProxyEvent.RequestArrived first = next();
        flood.send(new byte[FLOOD]);
        flood.close();
        awaitGone(first);
        await(front::isQuiescent);
        assertEquals(opened.size(), 0);
    }

    /** What waits behind the last answer is not taken, and does not cut that answer off. */
    @Test
    public void anAnswerThatEndsAConnectionArrivesWholeWhateverIsBehindIt() throws Exception {
        listen(Connection::new);
        Client client = connect();
        client.socket.setReceiveBufferSize(4096);
        client.send(MessageWriter.request("POST", "/verify", "b", null, "X-Txn", "t1", "Connection", "close"));
        ProxyEvent.RequestArrived first = next();
        client.send(jobs("t2", "t3"));
        String large = "x".repeat(60_000);
        serve(first, large);
        await(() -> front.unansweredRequests() == 0);
        client.send(jobs("t4"));
        assertEquals(text(client.receive()), "200 " + large);
        assertNull(client.receive());
        assertEquals(opened.size(), 0);
    }

    /**
     * The same where the node has not read what is behind: it closed over that, and the reset took what was left of the
     * answer along.
     */
    @Test
    public void anAnswerThatEndsAConnectionArrivesWholeWhateverIsUnread() throws Exception {
        AtomicReference<Connection> link = new AtomicReference<>();
        AtomicInteger reads = new AtomicInteger();
        CountDownLatch go = new CountDownLatch(1);
        listen(channel -> {
            Watched made = new Watched(channel) {
                @Override
                void beforeRead() {
                    if (reads.incrementAndGet() == 2) {
                        hold(go);
                    }
                }
            };
            link.set(made);
            return made;
        });
        Client client = connect();
        client.socket.setReceiveBufferSize(4096);
        client.send(MessageWriter.request("POST", "/verify", "b", null, "X-Txn", "t1", "Connection", "close"));
        ProxyEvent.RequestArrived first = next();
        client.send(jobs("t2"));
        await(() -> link.get().hasUnreadInput());
        String large = "x".repeat(60_000);
        serve(first, large);
        await(() -> front.unansweredRequests() == 0);
        go.countDown();
        assertEquals(text(client.receive()), "200 " + large);
        assertNull(client.receive());
        assertEquals(opened.size(), 0);
    }

    /** An answer that its client no longer waits for ends in nothing: no stream is owed, none is left. */
    @Test
    public void aClientThatLeavesInTheMiddleOfItsAnswerLeavesNothing() throws Exception {
        CountDownLatch writes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenHolding(writes, go);
        Client client = connect().send(jobs("t1", "t2"));
        ProxyEvent.RequestArrived first = next();
        Threads.start("answer", () -> serve(first, "x".repeat(60_000)));
        assertTrue(writes.await(2, TimeUnit.SECONDS));
        assertEquals(front.unansweredRequests(), 1); // handed over, not written: still owed
        client.close();
        Thread.sleep(GONE_MILLIS);
        go.countDown();
        await(front::isQuiescent);
        assertEquals(opened.size(), 0);
    }
}
