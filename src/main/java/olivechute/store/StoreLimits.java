package olivechute.store;

/**
 * Limits on what the store holds. They must be the same on every replica, as each replica decides by itself which
 * commands to reject.
 *
 * @param maxValueBytes maximum bytes of one value
 * @param maxKeyBytes maximum bytes of one key, of a lease name and of a lease owner, in UTF-8
 * @param maxBatchSize maximum writes and maximum fences of one batch
 * @param maxKeys maximum number of keys
 * @param maxTotalBytes maximum bytes of all keys and values together
 * @param maxLeases maximum leases held at once; the fencing tokens of as many ended leases are remembered too
 * @param maxReplicas maximum replicas that have announced their feature level
 * @param maxHistoryKeys maximum key changes kept in the history for watches; a key counts once for each version that
 *     changed it
 * @param maxWatches maximum watches that wait at once at one replica
 */
public record StoreLimits(
        int maxValueBytes,
        int maxKeyBytes,
        int maxBatchSize,
        int maxKeys,
        long maxTotalBytes,
        int maxLeases,
        int maxReplicas,
        int maxHistoryKeys,
        int maxWatches) {
    /** Defaults, many times what the fleet of one region needs. */
    public static final StoreLimits DEFAULTS =
            new StoreLimits(64 << 10, 512, 1024, 20_000, 64L << 20, 4096, 16, 10_000, 1024);
}
