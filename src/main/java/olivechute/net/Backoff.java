package olivechute.net;

import java.util.random.RandomGenerator;

/**
 * How long to wait before a peer that failed is tried again: twice as long after each failure in turn, give or take a
 * fifth by chance.
 */
public final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private long nextMillis;

    /** In milliseconds. */
    public Backoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
        this.nextMillis = minMillis;
    }

    /** It failed once more: wait so many milliseconds. */
    public long nextDelayMillis() {
        long delayMillis = (long) (nextMillis * (0.8 + 0.4 * random.nextDouble()));
        nextMillis = Math.min(maxMillis, 2 * nextMillis);
        return delayMillis;
    }

    /** It answered. */
    public void reset() {
        nextMillis = minMillis;
    }
}
