package olivechute.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Reply;
import olivechute.store.wire.Status;

/** Builds the replies to queries from a state, without side effects. */
@SuppressWarnings("NonApiType") // changedKeys returns TreeSet to state in its type that the keys are ordered
final class QueryExecutor {
    private QueryExecutor() {}

    static Reply get(StoreState state, String key) {
        Reply.Builder reply = Reply.newBuilder().setVersion(state.version());
        VersionedValue stored = state.entries().get(key);
        if (stored != null) {
            reply.addEntries(entry(key, stored));
        }
        return reply.build();
    }

    /** Returns all entries under a prefix, in key order. */
    static Reply list(StoreState state, String prefix) {
        Reply.Builder reply = Reply.newBuilder().setVersion(state.version()).setWhole(true);
        for (Map.Entry<String, VersionedValue> each :
                state.entries().tailMap(prefix, true).entrySet()) {
            if (!each.getKey().startsWith(prefix)) {
                break;
            }
            reply.addEntries(entry(each.getKey(), each.getValue()));
        }
        return reply.build();
    }

    /**
     * Returns what changed under a prefix after a version, without waiting: the newest value of each changed key,
     * ordered by version. If the history does not reach back to that version, returns all entries under the prefix. If
     * the version is higher than the state's own, it came from a replica that is further ahead, so nothing has changed
     * yet.
     */
    static Reply watch(StoreState state, String prefix, long since) {
        if (!state.history().covers(since)) {
            return list(state, prefix);
        }
        Reply.Builder reply = Reply.newBuilder().setVersion(Math.max(since, state.version()));
        List<Entry> entries = new ArrayList<>();
        for (String key : changedKeys(state, prefix, since)) {
            VersionedValue stored = state.entries().get(key);
            if (stored == null) {
                reply.addRemoved(key);
            } else {
                entries.add(entry(key, stored));
            }
        }
        entries.sort(Comparator.comparingLong(Entry::getVersion));
        return reply.addAllEntries(entries).build();
    }

    /** Returns whether a reply to a watch holds any change, or a complete listing. */
    static boolean hasChanges(Reply reply) {
        return reply.getWhole() || reply.getEntriesCount() > 0 || reply.getRemovedCount() > 0;
    }

    static Reply status(StoreState state, int supportedLevel) {
        return Reply.newBuilder()
                .setVersion(state.version())
                .setStatus(Status.newBuilder()
                        .setVersion(state.version())
                        .setLevel(state.featureLevel())
                        .setKnows(supportedLevel)
                        .setKeys(state.entries().size())
                        .setBytes(state.totalBytes())
                        .setSessions(state.leases().size()))
                .build();
    }

    private static TreeSet<String> changedKeys(StoreState state, String prefix, long since) {
        TreeSet<String> keys = new TreeSet<>();
        for (List<String> each : state.history().changesSince(since)) {
            for (String key : each) {
                if (key.startsWith(prefix)) {
                    keys.add(key);
                }
            }
        }
        return keys;
    }

    private static Entry entry(String key, VersionedValue stored) {
        return Entry.newBuilder()
                .setKey(key)
                .setValue(stored.value())
                .setVersion(stored.version())
                .build();
    }
}
