package olivechute.health;

/**
 * Decides for how long an idle connection to one endpoint may be reused. Some middleboxes on the path drop idle
 * connections without notifying either side; the next request on such a connection fails. The fraction of failed reuses
 * is tracked by idle time, in ranges that double, and decays over time, so that a path that was repaired is noticed.
 * Times are microseconds.
 */
public final class IdleReusePolicy {
    /**
     * End of the first range of idle times: 25 ms. The next range ends at 50 ms and so on; the last one is unbounded.
     */
    private static final long FIRST_RANGE_END_US = 25_000;

    private static final int RANGE_COUNT = 10;
    private static final double SAMPLE_WEIGHT = 0.15;
    private static final double HALF_LIFE_US = 10e6;
    /**
     * A connection is not reused if more than this fraction of reuses fails: a failed reuse costs a round trip and an
     * attempt, a new connection up to three round trips and work at the endpoint.
     */
    private static final double MAX_BROKEN_FRACTION = 0.6;

    private final double[] brokenFraction = new double[RANGE_COUNT];
    private final long[] updatedAtUs = new long[RANGE_COUNT];

    /** Records that a connection was reused after {@code idleUs} of idle time, and whether it broke. */
    public void onReuse(long nowUs, long idleUs, boolean broke) {
        int range = rangeIndex(idleUs);
        brokenFraction[range] = decayedBrokenFraction(nowUs, range)
                + SAMPLE_WEIGHT * ((broke ? 1 : 0) - decayedBrokenFraction(nowUs, range));
        updatedAtUs[range] = nowUs;
    }

    /** Returns the longest idle time after which a connection should be reused. */
    public long maxIdleUs(long nowUs) {
        for (int range = 0; range < RANGE_COUNT; range++) {
            // The stored fraction can only decay, so the decay is computed only if the stored value is above the limit.
            if (brokenFraction[range] > MAX_BROKEN_FRACTION
                    && decayedBrokenFraction(nowUs, range) > MAX_BROKEN_FRACTION) {
                return range == 0 ? 0 : FIRST_RANGE_END_US << (range - 1);
            }
        }
        return Long.MAX_VALUE;
    }

    /** Returns the recent fraction of connections that broke when they were reused after about this idle time. */
    public double brokenFraction(long nowUs, long idleUs) {
        return decayedBrokenFraction(nowUs, rangeIndex(idleUs));
    }

    private double decayedBrokenFraction(long nowUs, int range) {
        return brokenFraction[range] * Math.pow(0.5, (nowUs - updatedAtUs[range]) / HALF_LIFE_US);
    }

    private static int rangeIndex(long idleUs) {
        int range = 0;
        while (range < RANGE_COUNT - 1 && idleUs >= FIRST_RANGE_END_US << range) {
            range++;
        }
        return range;
    }
}
