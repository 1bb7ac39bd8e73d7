package olivechute.metrics;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the bounds of the buckets and the mean and 99th percentile computed from them. */
class DelayBucketsTest {
    @Test
    void boundsGrowByOneFactorFrom50MicrosecondsTo10Seconds() {
        assertEquals(DelayBuckets.BUCKET_COUNT, DelayBuckets.UPPER_BOUNDS.size());
        assertEquals(50, DelayBuckets.UPPER_BOUNDS.get(0));
        assertEquals(10_000_000, DelayBuckets.UPPER_BOUNDS.get(DelayBuckets.BUCKET_COUNT - 1));
        for (int i = 1; i < DelayBuckets.BUCKET_COUNT; i++) {
            assertEquals(
                    1.3675, DelayBuckets.UPPER_BOUNDS.get(i) / (double) DelayBuckets.UPPER_BOUNDS.get(i - 1), 0.02);
        }
    }

    @Property
    void aDelayIsAboveThePreviousBoundAndUpToItsOwn(@ForAll @LongRange(min = -5, max = 20_000_000) long delay) {
        int i = DelayBuckets.bucketIndex(delay);
        assertTrue(i == 0 || delay > DelayBuckets.UPPER_BOUNDS.get(i - 1));
        assertTrue(i == DelayBuckets.BUCKET_COUNT - 1 || delay <= DelayBuckets.UPPER_BOUNDS.get(i));
    }

    @Test
    void aBoundBelongsToItsOwnBucket() {
        for (int i = 0; i < DelayBuckets.BUCKET_COUNT; i++) {
            assertEquals(i, DelayBuckets.bucketIndex(DelayBuckets.UPPER_BOUNDS.get(i)));
        }
        assertEquals(DelayBuckets.BUCKET_COUNT - 1, DelayBuckets.bucketIndex(Long.MAX_VALUE));
    }

    /** The mean is exact to within a bucket, and at most 1 in 100 delays exceeds the p99. */
    @Property
    void meanAndP99ApproximateTheRecordedDelays(
            @ForAll @Size(min = 1, max = 300) List<@LongRange(min = 50, max = 9_000_000) Long> delays) {
        long[] counts = new long[DelayBuckets.BUCKET_COUNT];
        for (long delay : delays) {
            counts[DelayBuckets.bucketIndex(delay)]++;
        }
        double mean = delays.stream().mapToLong(d -> d).average().orElseThrow();
        assertEquals(mean, DelayBuckets.mean(counts), 0.5 * mean);
        double p99 = DelayBuckets.p99(counts);
        assertTrue(delays.stream().filter(d -> d > p99).count() <= delays.size() / 100);
        double below = p99 / 1.4;
        assertTrue(delays.stream().filter(d -> d > below).count() > delays.size() / 100);
    }

    @Test
    void meanAndP99OfNoDelaysAreNaN() {
        assertTrue(Double.isNaN(DelayBuckets.mean(new long[DelayBuckets.BUCKET_COUNT])));
        assertTrue(Double.isNaN(DelayBuckets.p99(new long[0])));
    }

    @Property
    void mergingCountsEveryDelayOnce(
            @ForAll @Size(max = 60) List<@IntRange(max = 9) Integer> first,
            @ForAll @Size(max = 40) List<@IntRange(max = 9) Integer> other) {
        long[] a = first.stream().mapToLong(n -> n).toArray();
        long[] b = other.stream().mapToLong(n -> n).toArray();
        long[] sum = DelayBuckets.merge(a, b);
        assertEquals(DelayBuckets.BUCKET_COUNT, sum.length);
        assertEquals(
                Arrays.stream(a).sum() + Arrays.stream(b).sum(),
                Arrays.stream(sum).sum());
        assertArrayEquals(sum, DelayBuckets.merge(b, a));
        assertEquals(sum[0], (a.length > 0 ? a[0] : 0) + (b.length > 0 ? b[0] : 0));
    }
}
