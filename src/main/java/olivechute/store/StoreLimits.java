package olivechute.store;

/**
 * How much the store holds at most; the same on every replica, as each decides for itself what to refuse.
 *
 * @param valueBytes most bytes of one value
 * @param keyBytes most bytes of one key, of a lease's name and of its owner, in UTF-8
 * @param batch most writes and most fences of one batch
 * @param keys most keys
 * @param bytes most bytes of all keys and values together
 * @param leases most leases held at once; so many ended ones are remembered by their fence too
 * @param members most replicas that told their feature level
 * @param history most changes of single keys that are kept for watches
 * @param watches most watches that wait at once at one replica
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
    /** What a region's fleet needs, many times over. */
    public static final StoreLimits DEFAULTS =
            new StoreLimits(64 << 10, 512, 1024, 20_000, 64L << 20, 4096, 16, 10_000, 1024);
}
