package olivechute.net;

import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.memory.FailureLog;

/**
 * Runs writes that may block on a peer, so that they block neither the event loop's own thread nor that of a
 * connection. Such writes are rare, so threads are taken only while there are some. The queue holds at most one write
 * for each connection. A peer that does not read occupies one of the threads until its connection is given up, and
 * delays all other writes here, so clients, which may not read, and endpoints have separate instances.
 */
public final class WriterThreads {
    private static final int MAX_THREADS = 3;

    private final Queue<Runnable> queue;
    private final ConnectionThreads connectionThreads;
    private final AtomicInteger runningThreads = new AtomicInteger();

    /**
     * Creates writer threads for so many connections, taken from the pool that all connections of this process share.
     */
    public WriterThreads(int maxConnections) {
        this(maxConnections, Threads.connectionThreads());
    }

    public WriterThreads(int maxConnections, ConnectionThreads connectionThreads) {
        this.queue = new ArrayBlockingQueue<>(maxConnections);
        this.connectionThreads = connectionThreads;
    }

    /** Queues a write; false if the queue is full or no thread is available. */
    public boolean offer(Runnable write) {
        if (!queue.offer(write)) {
            return false;
        }
        if (!claimThread()) {
            return true;
        }
        try {
            connectionThreads.run(this::run);
            return true;
        } catch (OutOfMemoryError noThread) {
            return runningThreads.decrementAndGet() > 0 || !queue.remove(write);
        }
    }

    /** Claims one more thread, unless enough are running. */
    private boolean claimThread() {
        return runningThreads.getAndUpdate(n -> Math.min(MAX_THREADS, n + 1)) < MAX_THREADS;
    }

    private void run() {
        do {
            for (Runnable write = queue.poll(); write != null; write = queue.poll()) {
                try {
                    write.run();
                } catch (RuntimeException | Error e) {
                    FailureLog.log(e, "write failed"); // rethrown, it would leave this thread counted as running
                }
            }
            runningThreads.decrementAndGet();
        } while (!queue.isEmpty() && claimThread()); // a write may have been queued as the last one finished
    }
}
