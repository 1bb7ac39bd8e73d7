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
 * A system that lets the process have few threads, as a container's limit does, while idle clients hold one each. The
 * virtual machine needs a thread for each signal, and drops the signal where there is none; so some have to be left.
 */
public class ThreadLimitTest extends DownstreamServerTestBase {
    private static final int MAX_THREADS = 150;
    private static final int IDLE_CLIENTS = 400;
    /** More than the threads, so that the bound on connections does not come into it. */
    private static final int MAX_CONNECTIONS = 1000;
    /** For signals, the end of the process and writes. */
    private static final int RESERVED_THREADS = 8;

    private static final byte[] READINESS_REQUEST = MessageWriter.request("GET", "/health/ready", "node", null);

    /** Threads of the connections that run. */
    private final AtomicInteger running = new AtomicInteger();

    private final AtomicInteger failedStarts = new AtomicInteger();

    /** Starts as a thread of a process does that may have no more: with an error. */
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
                    192 * 1024);
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

    /** So many threads could be started, as for signals: looked at until it is so. */
    private void awaitFreeThreads(int threads) throws Exception {
        await(() -> running.get() + threads <= MAX_THREADS);
    }

    /** A client that asks once and stays; false if its connection was closed unserved. */
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
        assertEquals(failedStarts.get(), before, "refused once more");
        awaitFreeThreads(RESERVED_THREADS);
        assertTrue(running.get() > MAX_THREADS / 2, "gave up too many: " + running.get());
    }
}
