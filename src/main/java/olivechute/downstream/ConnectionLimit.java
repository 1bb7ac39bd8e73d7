package olivechute.downstream;

/**
 * How many connections a node may hold: as many as its limits bear, and fewer once the system refuses it threads. Each
 * connection takes one, and how many there are is told nowhere for certain: a container, a user and a machine have
 * limits of their own, shared with others. Some must be left, as the virtual machine starts a thread for each signal
 * and drops the signal if it gets none, and writes and requests take threads too. So, as connections grow in number, it
 * is proven from time to time that more threads can be had than the next ones take.
 *
 * <p>Times are microseconds on the caller's clock. On any thread.
 */
final class ConnectionLimit {
    /** Threads that stay free. */
    static final int RESERVED_THREADS = 16;
    /** Connections from one proof to the next. */
    static final int CONNECTIONS_PER_CHECK = 16;
    /** Threads that a proof starts. */
    static final int CHECK_THREADS = CONNECTIONS_PER_CHECK + RESERVED_THREADS;
    /** Fewer are taken without proof: so few threads every system grants. */
    static final int UNCHECKED_CONNECTIONS = 64;
    /** For how long a refusal counts: what else took threads may have ended. */
    static final long REDUCTION_US = 30_000_000;

    private final int maxConnections;
    private int limit; // guarded by this, as the rest
    private int checkedConnections = UNCHECKED_CONNECTIONS;
    private long reducedAtUs;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
        this.limit = maxConnections;
    }

    /** How many may be open now. */
    synchronized int limitAt(long nowUs) {
        if (limit < maxConnections && nowUs - reducedAtUs >= REDUCTION_US) {
            limit = maxConnections;
        }
        return limit;
    }

    /** True if there are more than the last proof was for: another is due, and is taken for granted until it fails. */
    synchronized boolean beginCheckIfDue(int connections) {
        boolean due = connections > checkedConnections;
        checkedConnections = due ? connections + CONNECTIONS_PER_CHECK : checkedConnections;
        return due;
    }

    /** The system refused a thread while there were so many connections. */
    synchronized void onThreadUnavailable(int connections, long nowUs) {
        limit = Math.min(maxConnections, Math.max(1, Math.max(connections / 2, connections - CHECK_THREADS)));
        reducedAtUs = nowUs;
        checkedConnections = limit;
    }
}
