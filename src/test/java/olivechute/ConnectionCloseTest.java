package olivechute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.HttpResponse;
import olivechute.net.Connection;
import olivechute.net.ConnectionThreads;
import olivechute.net.WriterThreads;
import org.testng.annotations.Test;

/** No connection is closed under a request that the node has read, whatever the node decides at that moment. */
public class ConnectionCloseTest extends FrontRig {
    private static final byte[] READY = "GET /health/ready HTTP/1.1\r\n\r\n".getBytes(UTF_8);
    /** After so long a message that does not end, and a connection that never carried one, are given up. */
    private static final int STALLED_MILLIS = 2000;

    private static final int HELD_UP_MILLIS = 900;
    /** After so long a connection that carries nothing may go for a newcomer. */
    private static final int SETTLED_MILLIS = 150;

    private static final String LONG_ANSWER = "x".repeat(40_000);

    private final CountDownLatch never = new CountDownLatch(1);

    /** Holds up the thread that took the request, after the request has gone to the event loop. */
    private void holdUpWhoeverTakesARequest() {
        onRequest = () -> loop.defer(() -> hold(never, HELD_UP_MILLIS));
    }

    private static void hold(CountDownLatch gate, int millis) {
        try {
            gate.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    public void aRequestWhoseThreadIsHeldUpAfterItIsTakenIsNotClosedAsAStalledMessage() throws Exception {
        listen(Connection::new);
        holdUpWhoeverTakesARequest();
        Client client = connect();
        byte[] job = Client.job("verify", "t1", 5000);
        client.send(Arrays.copyOf(job, 30));
        Thread.sleep(STALLED_MILLIS - 500);
        client.send(Arrays.copyOfRange(job, 30, job.length));
        var taken = next();
        Thread.sleep(HELD_UP_MILLIS);
        serve(taken, "ok");
        assertEquals(text(client.receive()), "200 ok");
    }

    @Test
    public void aFirstRequestOnARestedConnectionIsNotClosedAsAStalledMessage() throws Exception {
        listen(Connection::new);
        holdUpWhoeverTakesARequest();
        Client client = connect();
        Thread.sleep(STALLED_MILLIS - 500);
        client.send(Client.job("verify", "t1", 5000));
        var taken = next();
        Thread.sleep(HELD_UP_MILLIS);
        serve(taken, "ok");
        assertEquals(text(client.receive()), "200 ok");
    }

    @Test
    public void aFirstRequestThatComesAsItsConnectionIsFoundUnusedIsNotClosed() throws Exception {
        AtomicBoolean asked = new AtomicBoolean();
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch taken = new CountDownLatch(1);
        listen(channel -> new Connection(channel) {
            @Override
            public boolean hasUnreadInput() {
                if (!asked.getAndSet(true)) {
                    decides.countDown();
                    hold(taken, HELD_UP_MILLIS);
                }
                return super.hasUnreadInput();
            }
        });
        onRequest = taken::countDown;
        Client client = connect();
        assertTrue(decides.await(STALLED_MILLIS + 1000, TimeUnit.MILLISECONDS));
        client.send(Client.job("verify", "t1", 5000));
        answeredOrLeftUnread(client);
    }

    /** A request that the node did not read may find its connection ended; one that it read has its answer. */
    private void answeredOrLeftUnread(Client client) throws Exception {
        var request = opened.poll(HELD_UP_MILLIS + 500, TimeUnit.MILLISECONDS);
        if (request != null) {
            serve(request, "ok");
            assertEquals(text(client.receive()), "200 ok");
        } else {
            assertTrue(client.ended());
        }
    }

    /** Holds each connection's reader from the moment at which it has read what comes after so many reads. */
    private void listenHoldingAfterRead(int reads, CountDownLatch has, CountDownLatch go, int most) throws IOException {
        listen(
                channel -> {
                    AtomicInteger left = new AtomicInteger(reads);
                    return new Watched(channel) {
                        @Override
                        void afterRead(int n) {
                            if (left.decrementAndGet() == 0) {
                                has.countDown();
                                hold(go, 3000);
                            }
                        }
                    };
                },
                most);
    }

    @Test
    public void aRequestInItsReadersHandIsAnsweredThoughTheNodeEndsIdleConnections() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenHoldingAfterRead(2, has, go, 100);
        Client client = connect();
        assertEquals(client.call(READY).status(), 200);
        client.send(Client.job("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        front.drain();
        Thread.sleep(300); // several sweeps
        go.countDown();
        serve(next(), "ok");
        HttpResponse answer = client.receive();
        assertEquals(text(answer), "200 ok");
        assertEquals(answer.keepAlive(), false);
        assertNull(client.receive());
    }

    @Test
    public void aFirstRequestInItsReadersHandIsAnsweredThoughRoomIsNeeded() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenHoldingAfterRead(1, has, go, 1);
        Client client = connect();
        Thread.sleep(SETTLED_MILLIS);
        client.send(Client.job("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        connect(); // beyond the bound: somebody has to go
        Thread.sleep(SETTLED_MILLIS);
        go.countDown();
        serve(next(), "ok");
        assertEquals(text(client.receive()), "200 ok");
    }

    @Test
    public void aNextRequestInItsReadersHandIsAnsweredThoughRoomIsNeeded() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenHoldingAfterRead(2, has, go, 1);
        Client client = connect();
        assertEquals(client.call(READY).status(), 200);
        Thread.sleep(SETTLED_MILLIS);
        client.send(Client.job("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        connect();
        Thread.sleep(SETTLED_MILLIS);
        go.countDown();
        serve(next(), "ok");
        assertEquals(text(client.receive()), "200 ok");
    }

    @Test
    public void aMessageThatDoesNotEndIsAnsweredNotCutOff() throws Exception {
        listen(Connection::new);
        Client client = connect();
        byte[] job = Client.job("verify", "t1", 5000);
        client.send(Arrays.copyOf(job, 30));
        HttpResponse answer = client.receive();
        assertEquals(answer == null ? 0 : answer.status(), 503);
        client.send(Arrays.copyOfRange(job, 30, job.length));
        assertNull(client.receive());
        assertEquals(opened.size(), 0);
    }

    @Test
    public void aMessageThatDoesNotEndIsAnsweredThoughRoomIsNeeded() throws Exception {
        listen(Connection::new, 1);
        Client client = connect();
        client.send(Arrays.copyOf(Client.job("verify", "t1", 5000), 30));
        Thread.sleep(SETTLED_MILLIS);
        connect();
        HttpResponse answer = client.receive();
        assertEquals(answer == null ? 0 : answer.status(), 503);
    }

    @Test
    public void anAnswerBeforeTheEndArrivesWholeWhateverCrossesTheEnd() throws Exception {
        listen(Connection::new);
        Client client = connect();
        String large = "x".repeat(60_000);
        client.send(Client.job("verify", "t1", 5000));
        serve(next(), large);
        await(() -> front.unansweredRequests() == 0);
        front.drain();
        await(() -> front.isQuiescent());
        try {
            client.send(Client.job("verify", "t2", 5000)).send(Client.job("verify", "t3", 5000));
        } catch (IOException ended) {
            assertEquals(opened.size(), 0);
        }
        assertEquals(text(client.receive()), "200 " + large);
        assertTrue(client.ended());
        assertEquals(opened.size(), 0);
    }

    @Test
    public void aRequestIsAnsweredThoughItsThreadMeetsAnErrorOfAnotherRequestsWrite() throws Exception {
        listen(Connection::new);
        onRequest = () -> loop.defer(() -> {
            throw new StackOverflowError("of another request");
        });
        Client client = connect().send(Client.job("verify", "t1", 5000));
        var request = next();
        onRequest = () -> {};
        Thread.sleep(100);
        serve(request, "ok");
        assertEquals(text(client.receive()), "200 ok");
    }

    /** Starts as a thread does where the system grants none, until so many were refused. */
    private static ConnectionThreads refusingThreads(AtomicInteger refusals) {
        return new ConnectionThreads(task -> new Thread(task) {
            @Override
            public synchronized void start() {
                if (refusals.getAndDecrement() > 0) {
                    throw new OutOfMemoryError("unable to create native thread");
                }
                setDaemon(true);
                super.start();
            }
        });
    }

    /** The second answer may wait for a client that does not read, as the first fills half of the send buffer. */
    private Client clientOwedALongAnswerBehindAnother() throws Exception {
        Client client = connect().send(Client.job("verify", "t1", 5000)).send(Client.job("verify", "t2", 5000));
        serve(next(), LONG_ANSWER);
        assertEquals(text(client.receive()), "200 " + LONG_ANSWER);
        serve(next(), LONG_ANSWER);
        return client;
    }

    @Test
    public void anAnswerIsNotLostWhereNoWriterThreadIsGrantedForAMoment() throws Exception {
        writers = new WriterThreads(100, refusingThreads(new AtomicInteger(3)));
        listen(Connection::new);
        Client client = clientOwedALongAnswerBehindAnother();
        assertEquals(text(client.receive()), "200 " + LONG_ANSWER);
        await(() -> front.unansweredRequests() == 0);
    }

    @Test
    public void aClientThatLeavesBeforeAWriterThreadIsGrantedIsOwedNothing() throws Exception {
        writers = new WriterThreads(100, refusingThreads(new AtomicInteger(Integer.MAX_VALUE)));
        listen(Connection::new);
        Client client = clientOwedALongAnswerBehindAnother();
        client.close();
        await(() -> front.unansweredRequests() == 0 && front.isQuiescent());
    }
}
