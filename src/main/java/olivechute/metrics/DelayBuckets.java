package olivechute.metrics;

import java.util.Arrays;
import java.util.List;

/**
 * Histogram buckets for the delays, in microseconds, from the arrival of a request to the send of its first attempt.
 * Each bucket counts delays above the upper bound of the previous one and up to its own; the last one counts all longer
 * delays too. The 40 bounds grow by a constant factor from 50 us to 10 s, which gives a delay to within 37 %.
 */
public final class DelayBuckets {
    /** Number of buckets. */
    public static final int BUCKET_COUNT = 40;

    private static final double FIRST_BOUND_US = 50;
    private static final double LAST_BOUND_US = 10_000_000;
    private static final long[] BOUNDS_US = computeBounds();
    /** Upper bounds of the buckets in microseconds. */
    public static final List<Long> UPPER_BOUNDS =
            Arrays.stream(BOUNDS_US).boxed().toList();
    /** Share of the counted delays that may exceed {@link #p99}. */
    private static final double P99_TAIL = 0.01;

    private DelayBuckets() {}

    private static long[] computeBounds() {
        long[] bounds = new long[BUCKET_COUNT];
        Arrays.setAll(
                bounds,
                i -> Math.round(
                        FIRST_BOUND_US * StrictMath.pow(LAST_BOUND_US / FIRST_BOUND_US, i / (BUCKET_COUNT - 1.0))));
        return bounds;
    }

    /**
     * Returns the bucket of a delay. Negative delays, which a clock adjustment can cause, belong to the first bucket.
     */
    public static int bucketIndex(long delayUs) {
        int position = Arrays.binarySearch(BOUNDS_US, delayUs);
        return Math.min(position < 0 ? -position - 1 : position, BUCKET_COUNT - 1);
    }

    /**
     * Adds two histograms bucket by bucket. Counts beyond the last bucket, as another version may send them, are added
     * to the last bucket.
     */
    public static long[] merge(long[] first, long[] second) {
        long[] sum = new long[BUCKET_COUNT];
        for (long[] counts : new long[][] {first, second}) {
            for (int i = 0; i < counts.length; i++) {
                sum[Math.min(i, BUCKET_COUNT - 1)] += counts[i];
            }
        }
        return sum;
    }

    /**
     * Returns the mean in microseconds, with each delay taken as the middle of its bucket; NaN if nothing was counted.
     */
    public static double mean(long[] counts) {
        double sum = 0;
        long total = 0;
        for (int i = 0; i < Math.min(counts.length, BUCKET_COUNT); i++) {
            sum += counts[i] * ((i == 0 ? 0 : BOUNDS_US[i - 1]) + BOUNDS_US[i]) / 2.0;
            total += counts[i];
        }
        return total == 0 ? Double.NaN : sum / total;
    }

    /** Returns the lowest upper bound that at least 99 % of the delays do not exceed; NaN if nothing was counted. */
    public static double p99(long[] counts) {
        long remaining = Arrays.stream(counts).sum();
        if (remaining == 0) {
            return Double.NaN;
        }
        long allowed = (long) (remaining * P99_TAIL);
        for (int i = 0; i < Math.min(counts.length, BUCKET_COUNT); i++) {
            remaining -= counts[i];
            if (remaining <= allowed) {
                return BOUNDS_US[i];
            }
        }
        return BOUNDS_US[BUCKET_COUNT - 1];
    }
}
