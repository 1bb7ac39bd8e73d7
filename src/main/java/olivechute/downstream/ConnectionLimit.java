package olivechute.downstream;

/**
 * The number of downstream connections that a node may hold: the configured maximum, and fewer after the system refused
 * a thread. Each connection takes one thread, and no source gives the number of available threads reliably: container,
 * user and machine have limits of their own, shared with other processes. Some threads must stay free, as the JVM
 * starts a thread for each signal and drops the signal if it gets none, and as writes and requests take threads too.
 * So, as the number of connections grows, the server checks from time to time that the system grants more threads than
 * the next connections take.
 *
 * <p>Times are microseconds on the caller's clock. Thread-safe.
 */
final class ConnectionLimit {
    /** Threads that are kept free. */
    static final int RESERVED_THREADS = 16;
    /** Connections from one thread check to the next. */
    static final int CONNECTIONS_PER_CHECK = 16;
    /** Threads that a check starts. */
    static final int CHECK_THREADS = CONNECTIONS_PER_CHECK + RESERVED_THREADS;
    /** Up to this number of connections no check is made, as every system grants so few threads. */
    static final int UNCHECKED_CONNECTIONS = 64;
    /** How long a reduced limit lasts, in microseconds; whatever else took threads may have ended by then. */
    static final long REDUCTION_US = 30_000_000;

    private final int maxConnections;
    private int limit; // guarded by this, like the fields below
    private int checkedConnections = UNCHECKED_CONNECTIONS; // up to this number no further check is due
    private long reducedAtUs;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
        this.limit = maxConnections;
    }

    /** The number of connections allowed now. */
    synchronized int limitAt(long nowUs) {
        if (limit < maxConnections && nowUs - reducedAtUs >= REDUCTION_US) {
            limit = maxConnections;
        }
        return limit;
    }

    /**
     * True if there are more connections than the last check covered, so that another check is due. Counts that check
     * as passed until {@link #onThreadUnavailable} reports otherwise.
     */
    synchronized boolean beginCheckIfDue(int connections) {
        boolean due = connections > checkedConnections;
        checkedConnections = due ? connections + CONNECTIONS_PER_CHECK : checkedConnections;
        return due;
    }

    /**
     * Reduces the limit because the system refused a thread while this number of connections was open: to half of that
     * number, but by at most {@link #CHECK_THREADS}.
     */
    synchronized void onThreadUnavailable(int connections, long nowUs) {
        limit = Math.min(maxConnections, Math.max(1, Math.max(connections / 2, connections - CHECK_THREADS)));
        reducedAtUs = nowUs;
        checkedConnections = limit;
    }
}
