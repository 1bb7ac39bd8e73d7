package olivechute.metrics;

import java.util.Arrays;
import java.util.List;

/**
 * Buckets of added delays, in microseconds: each takes what lies above the upper end of the one before and up to its
 * own; the last takes all that is longer, too. Forty whose ends grow by the same factor, from 50 us to 10 s, tell a
 * delay to within 37 %.
 */
public final class DelayBuckets {
    /** How many there are. */
    public static final int BUCKET_COUNT = 40;

    private static final double FIRST_BOUND_US = 50;
    private static final double LAST_BOUND_US = 10_000_000;
    private static final long[] BOUNDS_US = computeBounds();
    /** The upper ends of the buckets. */
    public static final List<Long> UPPER_BOUNDS =
            Arrays.stream(BOUNDS_US).boxed().toList();
    /** The part of all that {@link #p99} leaves above it. */
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

    /** The bucket of a delay; one that is negative, as a clock could show it, goes to the first. */
    public static int bucketIndex(long delayUs) {
        int position = Arrays.binarySearch(BOUNDS_US, delayUs);
        return Math.min(position < 0 ? -position - 1 : position, BUCKET_COUNT - 1);
    }

    /**
     * The sum of two counts, bucket by bucket; what lies past the last bucket here, as another version may have it,
     * goes to the last.
     */
    public static long[] merge(long[] one, long[] other) {
        long[] sum = new long[BUCKET_COUNT];
        for (long[] counts : new long[][] {one, other}) {
            for (int i = 0; i < counts.length; i++) {
                sum[Math.min(i, BUCKET_COUNT - 1)] += counts[i];
            }
        }
        return sum;
    }

    /** The mean of what was counted, each taken for the middle of its bucket; NaN where nothing was. */
    public static double mean(long[] counts) {
        double sum = 0;
        long total = 0;
        for (int i = 0; i < Math.min(counts.length, BUCKET_COUNT); i++) {
            sum += counts[i] * ((i == 0 ? 0 : BOUNDS_US[i - 1]) + BOUNDS_US[i]) / 2.0;
            total += counts[i];
        }
        return total == 0 ? Double.NaN : sum / total;
    }

    /** The least upper end that 99 of 100 do not exceed; NaN where nothing was counted. */
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
