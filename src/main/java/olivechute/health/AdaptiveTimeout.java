package olivechute.health;

/**
 * A timeout that adapts to measured durations: the mean plus four mean deviations, as TCP computes its retransmission
 * timeout (RFC 6298, section 2), within bounds. Times are microseconds. Not thread-safe.
 */
public final class AdaptiveTimeout {
    private static final int MIN_SAMPLES = 8;
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final int TIMEOUT_DEVIATIONS = 4;
    private static final int LOW_ESTIMATE_DEVIATIONS = 2;

    private final long initialUs;
    private final long minUs;
    private final long maxUs;
    private int sampleCount;
    private double meanUs;
    private double deviationUs;

    /**
     * Creates a timeout without samples.
     *
     * @param initialUs the timeout until there are enough samples
     * @param minUs lower bound of the timeout
     * @param maxUs upper bound of the timeout
     * @throws IllegalArgumentException unless {@code 0 <= minUs <= initialUs <= maxUs}
     */
    public AdaptiveTimeout(long initialUs, long minUs, long maxUs) {
        if (minUs < 0 || initialUs < minUs || maxUs < initialUs) {
            throw new IllegalArgumentException(
                    "timeout: " + minUs + " <= " + initialUs + " <= " + maxUs + " does not hold");
        }
        this.initialUs = initialUs;
        this.minUs = minUs;
        this.maxUs = maxUs;
    }

    /** Adds the duration of a successful operation. */
    public void addSample(long sampleUs) {
        if (sampleCount == 0) {
            meanUs = sampleUs;
            deviationUs = sampleUs / 2.0;
        }
        sampleCount++;
        deviationUs += DEVIATION_WEIGHT * (Math.abs(sampleUs - meanUs) - deviationUs);
        meanUs += MEAN_WEIGHT * (sampleUs - meanUs);
    }

    /** Returns the timeout of the next operation. */
    public long timeoutUs() {
        if (sampleCount < MIN_SAMPLES) {
            return initialUs;
        }
        return (long) Math.max((double) minUs, Math.min((double) maxUs, meanUs + TIMEOUT_DEVIATIONS * deviationUs));
    }

    /**
     * Returns the duration of an operation that goes well: the mean minus two mean deviations, or 0 while there are too
     * few samples.
     */
    public long lowEstimateUs() {
        return sampleCount < MIN_SAMPLES ? 0 : (long) Math.max(0, meanUs - LOW_ESTIMATE_DEVIATIONS * deviationUs);
    }

    /** Returns the mean duration, 0 before the first sample. */
    public long meanUs() {
        return (long) meanUs;
    }
}
