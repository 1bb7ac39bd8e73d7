package olivechute.supervisor;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Time limits for starting, reloading and draining a node, and bounds of the backoff between a failure and the next
 * start.
 */
record NodeTimeouts(Duration readyTimeout, Duration drainTimeout, Duration minBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * Returns the delay in milliseconds before the next start after so many consecutive failures: it doubles up to the
     * maximum and is varied randomly by up to 20 %.
     */
    long backoffMillis(int failures, RandomGenerator random) {
        long delayMs = Math.min(maxBackoff.toMillis(), minBackoff.toMillis() << Math.min(MAX_DOUBLINGS, failures - 1));
        return (long) (delayMs * (0.8 + 0.4 * random.nextDouble()));
    }
}
