package olivechute.downstream;

/**
 * The connections that are not in use, in the order in which they are closed when room is short, so that the next one
 * to close is found in constant time however many there are. Within each kind they are ordered by the time at which
 * they became of that kind. Has no socket and no clock. Thread-safe.
 */
final class IdleConnections<C> {
    /** Why a connection is not in use. */
    enum Kind {
        /** Its last response is sent. */
        FINISHED,
        /** No message has begun on it. */
        UNUSED,
        /** A message has begun and is incomplete. */
        RECEIVING,
        /** It is between requests. */
        BETWEEN_REQUESTS,
        /** It carried a job status event, so that it belongs to an endpoint. */
        JOB_STATUS_SENDER
    }

    /** A connection's entry in the list of its kind; in no list while the connection is in use. */
    static final class Entry<C> {
        final C connection;
        private Kind kind;
        private long sinceUs;
        private Entry<C> previous;
        private Entry<C> next;

        Entry(C connection) {
            this.connection = connection;
        }
    }

    private final long settleTimeUs;
    private final Entry<C>[] oldest = newEntryArray();
    private final Entry<C>[] newest = newEntryArray();

    /**
     * Creates an empty set. {@code settleTimeUs}: how long, in microseconds, a connection that is new or receives a
     * message may be about to open a stream.
     */
    IdleConnections(long settleTimeUs) {
        this.settleTimeUs = settleTimeUs;
    }

    @SuppressWarnings("unchecked")
    private static <C> Entry<C>[] newEntryArray() {
        return new Entry[Kind.values().length];
    }

    /**
     * Registers a connection as of this kind since {@code sinceUs}, at the end of that kind's list. With an unchanged
     * kind and time it keeps its position.
     */
    synchronized void put(Entry<C> entry, Kind kind, long sinceUs) {
        if (entry.kind == kind && entry.sinceUs == sinceUs) {
            return;
        }
        remove(entry);
        int ordinal = kind.ordinal();
        entry.kind = kind;
        entry.sinceUs = sinceUs;
        entry.previous = newest[ordinal];
        if (newest[ordinal] == null) {
            oldest[ordinal] = entry;
        } else {
            newest[ordinal].next = entry;
        }
        newest[ordinal] = entry;
    }

    /** The connection is in use or has ended. */
    synchronized void remove(Entry<C> entry) {
        if (entry.kind == null) {
            return;
        }
        int ordinal = entry.kind.ordinal();
        if (entry.previous == null) {
            oldest[ordinal] = entry.next;
        } else {
            entry.previous.next = entry.next;
        }
        if (entry.next == null) {
            newest[ordinal] = entry.previous;
        } else {
            entry.next.previous = entry.previous;
        }
        entry.kind = null;
        entry.previous = null;
        entry.next = null;
    }

    /** Moves a connection that cannot be closed at the moment behind the others of its kind. */
    synchronized void requeue(Entry<C> entry, long nowUs) {
        if (entry.kind != null) {
            put(entry, entry.kind, nowUs);
        }
    }

    /**
     * The connection to close next, null if there is none. The order is: finished connections; connections without a
     * message and then connections with an incomplete one, each if in that state for at least the settle time;
     * connections between requests; newer connections without a message; connections of endpoints. Of several it is the
     * one that has been in its state for longest.
     */
    synchronized Entry<C> nextToClose(long nowUs) {
        Entry<C> unused = oldest[Kind.UNUSED.ordinal()];
        Entry<C> receiving = oldest[Kind.RECEIVING.ordinal()];
        if (oldest[Kind.FINISHED.ordinal()] != null) {
            return oldest[Kind.FINISHED.ordinal()];
        }
        if (unused != null && nowUs - unused.sinceUs >= settleTimeUs) {
            return unused;
        }
        if (receiving != null && nowUs - receiving.sinceUs >= settleTimeUs) {
            return receiving;
        }
        if (oldest[Kind.BETWEEN_REQUESTS.ordinal()] != null) {
            return oldest[Kind.BETWEEN_REQUESTS.ordinal()];
        }
        return unused != null ? unused : oldest[Kind.JOB_STATUS_SENDER.ordinal()];
    }
}
