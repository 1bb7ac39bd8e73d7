package olivechute.health;

/**
 * Whether a connection to one endpoint that has been idle for a while is worth another request. Some machines on the
 * way forget idle connections and notify nobody; the next request on one then breaks. The part that broke is kept by
 * idle time, in ranges that double, and fades, so that a way that has been repaired is found out. Times are
 * microseconds.
 */
public final class IdleReusePolicy {
    /** The first range is of idle times up to 25 ms, the next up to 50 ms and so on; the last has no upper end. */
    private static final long FIRST_RANGE_END_US = 25_000;

    private static final int RANGE_COUNT = 10;
    private static final double SAMPLE_WEIGHT = 0.15;
    private static final double HALF_LIFE_US = 10e6;
    /** A broken reuse costs a round trip and an attempt, a new connection up to three round trips and work there. */
    private static final double MAX_BROKEN_FRACTION = 0.6;

    private final double[] brokenFraction = new double[RANGE_COUNT];
    private final long[] updatedAtUs = new long[RANGE_COUNT];

    /** A connection that had been idle for so long was used again, and broke or did not. */
    public void onReuse(long nowUs, long idleUs, boolean broke) {
        int range = rangeIndex(idleUs);
        brokenFraction[range] = decayedBrokenFraction(nowUs, range)
                + SAMPLE_WEIGHT * ((broke ? 1 : 0) - decayedBrokenFraction(nowUs, range));
        updatedAtUs[range] = nowUs;
    }

    /** The longest idle time after which a connection is worth another request. */
    public long maxIdleUs(long nowUs) {
        for (int range = 0; range < RANGE_COUNT; range++) {
            // What is kept only fades: most ranges need no power of it.
            if (brokenFraction[range] > MAX_BROKEN_FRACTION
                    && decayedBrokenFraction(nowUs, range) > MAX_BROKEN_FRACTION) {
                return range == 0 ? 0 : FIRST_RANGE_END_US << (range - 1);
            }
        }
        return Long.MAX_VALUE;
    }

    /** The part of connections idle for so long that broke lately. */
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
