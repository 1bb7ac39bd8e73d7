package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.net.Connection;
import olivechute.net.ConnectionThreads;
import org.testng.annotations.Test;

/**
 * Tests a system that limits the threads of the process, as a container does, while idle clients hold one each. The
 * virtual machine needs a thread for each signal and drops the signal when it gets none, so some threads must stay
 * free.
 */
public class ThreadLimitTest extends DownstreamServerTestBase {
    private static final int MAX_THREADS = 150;
    private static final int IDLE_CLIENTS = 400;
    /** Above the thread limit, so that the connection limit has no effect. */
    private static final int MAX_CONNECTIONS = 1000;
    /** Threads kept free for signals, the shutdown of the process and writes. */
    private static final int RESERVED_THREADS = 8;

    private static final byte[] READINESS_REQUEST = MessageWriter.request("GET", "/health/ready", "node", null);

    /** Number of connection threads that are running. */
    private final AtomicInteger running = new AtomicInteger();

    private final AtomicInteger failedStarts = new AtomicInteger();

    /** A thread whose start fails once the process has as many threads as it may have. */
    private final class LimitedThread extends Thread {
        LimitedThread(Runnable task) {
            super(
                    null,
                    () -> {
                        try {
                            task.run();
                        } finally {
                            running.decrementAndGet();
                        }
                    },
                    "limited",
                    192 * 1024); // stack size in bytes
            setDaemon(true);
        }

        @Override
        public synchronized void start() {
            if (running.incrementAndGet() > MAX_THREADS) {
                running.decrementAndGet();
                failedStarts.incrementAndGet();
                throw new OutOfMemoryError("unable to create native thread");
            }
            super.start();
        }
    }

    /** Waits until the given number of threads could be started, as for signals. */
    private void awaitFreeThreads(int threads) throws Exception {
        await(() -> running.get() + threads <= MAX_THREADS);
    }

    /**
     * Sends one request and keeps the connection open; returns false if the connection was closed without a response.
     */
    private boolean requestAndStayConnected() throws Exception {
        try {
            HttpResponse answer = connect().exchange(READINESS_REQUEST);
            return answer != null && answer.status() == 200;
        } catch (IOException reset) {
            return false;
        }
    }

    @Test
    public void idleClientsLeaveThreadsForSignals() throws Exception {
        listen(Connection::new, new ConnectionThreads(LimitedThread::new), MAX_CONNECTIONS);
        while (failedStarts.get() == 0) {
            requestAndStayConnected();
        }
        awaitFreeThreads(RESERVED_THREADS);

        int before = failedStarts.get();
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            assertTrue(requestAndStayConnected(), "client " + i);
            awaitFreeThreads(1);
        }
        assertEquals(failedStarts.get(), before, "a thread start failed again");
        awaitFreeThreads(RESERVED_THREADS);
        assertTrue(running.get() > MAX_THREADS / 2, "too few threads running: " + running.get());
    }
}
