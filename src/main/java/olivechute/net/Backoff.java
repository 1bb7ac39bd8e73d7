package olivechute.net;

import java.util.random.RandomGenerator;

/**
 * Exponential delay before a failed peer is tried again: doubles after each consecutive failure, with a jitter of 20
 * percent either way.
 */
public final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private long nextMillis;

    /** Minimum and maximum delay in milliseconds. */
    public Backoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
        this.nextMillis = minMillis;
    }

    /** Records a failure and returns the delay before the next attempt, in milliseconds. */
    public long nextDelayMillis() {
        long delayMillis = (long) (nextMillis * (0.8 + 0.4 * random.nextDouble()));
        nextMillis = Math.min(maxMillis, 2 * nextMillis);
        return delayMillis;
    }

    /** Records a success, so that the next delay is the minimum again. */
    public void reset() {
        nextMillis = minMillis;
    }
}
