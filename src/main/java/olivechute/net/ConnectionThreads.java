package olivechute.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * The threads of connections and of writes. One whose task has ended waits a moment for the next, as making a thread is
 * dear.
 */
public final class ConnectionThreads {
    private static final long KEEP_ALIVE_MILLIS = 1000;
    private static final long SHORTAGE_KEEP_ALIVE_MILLIS = 20;

    private final ThreadFactory threadFactory;
    private final ThreadPoolExecutor pool;

    /** {@code threads} makes them; one that it makes may throw an {@link OutOfMemoryError} when it is started. */
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

    /** Whether the system grants so many threads more, all at once: they are started, and end. */
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
     * The system refused threads: those that are free end soon from now on, and at once if they have been free for that
     * long.
     */
    public void shortenKeepAlive() {
        pool.setKeepAliveTime(SHORTAGE_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs a task on a thread that is free, or on a new one; an {@link OutOfMemoryError} if there is none. */
    public void run(Runnable task) {
        pool.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Logger.error(e, "connection failed"); // thrown on, it would cost the thread
            }
        });
    }
}
