package olivechute.store;

import olivechute.store.wire.Lease;

/**
 * A held lease. It expires once the store's clock reaches {@code expiresAtMs}, in ms since the epoch; {@code session}
 * is its fencing token.
 */
record LeaseEntry(String name, String owner, long session, long ttlMs, long expiresAtMs)
        implements Comparable<LeaseEntry> {
    /** Returns the lease extended by its full time to live from now. */
    LeaseEntry renewed(long nowMs) {
        return new LeaseEntry(name, owner, session, ttlMs, expiryMs(nowMs, ttlMs));
    }

    /** Returns the expiry of a lease that starts now, capped at {@link Long#MAX_VALUE}. */
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

    /** Orders leases by expiry, earliest first, then by session. */
    @Override
    public int compareTo(LeaseEntry other) {
        int byExpiry = Long.compare(expiresAtMs, other.expiresAtMs);
        return byExpiry != 0 ? byExpiry : Long.compare(session, other.session);
    }
}
