package olivechute.store;

import olivechute.store.wire.Announce;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Lease;
import olivechute.store.wire.Snapshot;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/** Builds a state from the pieces of a snapshot; leases come before the entries that go with them. */
final class SnapshotLoader {
    private final Snapshot header;
    private TreePMap<String, Integer> announcedLevels = TreePMap.empty();
    private TreePMap<String, VersionedValue> entries = TreePMap.empty();
    private TreePMap<Long, TreePSet<String>> keysBySession = TreePMap.empty();
    private TreePMap<String, Long> fences = TreePMap.empty();
    private LeaseTable leases = LeaseTable.EMPTY;
    private long totalBytes;

    SnapshotLoader(Snapshot header) {
        this.header = header;
        for (Announce each : header.getAnnouncedList()) {
            announcedLevels = announcedLevels.plus(each.getReplica(), each.getKnows());
        }
    }

    /** Adds a piece; what is wrong with it, else null. */
    String addFrame(Snapshot frame) {
        if (frame.getEntriesCount() != frame.getEntrySessionsCount()) {
            return "has " + frame.getEntriesCount() + " entries and " + frame.getEntrySessionsCount()
                    + " sessions of them";
        }
        for (Lease each : frame.getLeasesList()) {
            leases = leases.with(new LeaseEntry(
                    each.getName(), each.getOwner(), each.getSession(), each.getTtlMs(), each.getEndsMs()));
        }
        for (Fence each : frame.getFencesList()) {
            fences = fences.plus(each.getDomain(), each.getNumber());
        }
        for (int i = 0; i < frame.getEntriesCount(); i++) {
            Entry entry = frame.getEntries(i);
            long session = frame.getEntrySessions(i);
            if (session != 0 && leases.findBySession(session) == null) {
                return "has an entry of session " + session + " that no lease has";
            }
            if (entries.containsKey(entry.getKey()) || entry.getVersion() > header.getVersion()) {
                return "has an entry twice or from after the snapshot";
            }
            entries = entries.plus(entry.getKey(), new VersionedValue(entry.getValue(), entry.getVersion(), session));
            totalBytes += EntrySizes.sizeInBytes(entry.getKey(), entry.getValue());
            if (session != 0) {
                keysBySession = keysBySession.plus(
                        session,
                        keysBySession.getOrDefault(session, TreePSet.empty()).plus(entry.getKey()));
            }
        }
        return null;
    }

    /** The state; its history begins here. */
    StoreState toState() {
        return new StoreState(
                header.getIndex(),
                header.getVersion(),
                header.getNowMs(),
                header.getLevel(),
                entries,
                totalBytes,
                keysBySession,
                leases,
                fences,
                announcedLevels,
                ChangeHistory.startingAfter(header.getVersion()));
    }
}
