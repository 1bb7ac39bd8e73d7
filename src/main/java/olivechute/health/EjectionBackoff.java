package olivechute.health;

/**
 * Computes ejection periods that grow with each failure and shrink with each success. The first ejection lasts
 * {@code initialUs}, each further one {@code multiplier} times the previous one, up to {@code maxUs}; a success halves
 * the number of failures that count. Each period is jittered by up to a quarter, so that the endpoint does not return
 * at many nodes at once. Times are microseconds.
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

    /** Ejects again, for longer; {@code uniformRandom} is from 0 to 1. */
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

    /** Whether failures still count, ejected or not. */
    boolean isOnProbation() {
        return failureLevel > 0;
    }

    long ejectedUntilUs() {
        return ejectedUntilUs;
    }
}
