package olivechute.store;

import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * Complete, immutable state of the store. A reference to it serves as a consistent snapshot, so taking one blocks
 * nobody.
 *
 * @param index log index of the last applied command
 * @param version the store's version, which increases with each change of keys and with each lease acquired
 * @param clockMs highest clock seen in a command, in ms since the epoch
 * @param featureLevel the group's feature level: the highest level of a command that it accepts, raised only to a level
 *     that every announced replica supports
 * @param entries values by key
 * @param totalBytes bytes of all keys and values
 * @param keysBySession keys by the session that they belong to
 * @param leases held leases
 * @param fences highest fencing token seen of each domain; tokens of ended leases are dropped over the limit, lowest
 *     first
 * @param announcedLevels feature level announced by each replica
 * @param history most recent changes
 */
public record StoreState(
        long index,
        long version,
        long clockMs,
        int featureLevel,
        TreePMap<String, VersionedValue> entries,
        long totalBytes,
        TreePMap<Long, TreePSet<String>> keysBySession,
        LeaseTable leases,
        TreePMap<String, Long> fences,
        TreePMap<String, Integer> announcedLevels,
        ChangeHistory history) {
    /** Empty state at the first feature level. */
    public static final StoreState EMPTY = new StoreState(
            0,
            0,
            0,
            1,
            TreePMap.empty(),
            0,
            TreePMap.empty(),
            LeaseTable.EMPTY,
            TreePMap.empty(),
            TreePMap.empty(),
            ChangeHistory.startingAfter(0));
}
