package olivechute.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import olivechute.error.StoreException;

/**
 * The replicated store as its clients see it: keys with versioned values, leases with fencing numbers, watches without
 * gaps. All but watches are linearizable. Every call answers or fails within the client's time-out with a
 * {@link StoreException}; after NOT_REACHED a write may or may not have taken effect. Safe for use by several threads.
 */
public interface Store extends AutoCloseable {
    /** A value and the store's version at its last change. */
    record Entry(String key, byte[] value, long version) {}

    /** What changed under a prefix; {@code whole}: {@code entries} are all there are. Watch on from {@code version}. */
    record Changes(long version, boolean complete, List<Entry> entries, List<String> removed) {}

    /** A held lease; {@code session} is the fencing number too and only grows. */
    record Lease(String name, String owner, long session, Duration ttl) {
        /** The fence that writes under this lease carry. */
        public Fence fence() {
            return new Fence(name, session);
        }
    }

    /** Proof that nobody took the lease of this name since. */
    record Fence(String domain, long token) {}

    /**
     * One change: {@code value} null deletes; {@code ifVersion} null: whatever is there, 0: nothing may be;
     * {@code session} 0: it stays.
     */
    record Write(String key, byte[] value, Long ifVersion, long session) {
        public static Write put(String key, byte[] value) {
            return new Write(key, value, null, 0);
        }

        public static Write putIf(String key, byte[] value, long version) {
            return new Write(key, value, version, 0);
        }

        public static Write delete(String key) {
            return new Write(key, null, null, 0);
        }
    }

    Optional<Entry> get(String key) throws StoreException;

    /** All under a prefix. */
    Changes list(String prefix) throws StoreException;

    /**
     * All of the writes or none; returns the store's version after. Faults: CONFLICT, STALE_FENCE, SESSION_ENDED,
     * TOO_LARGE, TOO_MANY.
     */
    long write(List<Write> writes, List<Fence> fences) throws StoreException;

    /**
     * What changed under a prefix after a version, waiting up to {@code wait} for the first; no change gives an empty
     * one.
     */
    Changes watch(String prefix, long since, Duration wait) throws StoreException;

    /**
     * Takes a lease; LEASE_HELD while another owner holds it. The same owner that asks again gets a new, higher
     * session.
     */
    Lease acquire(String name, String owner, Duration ttl) throws StoreException;

    /** Prolongs a lease by its ttl; SESSION_ENDED once it ran out. */
    void renew(Lease lease) throws StoreException;

    /** Ends a lease; its keys go. */
    void release(Lease lease) throws StoreException;

    @Override
    void close();
}
