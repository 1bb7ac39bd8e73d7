package olivechute.source;

import java.util.random.RandomGenerator;

/** How long to wait before a source is asked again: twice as long after each failure in turn, give or take a fifth by chance. */
final class Backoff {
    private final long least;
    private final long most;
    private final RandomGenerator random;
    private long next;

    /** In milliseconds. */
    Backoff(long least, long most, RandomGenerator random) {
        this.least = least;
        this.most = most;
        this.random = random;
        this.next = least;
    }

    /** It failed once more: wait so many milliseconds. */
    long failed() {
        long wait = (long) (next * (0.8 + 0.4 * random.nextDouble()));
        next = Math.min(most, 2 * next);
        return wait;
    }

    /** It answered. */
    void worked() {
        next = least;
    }
}
