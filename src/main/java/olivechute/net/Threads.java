package olivechute.net;

/** Creates platform threads with small stacks, as one for each connection must fit the node's memory. */
public final class Threads {
    private static final long STACK_BYTES = 192 * 1024;
    private static final ConnectionThreads CONNECTION_THREADS =
            new ConnectionThreads(task -> newThread("connection", task));

    private Threads() {}

    /** Starts a thread that lasts as long as the node. */
    public static Thread start(String name, Runnable task) {
        Thread thread = newThread(name, task);
        thread.start();
        return thread;
    }

    /** The pool that all connections of this process share. */
    public static ConnectionThreads connectionThreads() {
        return CONNECTION_THREADS;
    }

    /** Runs a connection's task on the shared pool; throws an {@link OutOfMemoryError} if there is no thread. */
    public static void runConnection(Runnable task) {
        CONNECTION_THREADS.run(task);
    }

    private static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }
}
