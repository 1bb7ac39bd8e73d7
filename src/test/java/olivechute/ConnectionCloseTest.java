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

/**
 * Tests that a connection from which the node has read a request stays open until the response, even if the node was
 * about to close it at that moment.
 */
public class ConnectionCloseTest extends DownstreamServerTestBase {
    private static final byte[] READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\n\r\n".getBytes(UTF_8);
    /** Time after which an incomplete message, or a connection that never carried one, is given up. */
    private static final int STALL_TIMEOUT_MILLIS = 2000;

    /** Time by which a thread of the node is delayed; with the pause before the request more than the stall timeout. */
    private static final int THREAD_DELAY_MILLIS = 900;

    /** Time after which an idle connection may be evicted in favour of a new one. */
    private static final int EVICTABLE_AFTER_MILLIS = 150;

    private static final String LARGE_RESULT = "x".repeat(40_000);

    private final CountDownLatch neverReleased = new CountDownLatch(1);

    /** Delays the thread that read the request after it has passed the request to the event loop. */
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
        AtomicBoolean checked = new AtomicBoolean();
        CountDownLatch checkStarted = new CountDownLatch(1);
        CountDownLatch taken = new CountDownLatch(1);
        listen(channel -> new Connection(channel) {
            @Override
            public boolean hasUnreadInput() {
                if (!checked.getAndSet(true)) {
                    checkStarted.countDown();
                    awaitLatch(taken, THREAD_DELAY_MILLIS);
                }
                return super.hasUnreadInput();
            }
        });
        onRequest = taken::countDown;
        TestClient client = connect();
        assertTrue(checkStarted.await(STALL_TIMEOUT_MILLIS + 1000, TimeUnit.MILLISECONDS));
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertAnsweredOrUnread(client);
    }

    /** A request that the node did not read may find its connection closed; one that it read must be answered. */
    private void assertAnsweredOrUnread(TestClient client) throws Exception {
        var request = arrivedRequests.poll(THREAD_DELAY_MILLIS + 500, TimeUnit.MILLISECONDS);
        if (request != null) {
            sendResult(request, "ok");
            assertEquals(statusAndBody(client.receive()), "200 ok");
        } else {
            assertTrue(client.isClosedByServer());
        }
    }

    /**
     * Starts the server so that the reader of each connection blocks after its read number {@code reads} has returned.
     */
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

    /**
     * Guards against an error in a write, such as no memory for the system call, that left the connection open without
     * a response: its client waited in vain.
     */
    @Test
    public void errorInAWriteEndsItsConnection() throws Exception {
        listen(channel -> new ObservedConnection(channel) {
            @Override
            void beforeWrite() {
                throw new OutOfMemoryError("of a test");
            }
        });
        TestClient client = connect();
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        sendResult(awaitRequest(), "ok");
        assertTrue(client.isClosedByServer());
        await(() -> server.unansweredRequests() == 0);
    }

    @Test
    public void requestBeingReadIsAnsweredDuringDrain() throws Exception {
        CountDownLatch readDone = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        listenBlockingAfterRead(2, readDone, release, 100);
        TestClient client = connect();
        assertEquals(client.exchange(READINESS_REQUEST).status(), 200);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(readDone.await(2, TimeUnit.SECONDS));
        server.drain();
        Thread.sleep(300); // several sweep intervals
        release.countDown();
        sendResult(awaitRequest(), "ok");
        HttpResponse answer = client.receive();
        assertEquals(statusAndBody(answer), "200 ok");
        assertEquals(answer.keepAlive(), false);
        assertNull(client.receive());
    }

    @Test
    public void firstRequestBeingReadIsAnsweredAtConnectionLimit() throws Exception {
        CountDownLatch readDone = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        listenBlockingAfterRead(1, readDone, release, 1);
        TestClient client = connect();
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(readDone.await(2, TimeUnit.SECONDS));
        connect(); // above the connection limit, so a connection has to be evicted
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        release.countDown();
        sendResult(awaitRequest(), "ok");
        assertEquals(statusAndBody(client.receive()), "200 ok");
    }

    @Test
    public void laterRequestBeingReadIsAnsweredAtConnectionLimit() throws Exception {
        CountDownLatch readDone = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        listenBlockingAfterRead(2, readDone, release, 1);
        TestClient client = connect();
        assertEquals(client.exchange(READINESS_REQUEST).status(), 200);
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        client.send(TestClient.jobRequest("verify", "t1", 5000));
        assertTrue(readDone.await(2, TimeUnit.SECONDS));
        connect();
        Thread.sleep(EVICTABLE_AFTER_MILLIS);
        release.countDown();
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

    /**
     * Returns threads whose start fails, as when the system allows no more threads, until the given number of starts
     * has failed.
     */
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

    /**
     * Returns a client that has received one large result and awaits a second, whose write may block because the first
     * fills half of the send buffer.
     */
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
