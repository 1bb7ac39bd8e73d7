package olivechute.rollout;

import java.util.List;

/**
 * A node's counts, cumulative or of one block, as one array: for each class served in time, late, rejected, failed,
 * cancelled; then the streams with a delay, their summed delay in us, and the fast ones among them.
 */
final class MetricsSample {
    private static final int COUNTS_PER_CLASS = 5;

    private MetricsSample() {}

    static int length(int classCount) {
        return classCount * COUNTS_PER_CLASS + 3;
    }

    static long[] of(NodeMetrics metrics, List<String> classes, long[] delayBoundsUs, int lastFastBucket) {
        long[] counts = new long[length(classes.size())];
        for (int c = 0; c < classes.size(); c++) {
            ClassCounts classCounts = metrics.classes().getOrDefault(classes.get(c), ClassCounts.NONE);
            counts[c * COUNTS_PER_CLASS] = classCounts.servedInTime();
            counts[c * COUNTS_PER_CLASS + 1] = classCounts.servedLate();
            counts[c * COUNTS_PER_CLASS + 2] = classCounts.rejected();
            counts[c * COUNTS_PER_CLASS + 3] = classCounts.failed();
            counts[c * COUNTS_PER_CLASS + 4] = classCounts.cancelled();
        }
        int offset = classes.size() * COUNTS_PER_CLASS;
        for (int bucket = 0; bucket < metrics.delayCounts().length; bucket++) {
            long count = metrics.delayCounts()[bucket];
            counts[offset] += count;
            counts[offset + 1] += count * bucketMidpointUs(delayBoundsUs, bucket);
            counts[offset + 2] += bucket <= lastFastBucket ? count : 0;
        }
        return counts;
    }

    /**
     * A stream counts with the midpoint of its bucket; beyond the last bound with 1.5 times that bound; in a bucket
     * whose bound is {@link Long#MAX_VALUE} with 1.25 times the bound before.
     */
    private static long bucketMidpointUs(long[] delayBoundsUs, int bucket) {
        if (bucket >= delayBoundsUs.length) {
            return delayBoundsUs[delayBoundsUs.length - 1] + delayBoundsUs[delayBoundsUs.length - 1] / 2;
        }
        long lowUs = bucket == 0 ? 0 : delayBoundsUs[bucket - 1];
        long highUs = delayBoundsUs[bucket] == Long.MAX_VALUE ? lowUs + lowUs / 2 : delayBoundsUs[bucket];
        return Math.max(1, (lowUs + highUs) / 2);
    }

    /** The difference of two arrays of counts, or null if a count decreased. */
    static long[] difference(long[] from, long[] to) {
        long[] delta = new long[to.length];
        for (int i = 0; i < to.length; i++) {
            delta[i] = to[i] - from[i];
            if (delta[i] < 0) {
                return null;
            }
        }
        return delta;
    }

    static long requests(long[] counts, int classIndex) {
        int offset = classIndex * COUNTS_PER_CLASS;
        return counts[offset] + counts[offset + 1] + counts[offset + 2] + counts[offset + 3] + counts[offset + 4];
    }

    /** The number of requests, or streams for delays, on which a series is based. */
    static long of(long[] counts, int series, int classCount) {
        int c = series / Evidence.SERIES_PER_CLASS;
        return c < classCount ? requests(counts, c) : counts[classCount * COUNTS_PER_CLASS];
    }

    /**
     * The value of a series: weighted requests served; requests not failed, not rejected, not late; summed delay in ms,
     * with the significant delay added to each; fast streams.
     */
    static double seriesValue(long[] counts, int series, List<String> classes, PriorityWeights weights) {
        int classIndex = series / Evidence.SERIES_PER_CLASS;
        int outcome = series % Evidence.SERIES_PER_CLASS;
        if (classIndex >= classes.size()) {
            int offset = classes.size() * COUNTS_PER_CLASS;
            return outcome == 0
                    ? counts[offset + 1] / 1000.0 + counts[offset] * (double) DelayTailThreshold.SIGNIFICANT_DELAY_MS
                    : counts[offset + 2];
        }
        int offset = classIndex * COUNTS_PER_CLASS;
        return switch (outcome) {
            case 0 -> counts[offset] + weights.lateFraction(classes.get(classIndex)) * counts[offset + 1];
            case 1 -> requests(counts, classIndex) - counts[offset + 3];
            case 2 -> requests(counts, classIndex) - counts[offset + 2];
            default -> requests(counts, classIndex) - counts[offset + 1];
        };
    }
}
