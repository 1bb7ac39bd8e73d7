package olivechute.rollout;

import java.util.Collection;

/**
 * Threshold between fast and slow streams for the test of the delay tail: the 99th percentile of the old nodes' added
 * delay plus the tolerated increase.
 */
final class DelayTailThreshold {
    /** Increase of the added delay that is significant. */
    static final long SIGNIFICANT_DELAY_MS = 10;

    /** Minimum number of streams at old nodes for an estimate of their 99th percentile. */
    private static final long MIN_STREAMS = 1000;

    private DelayTailThreshold() {}

    /**
     * Index of the last bucket that counts as fast: more than 1 % of streams beyond it means that the 99th percentile
     * grew by over {@link #SIGNIFICANT_DELAY_MS}. -1 while too few streams are counted.
     */
    static int lastFastBucket(Collection<NodeMetrics> oldNodes, long[] boundsUs) {
        long[] bucketCounts = new long[boundsUs.length + 1];
        long total = 0;
        for (NodeMetrics metrics : oldNodes) {
            for (int bucket = 0; bucket < metrics.delayCounts().length; bucket++) {
                bucketCounts[Math.min(bucket, boundsUs.length)] += metrics.delayCounts()[bucket];
                total += metrics.delayCounts()[bucket];
            }
        }
        if (total < MIN_STREAMS) {
            return -1;
        }
        long remaining = total - total / 100;
        int p99Bucket = 0;
        while (p99Bucket < boundsUs.length - 1 && remaining > bucketCounts[p99Bucket]) {
            remaining -= bucketCounts[p99Bucket++];
        }
        int fastBucket = p99Bucket;
        while (fastBucket < boundsUs.length - 1
                && boundsUs[fastBucket] - boundsUs[p99Bucket] < SIGNIFICANT_DELAY_MS * 1000) {
            fastBucket++;
        }
        return fastBucket;
    }
}
