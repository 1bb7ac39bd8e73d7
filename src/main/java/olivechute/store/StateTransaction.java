package olivechute.store;

import com.google.protobuf.ByteString;
import java.util.List;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Collects the changes that one command makes to a state. Not thread-safe. A transaction that is not committed has no
 * effect.
 */
final class StateTransaction {
    private final StoreLimits limits;
    private final StoreState before;
    private TreePMap<String, VersionedValue> entries;
    private TreePMap<Long, TreePSet<String>> keysBySession;
    private TreePSet<String> changedKeys = TreePSet.empty();
    private long totalBytes;
    private long clockMs;
    private int featureLevel;
    private boolean sessionAllocated;
    LeaseTable leases;
    TreePMap<String, Long> fences;
    TreePMap<String, Integer> announcedLevels;

    StateTransaction(StoreState before, StoreLimits limits) {
        this.before = before;
        this.limits = limits;
        entries = before.entries();
        keysBySession = before.keysBySession();
        totalBytes = before.totalBytes();
        clockMs = before.clockMs();
        featureLevel = before.featureLevel();
        leases = before.leases();
        fences = before.fences();
        announcedLevels = before.announcedLevels();
    }

    /** Returns the version of the changes made in this transaction. */
    long nextVersion() {
        return before.version() + 1;
    }

    /** Returns a new session number, which consumes the next version even if no key changes. */
    long allocateSession() {
        sessionAllocated = true;
        return nextVersion();
    }

    void advanceClock(long nowMs) {
        clockMs = Math.max(clockMs, nowMs);
    }

    void featureLevel(int newLevel) {
        featureLevel = newLevel;
    }

    void put(String key, ByteString value, long session) {
        remove(key);
        entries = entries.plus(key, new VersionedValue(value, nextVersion(), session));
        totalBytes += EntrySizes.sizeInBytes(key, value);
        if (session != 0) {
            keysBySession = keysBySession.plus(
                    session,
                    keysBySession.getOrDefault(session, TreePSet.empty()).plus(key));
        }
        changedKeys = changedKeys.plus(key);
    }

    void delete(String key) {
        if (remove(key)) {
            changedKeys = changedKeys.plus(key);
        }
    }

    /** Ends a lease and deletes its keys. */
    void endLease(LeaseEntry lease) {
        leases = leases.without(lease);
        for (String key : keysBySession.getOrDefault(lease.session(), TreePSet.empty())) {
            delete(key);
        }
    }

    int keyCount() {
        return entries.size();
    }

    long totalBytes() {
        return totalBytes;
    }

    /** Returns the state after all changes. */
    StoreState commit() {
        if (changedKeys.isEmpty() && !sessionAllocated) {
            return buildState(before.version(), before.history());
        }
        ChangeHistory history = changedKeys.isEmpty()
                ? before.history()
                : before.history().append(nextVersion(), List.copyOf(changedKeys), limits.maxHistoryKeys());
        return buildState(nextVersion(), history);
    }

    private StoreState buildState(long version, ChangeHistory history) {
        return new StoreState(
                before.index(),
                version,
                clockMs,
                featureLevel,
                entries,
                totalBytes,
                keysBySession,
                leases,
                fences,
                announcedLevels,
                history);
    }

    private boolean remove(String key) {
        VersionedValue removed = entries.get(key);
        if (removed == null) {
            return false;
        }
        entries = entries.minus(key);
        totalBytes -= EntrySizes.sizeInBytes(key, removed.value());
        if (removed.session() != 0) {
            TreePSet<String> remaining = keysBySession.get(removed.session()).minus(key);
            keysBySession = remaining.isEmpty()
                    ? keysBySession.minus(removed.session())
                    : keysBySession.plus(removed.session(), remaining);
        }
        return true;
    }
}
