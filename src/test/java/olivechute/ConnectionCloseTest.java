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
public class ConnectionCloseTest extends DownstreamServerTestBase {
    private static final byte[] READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\n\r\n".getBytes(UTF_8);
    /** After so long a message that does not end, and a connection that never carried one, are given up. */
    private static final int STALL_TIMEOUT_MILLIS = 2000;

    private static final int THREAD_DELAY_MILLIS = 900;
    /** After so long a connection that carries nothing may go for a newcomer. */
    private static final int EVICTABLE_AFTER_MILLIS = 150;

    private static final String LARGE_RESULT = "x".repeat(40_000);

    private final CountDownLatch neverReleased = new CountDownLatch(1);

    /** Holds up the thread that took the request, after the request has gone to the event loop. */
    private void delayRequestThreads() {
        onRequest = () -> loop.defer(() -> awaitLatch(neverReleased, THREAD_DELAY_MILLIS));
    }

    private static void awaitLatch(CountDownLatch latch, int millis) {
        try {
            latch.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    public void requestWithDelayedThreadIsNotClosedAsStalled() throws Exception {
        listen(Connection::new);
        delayRequestThreads();
        TestClient client = connect();
        byte[] job = TestClient.jobRequest("verify", "t1", 5000);
        client.send(Arrays.copyOf(job, 30));
        Thread.sleep(STALL_TIMEOUT_MILLIS - 500);
        client.send(Arrays.copyOfRange(job, 30, job.length));
        var taken = awaitRequest();
        Thread.sleep(THREAD_DELAY_MILLIS);
        sendResult(taken, "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    @Test
    public void firstRequestOnIdleConnectionIsNotClosedAsStalled() throws Exception {
        listen(Connection::new);
        delayRequestThreads();
        TestClient client = connect();
        Thread.sleep(STALL_TIMEOUT_MILLIS - 500);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        var taken = awaitRequest();
        Thread.sleep(THREAD_DELAY_MILLIS);
        sendResult(taken, "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    @Test
    public void firstRequestDuringUnusedConnectionCheckIsNotClosed() throws Exception {
        AtomicBoolean asked = new AtomicBoolean();
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch taken = new CountDownLatch(1);
        listen(channel -> new Connection(channel) {
            @Override
            public boolean hasUnreadInput() {
                if (!asked.getAndSet(true)) {
                    decides.countDown();
                    awaitLatch(taken, THREAD_DELAY_MILLIS);
                }
                return super.hasUnreadInput();
            }
        });
        onRequest = taken::countDown;
        TestClient client = connect();
        assertTrue(decides.await(STALL_TIMEOUT_MILLIS + 1000, TimeUnit.MILLISECONDS));
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertAnsweredOrUnread(client);
    }

    /** A request that the node did not read may find its connection ended; one that it read has its answer. */
    private void assertAnsweredOrUnread(TestClient client) throws Exception {
        var request = arrivedRequests.poll(THREAD_DELAY_MILLIS + 500, TimeUnit.MILLISECONDS);
        if (request != null) {
            sendResult(request, "ok");
            assertEquals(statusAndBody(client.receive()), "200 ok");
        } else {
            assertTrue(client.isClosedByServer());
        }
    }

    /** Holds each connection's reader from the moment at which it has read what comes after so many reads. */
    private void listenBlockingAfterRead(int reads, CountDownLatch readDone, CountDownLatch release, int maxConnections)
            throws IOException {
        listen(
                channel -> {
                    AtomicInteger left = new AtomicInteger(reads);
                    return new ObservedConnection(channel) {
                        @Override
                        void afterRead(int n) {
                            if (left.decrementAndGet() == 0) {
                                readDone.countDown();
                                awaitLatch(release, 3000);
                            }
                        }
                    };
                },
                maxConnections);
    }

    @Test
    public void requestBeingReadIsAnsweredDuringDrain() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenBlockingAfterRead(2, has, go, 100);
        TestClient client = connect();
        assertEquals(client.exchange(READINESS_REQUEST).status(), 200);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        server.drain();
        Thread.sleep(300); // several sweeps
        go.countDown();
        sendResult(awaitRequest(), "ok");
        HttpResponse answer = client.receive();
        assertEquals(statusAndBody(answer), "200 ok");
        assertEquals(answer.keepAlive(), false);
        assertNull(client.receive());
    }

    @Test
    public void firstRequestBeingReadIsAnsweredAtConnectionLimit() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenBlockingAfterRead(1, has, go, 1);
        TestClient client = connect();
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        connect(); // beyond the bound: somebody has to go
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        go.countDown();
        sendResult(awaitRequest(), "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    @Test
    public void laterRequestBeingReadIsAnsweredAtConnectionLimit() throws Exception {
        CountDownLatch has = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        listenBlockingAfterRead(2, has, go, 1);
        TestClient client = connect();
        assertEquals(client.exchange(READINESS_REQUEST).status(), 200);
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(has.await(2, TimeUnit.SECONDS));
        connect();
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        go.countDown();
        sendResult(awaitRequest(), "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    @Test
    public void incompleteRequestIsAnsweredBeforeClose() throws Exception {
        listen(Connection::new);
        TestClient client = connect();
        byte[] job = TestClient.jobRequest("verify", "t1", 5000);
        client.send(Arrays.copyOf(job, 30));
        HttpResponse answer = client.receive();
        assertEquals(answer == null ? 0 : answer.status(), 503);
        client.send(Arrays.copyOfRange(job, 30, job.length));
        assertNull(client.receive());
        assertEquals(arrivedRequests.size(), 0);
    }

    @Test
    public void incompleteRequestIsAnsweredAtConnectionLimit() throws Exception {
        listen(Connection::new, 1);
        TestClient client = connect();
        client.send(Arrays.copyOf(TestClient.jobRequest("verify", "t1", 5000), 30));
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        connect();
        HttpResponse answer = client.receive();
        assertEquals(answer == null ? 0 : answer.status(), 503);
    }

    @Test
    public void responseBeforeCloseIsCompleteDespiteCrossingRequests() throws Exception {
        listen(Connection::new);
        TestClient client = connect();
        String large = "x".repeat(60_000);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        sendResult(awaitRequest(), large);
        await(() -> server.unansweredRequests() == 0);
        server.drain();
        await(() -> server.isQuiescent());
        try {
            client.send(TestClient.jobRequest("verify", "t2", 5000)).send(TestClient.jobRequest("verify", "t3", 5000));
        } catch (IOException ended) {
            assertEquals(arrivedRequests.size(), 0);
        }
        assertEquals(statusAndBody(client.receive()), "200 " + large);
        assertTrue(client.isClosedByServer());
        assertEquals(arrivedRequests.size(), 0);
    }

    @Test
    public void errorInAnotherTaskDoesNotLoseTheRequest() throws Exception {
        listen(Connection::new);
        onRequest = () -> loop.defer(() -> {
            throw new StackOverflowError("of another request");
        });
        TestClient client = connect().send(TestClient.jobRequest("verify", "t1", 5000));
        var request = awaitRequest();
        onRequest = () -> {};
        Thread.sleep(100);
        sendResult(request, "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    /** Starts as a thread does where the system grants none, until so many were refused. */
    private static ConnectionThreads failingThreads(AtomicInteger failuresLeft) {
        return new ConnectionThreads(task -> new Thread(task) {
            @Override
            public synchronized void start() {
                if (failuresLeft.getAndDecrement() > 0) {
                    throw new OutOfMemoryError("unable to create native thread");
                }
                setDaemon(true);
                super.start();
            }
        });
    }

    /** The second answer may wait for a client that does not read, as the first fills half of the send buffer. */
    private TestClient clientAwaitingSecondLargeResult() throws Exception {
        TestClient client = connect()
                .send(TestClient.jobRequest("verify", "t1", 5000))
                .send(TestClient.jobRequest("verify", "t2", 5000));
        sendResult(awaitRequest(), LARGE_RESULT);
        assertEquals(statusAndBody(client.receive()), "200 " + LARGE_RESULT);
        sendResult(awaitRequest(), LARGE_RESULT);
        return client;
    }

    @Test
    public void responseSurvivesTemporaryWriterThreadExhaustion() throws Exception {
        writers = new WriterThreads(100, failingThreads(new AtomicInteger(3)));
        listen(Connection::new);
        TestClient client = clientAwaitingSecondLargeResult();
        assertEquals(statusAndBody(client.receive()), "200 " + LARGE_RESULT);
        await(() -> server.unansweredRequests() == 0);
    }

    @Test
    public void disconnectWhileWaitingForWriterThreadReleasesTheRequest() throws Exception {
        writers = new WriterThreads(100, failingThreads(new AtomicInteger(Integer.MAX_VALUE)));
        listen(Connection::new);
        TestClient client = clientAwaitingSecondLargeResult();
        client.close();
        await(() -> server.unansweredRequests() == 0 && server.isQuiescent());
    }
}
