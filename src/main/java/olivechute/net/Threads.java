package olivechute.net;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Platform threads with small stacks: one for each connection must fit the node's memory. One whose connection has ended
 * waits a moment for the next: making a thread is the larger part of what a short connection costs.
 */
public final class Threads {
    private static final long STACK = 192 * 1024;
    private static final long KEPT_MILLIS = 1000;
    private static final ThreadPoolExecutor CONNECTIONS = new ThreadPoolExecutor(0, Integer.MAX_VALUE, KEPT_MILLIS,
        TimeUnit.MILLISECONDS, new SynchronousQueue<>(), task -> thread("connection", task));

    private Threads() { }

    /** A thread of its own, for what lasts as long as the node. */
    public static Thread start(String name, Runnable task) {
        Thread thread = thread(name, task);
        thread.start();
        return thread;
    }

    /** Runs a connection's task on a thread that is free, or on a new one; an {@link OutOfMemoryError} if there is none. */
    public static void connection(Runnable task) {
        CONNECTIONS.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Logger.error(e, "connection failed");       // thrown on, it would cost the thread
            }
        });
    }

    private static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK);
        thread.setDaemon(true);
        return thread;
    }
}
