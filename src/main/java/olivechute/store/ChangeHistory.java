package olivechute.store;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * Which keys changed at which version, the last so many. It holds no values: a watch is told the newest one of each key
 * that changed.
 *
 * @param changed keys by the version at which they changed
 * @param size number of keys over all versions
 * @param from the lowest version after which every change is known
 */
record ChangeHistory(TreePMap<Long, List<String>> keysByVersion, int keyCount, long completeSince) {
    /** One that begins after a version. */
    static ChangeHistory startingAfter(long version) {
        return new ChangeHistory(TreePMap.empty(), 0, version);
    }

    /** With the keys that changed at a version, less the oldest ones over the bound. */
    ChangeHistory append(long version, List<String> keys, int maxKeys) {
        TreePMap<Long, List<String>> remaining = keysByVersion.plus(version, keys);
        int remainingKeys = keyCount + keys.size();
        long start = completeSince;
        while (remainingKeys > maxKeys) {
            start = remaining.firstKey();
            remainingKeys -= remaining.get(start).size();
            remaining = remaining.minus(start);
        }
        return new ChangeHistory(remaining, remainingKeys, start);
    }

    /** Whether every change after this version is known. */
    boolean covers(long since) {
        return since >= completeSince;
    }

    /** The keys of each version after this one, oldest first. */
    Iterable<List<String>> changesSince(long version) {
        return keysByVersion.tailMap(version, false).values();
    }
}
