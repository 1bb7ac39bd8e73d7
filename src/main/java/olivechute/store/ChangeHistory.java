package olivechute.store;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * Bounded history of the keys changed at each version, used to answer watches. It holds no values, since a watch
 * returns the newest value of each changed key.
 *
 * @param keysByVersion changed keys by the version at which they changed
 * @param keyCount number of keys over all versions
 * @param completeSince lowest version after which every change is in the history
 */
record ChangeHistory(TreePMap<Long, List<String>> keysByVersion, int keyCount, long completeSince) {
    /** Returns an empty history that covers the changes after a version. */
    static ChangeHistory startingAfter(long version) {
        return new ChangeHistory(TreePMap.empty(), 0, version);
    }

    /** Returns the history with the keys changed at a version, without the oldest versions that exceed the limit. */
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

    /** Returns whether the history holds every change after a version. */
    boolean covers(long since) {
        return since >= completeSince;
    }

    /** Returns the changed keys of each version after the given one, oldest version first. */
    Iterable<List<String>> changesSince(long version) {
        return keysByVersion.tailMap(version, false).values();
    }
}
