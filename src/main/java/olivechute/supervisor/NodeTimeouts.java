package olivechute.supervisor;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** How long things of a node may take, and how long to wait before it is started again after it ended by itself. */
record NodeTimeouts(Duration readyTimeout, Duration drainTimeout, Duration minBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 20;

    /**
     * Wait before the start after so many failures in turn, ms: doubles up to the most, give or take a fifth by chance.
     */
    long backoffMillis(int failures, RandomGenerator random) {
        long delayMs = Math.min(maxBackoff.toMillis(), minBackoff.toMillis() << Math.min(MAX_DOUBLINGS, failures - 1));
        return (long) (delayMs * (0.8 + 0.4 * random.nextDouble()));
    }
}
