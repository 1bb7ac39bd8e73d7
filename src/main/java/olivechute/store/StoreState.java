package olivechute.store;

import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/**
 * All that the store holds. Nothing of it ever changes, so whoever has a reference has a snapshot, and taking one stops
 * nobody.
 *
 * @param index log index of the last command that was applied
 * @param version the store's version: grows with each change of keys and with each lease taken
 * @param clockMs highest clock seen in a command, ms since the epoch
 * @param level the group's feature level
 * @param entries values by key
 * @param bytes bytes of all keys and values
 * @param owned keys by the session they go with
 * @param leases what is held
 * @param fences highest number seen of each domain; ended ones are forgotten over the bound, lowest first
 * @param announced feature level that each replica told
 * @param history what changed last
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
    /** Nothing stored, at the first feature level. */
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
