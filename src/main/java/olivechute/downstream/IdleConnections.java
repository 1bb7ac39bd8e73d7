package olivechute.downstream;

/**
 * The connections that carry nothing, by what they are worth, so that the one to go when room is short is found in
 * constant time however many there are. Each kind's are in the order in which they came to be of it. Knows no socket
 * and no clock.
 */
final class IdleConnections<C> {
    /** Why a connection carries nothing. */
    enum Kind {
        /** Its last answer is out. */
        FINISHED,
        /** It never said anything. */
        UNUSED,
        /** A message began on it and does not end. */
        RECEIVING,
        /** It is between requests. */
        BETWEEN_REQUESTS,
        /** It brought news: an upstream host's. */
        JOB_STATUS_SENDER
    }

    /** One connection's place; it is of a kind, or of none while it carries something. */
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

    /** {@code settled}: microseconds for which one that is new or in a message may be about to open a stream. */
    IdleConnections(long settleTimeUs) {
        this.settleTimeUs = settleTimeUs;
    }

    @SuppressWarnings("unchecked")
    private static <C> Entry<C>[] newEntryArray() {
        return new Entry[Kind.values().length];
    }

    /** It is of this kind from that moment on, and the last of it; told again of the same, it keeps its place. */
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

    /** It carries something, or has ended. */
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

    /** It cannot go at this moment, whatever it seemed: others of its kind come first. */
    synchronized void requeue(Entry<C> entry, long nowUs) {
        if (entry.kind != null) {
            put(entry, entry.kind, nowUs);
        }
    }

    /**
     * The one that is worth least, null if there is none: those of no use any more, those that never said anything,
     * those stuck in a message, those between requests, those that came just now, upstream hosts'; of these the one
     * that has been so for longest.
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
