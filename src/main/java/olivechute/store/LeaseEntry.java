package olivechute.store;

import olivechute.store.wire.Lease;

/** A lease that is held; it ends at {@code endsMs} of the store's clock. */
record LeaseEntry(String name, String owner, long session, long ttlMs, long expiresAtMs)
        implements Comparable<LeaseEntry> {
    /** The same lease, prolonged to its term from this moment. */
    LeaseEntry renewed(long nowMs) {
        return new LeaseEntry(name, owner, session, ttlMs, expiryMs(nowMs, ttlMs));
    }

    /** The end of a term that begins now, at most the end of time. */
    static long expiryMs(long nowMs, long ttlMs) {
        return ttlMs > Long.MAX_VALUE - nowMs ? Long.MAX_VALUE : nowMs + ttlMs;
    }

    Lease toMessage() {
        return Lease.newBuilder()
                .setName(name)
                .setOwner(owner)
                .setSession(session)
                .setTtlMs(ttlMs)
                .setEndsMs(expiresAtMs)
                .build();
    }

    /** The one that ends first comes first. */
    @Override
    public int compareTo(LeaseEntry other) {
        int byExpiry = Long.compare(expiresAtMs, other.expiresAtMs);
        return byExpiry != 0 ? byExpiry : Long.compare(session, other.session);
    }
}
