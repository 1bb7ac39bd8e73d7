package olivechute.health;

/**
 * Ejections that grow with each failure and shrink by half with each success: the first lasts {@code initialUs}, each
 * further one {@code multiplier} times the one before, at most {@code maxUs}. Each is jittered by up to a quarter, so
 * that many nodes do not return at once. Times are microseconds.
 */
final class EjectionBackoff {
    private static final double JITTER_FRACTION = 0.25;

    private final long initialUs;
    private final int multiplier;
    private final long maxUs;
    private int failureLevel;
    private long ejectedUntilUs;

    EjectionBackoff(long initialUs, int multiplier, long maxUs) {
        this.initialUs = initialUs;
        this.multiplier = multiplier;
        this.maxUs = maxUs;
    }

    /** Ejects again, for longer; {@code random} is from 0 to 1. */
    void eject(long nowUs, double uniformRandom) {
        double durationUs = initialUs * Math.pow(multiplier, failureLevel++);
        ejectedUntilUs = nowUs
                + (long) (Math.min((double) maxUs, durationUs)
                        * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * uniformRandom));
    }

    void onSuccess() {
        failureLevel /= 2;
    }

    void reset() {
        failureLevel = 0;
        ejectedUntilUs = 0;
    }

    boolean isEjected(long nowUs) {
        return nowUs < ejectedUntilUs;
    }

    /** Whether failures are held against it, ejected or not. */
    boolean isOnProbation() {
        return failureLevel > 0;
    }

    long ejectedUntilUs() {
        return ejectedUntilUs;
    }
}
