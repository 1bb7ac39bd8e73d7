package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import olivechute.error.DiskException;

/** Checks invariants that hold in every state, and passes states through snapshots. */
final class StateChecks {
    private StateChecks() {}

    /** Checks that all parts of the state are consistent and within the limits. */
    static void assertConsistent(StoreState state, StoreLimits limits, String context) {
        Map<Long, TreeSet<String>> keysBySession = new TreeMap<>();
        long totalBytes = 0;
        for (Map.Entry<String, VersionedValue> each : state.entries().entrySet()) {
            VersionedValue stored = each.getValue();
            assertTrue(stored.version() >= 1 && stored.version() <= state.version(), context);
            assertTrue(
                    stored.value().size() <= limits.maxValueBytes()
                            && each.getKey().length() <= limits.maxKeyBytes(),
                    context);
            totalBytes += each.getKey().length() + stored.value().size();
            if (stored.session() != 0) {
                keysBySession
                        .computeIfAbsent(stored.session(), s -> new TreeSet<>())
                        .add(each.getKey());
                assertTrue(
                        state.leases().findBySession(stored.session()) != null,
                        context + ": a key exists after its session has ended");
            }
        }
        assertEquals(keysBySession, state.keysBySession(), context);
        assertEquals(totalBytes, state.totalBytes(), context);
        assertTrue(totalBytes <= limits.maxTotalBytes() && state.entries().size() <= limits.maxKeys(), context);
        assertTrue(
                state.leases().size() <= limits.maxLeases()
                        && state.announcedLevels().size() <= limits.maxReplicas(),
                context);
        assertTrue(state.fences().size() <= 2 * limits.maxLeases(), context);
        assertEquals(state.leases().size(), state.leases().byName().size(), context);
        assertEquals(state.leases().size(), state.leases().byExpiry().size(), context);
        for (LeaseEntry lease : state.leases().bySession().values()) {
            assertEquals(lease, state.leases().findByName(lease.name()), context);
            assertTrue(state.leases().byExpiry().contains(lease) && lease.expiresAtMs() > state.clockMs(), context);
            assertEquals(lease.session(), state.fences().get(lease.name()), context);
        }
        assertEquals(
                state.history().keysByVersion().values().stream()
                        .mapToInt(List::size)
                        .sum(),
                state.history().keyCount(),
                context);
        assertTrue(state.history().keyCount() <= limits.maxHistoryKeys(), context);
    }

    static byte[] snapshotBytes(StoreState state, int frameBytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            SnapshotCodec.write(state, out, frameBytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    static StoreState restore(byte[] file) throws DiskException {
        try {
            return SnapshotCodec.read(new ByteArrayInputStream(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the state as a restored replica has it: without the change history. */
    static StoreState withoutHistory(StoreState state) {
        return new StoreState(
                state.index(),
                state.version(),
                state.clockMs(),
                state.featureLevel(),
                state.entries(),
                state.totalBytes(),
                state.keysBySession(),
                state.leases(),
                state.fences(),
                state.announcedLevels(),
                ChangeHistory.startingAfter(state.version()));
    }
}
