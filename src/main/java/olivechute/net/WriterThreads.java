package olivechute.net;

import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Writes what may wait for a peer, so that neither the event loop's own thread nor a connection's does. Few writes come
 * here, so threads are taken only while there are some. The queue holds at most one write for each connection. A peer
 * that reads nothing holds up one of the threads until it is given up, and with it whoever else writes here: peers that
 * may do so have writers of their own.
 */
public final class WriterThreads {
    private static final int MAX_THREADS = 3;

    private final Queue<Runnable> queue;
    private final ConnectionThreads connectionThreads;
    private final AtomicInteger runningThreads = new AtomicInteger();

    /** Writes for so many connections, on threads that all connections of this process share. */
    public WriterThreads(int maxConnections) {
        this(maxConnections, Threads.connectionThreads());
    }

    public WriterThreads(int maxConnections, ConnectionThreads connectionThreads) {
        this.queue = new ArrayBlockingQueue<>(maxConnections);
        this.connectionThreads = connectionThreads;
    }

    /** Queues a write; false if the queue is full, or there is no thread to be had for it. */
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

    /** One more thread writes, unless enough do. */
    private boolean claimThread() {
        return runningThreads.getAndUpdate(n -> Math.min(MAX_THREADS, n + 1)) < MAX_THREADS;
    }

    private void run() {
        do {
            for (Runnable write = queue.poll(); write != null; write = queue.poll()) {
                try {
                    write.run();
                } catch (RuntimeException e) {
                    Logger.error(e, "write failed");
                }
            }
            runningThreads.decrementAndGet();
        } while (!queue.isEmpty() && claimThread()); // one that came as the last was done
    }
}
