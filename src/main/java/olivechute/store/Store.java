package olivechute.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import olivechute.error.StoreException;

/**
 * Client interface of the replicated store: keys with versioned values, leases with fencing tokens, and watches without
 * gaps. All operations except watches are linearizable. Every call returns or fails within the client's time-out, with
 * a {@link StoreException} on failure; after NOT_REACHED a write may or may not have taken effect. Safe for use by
 * several threads.
 */
public interface Store extends AutoCloseable {
    /** A key and its value, with the store's version at its last change. */
    record Entry(String key, byte[] value, long version) {}

    /**
     * Changes under a prefix. If {@code complete} is true, {@code entries} lists everything under it. The next watch
     * continues from {@code version}.
     */
    record Changes(long version, boolean complete, List<Entry> entries, List<String> removed) {}

    /** A held lease; {@code session} is also its fencing token, which only increases. */
    record Lease(String name, String owner, long session, Duration ttl) {
        /** Returns the fence that writes under this lease carry. */
        public Fence fence() {
            return new Fence(name, session);
        }
    }

    /** Makes a write fail if the lease of this name has been acquired anew since, or has ended. */
    record Fence(String domain, long token) {}

    /**
     * One change of a key. A null {@code value} deletes the key. {@code ifVersion} makes the write conditional: null
     * accepts any version, 0 requires that the key is absent. {@code session} is the lease that the key belongs to;
     * with 0 the key stays until it is deleted.
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

    /** Returns all entries under a prefix. */
    Changes list(String prefix) throws StoreException;

    /**
     * Applies all of the writes or none, and returns the store's version after them. Fails with CONFLICT, STALE_FENCE,
     * SESSION_ENDED, TOO_LARGE or TOO_MANY.
     */
    long write(List<Write> writes, List<Fence> fences) throws StoreException;

    /**
     * Returns what changed under a prefix after a version, waiting up to {@code wait} for the first change; without a
     * change the result is empty.
     */
    Changes watch(String prefix, long since, Duration wait) throws StoreException;

    /**
     * Acquires a lease; fails with LEASE_HELD while another owner holds it. The same owner gets a new, higher session
     * when it acquires the lease again.
     */
    Lease acquire(String name, String owner, Duration ttl) throws StoreException;

    /** Extends a lease by its time to live; fails with SESSION_ENDED once it has expired. */
    void renew(Lease lease) throws StoreException;

    /** Ends a lease and deletes its keys. */
    void release(Lease lease) throws StoreException;

    @Override
    void close();
}
