package olivechute.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import olivechute.memory.FailureLog;

/**
 * A pool of threads for connections and writes. A thread whose task has ended waits {@value #KEEP_ALIVE_MILLIS} ms for
 * the next one, as starting a thread is expensive.
 */
public final class ConnectionThreads {
    private static final long KEEP_ALIVE_MILLIS = 1000;
    private static final long SHORTAGE_KEEP_ALIVE_MILLIS = 20;

    private final ThreadFactory threadFactory;
    private final ThreadPoolExecutor pool;

    /**
     * Creates a pool with threads from {@code threadFactory}; starting one of them may throw an
     * {@link OutOfMemoryError}.
     */
    public ConnectionThreads(ThreadFactory threadFactory) {
        this.threadFactory = threadFactory;
        pool = new ThreadPoolExecutor(
                0,
                Integer.MAX_VALUE,
                KEEP_ALIVE_MILLIS,
                TimeUnit.MILLISECONDS,
                new SynchronousQueue<>(),
                threadFactory);
    }

    /**
     * Whether the system grants this number of additional threads at the same time; they are started and end at once.
     */
    public boolean canStart(int count) {
        CountDownLatch end = new CountDownLatch(1);
        try {
            for (int i = 0; i < count; i++) {
                threadFactory.newThread(() -> awaitEnd(end)).start();
            }
            return true;
        } catch (OutOfMemoryError noThread) {
            return false;
        } finally {
            end.countDown();
        }
    }

    private static void awaitEnd(CountDownLatch end) {
        try {
            end.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Shortens the wait of free threads from now on, because the system refused a thread; those that have been free for
     * longer end at once.
     */
    public void shortenKeepAlive() {
        pool.setKeepAliveTime(SHORTAGE_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on a free thread or on a new one; throws an {@link OutOfMemoryError} if there is none. */
    public void run(Runnable task) {
        pool.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                FailureLog.log(e, "connection task failed"); // rethrown, it would end the thread
            }
        });
    }
}
