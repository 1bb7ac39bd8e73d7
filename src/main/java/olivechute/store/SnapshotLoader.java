package olivechute.store;

import olivechute.store.wire.Announce;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Lease;
import olivechute.store.wire.Snapshot;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/** Builds a state from the frames of a snapshot, in which leases come before the entries that belong to them. */
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

    /** Adds the content of a frame; returns what is wrong with it, or null. */
    String addFrame(Snapshot frame) {
        if (frame.getEntriesCount() != frame.getEntrySessionsCount()) {
            return "has " + frame.getEntriesCount() + " entries and " + frame.getEntrySessionsCount()
                    + " sessions for them";
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
                return "has an entry of session " + session + " which no lease has";
            }
            if (entries.containsKey(entry.getKey()) || entry.getVersion() > header.getVersion()) {
                return "has a duplicate entry or one newer than the snapshot";
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

    /** Returns the restored state, whose change history starts at the snapshot's version. */
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
