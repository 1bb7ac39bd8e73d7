package olivechute.loadbalancing;

/** Running times at one endpoint, each as a multiple of its class's mean. */
final class LatencyStats {
    private static final double RECENT_SAMPLE_WEIGHT = 0.25;
    private static final double MIN_LONG_TERM_SAMPLE_WEIGHT = 0.05;
    private static final double PRIOR_SAMPLES = 3;
    private static final double BEST_GROWTH_FACTOR = 1.005;
    private static final int MIN_LONG_TERM_SAMPLES = 30;
    private static final double CONGESTION_MULTIPLE = 2;

    private double bestRelativeRunTime = Double.NaN;

    // Set by tests that need an endpoint with a past.
    double recentRelativeRunTime = Double.NaN;
    double longTermRelativeRunTime;
    int sampleCount;

    /** Starts with what is usual for endpoints of this kind. */
    LatencyStats(double longTermRelativeRunTime) {
        this.longTermRelativeRunTime = longTermRelativeRunTime;
    }

    /**
     * A request finished.
     *
     * @param running its running time
     * @param total the time from its send to its end
     * @return whether times have grown so far over the best ones that requests must be queueing
     */
    boolean onFinished(double relativeRunTime, double relativeTotalTime) {
        recentRelativeRunTime = Smoothing.smooth(recentRelativeRunTime, relativeRunTime, RECENT_SAMPLE_WEIGHT);
        longTermRelativeRunTime += Math.max(MIN_LONG_TERM_SAMPLE_WEIGHT, 1.0 / (PRIOR_SAMPLES + sampleCount++))
                * (relativeRunTime - longTermRelativeRunTime);
        bestRelativeRunTime = Double.isNaN(bestRelativeRunTime)
                ? recentRelativeRunTime
                : Math.min(bestRelativeRunTime * BEST_GROWTH_FACTOR, recentRelativeRunTime);
        double smoothedTotalTime =
                (1 - RECENT_SAMPLE_WEIGHT) * recentRelativeRunTime + RECENT_SAMPLE_WEIGHT * relativeTotalTime;
        return Math.max(recentRelativeRunTime, smoothedTotalTime) > CONGESTION_MULTIPLE * bestRelativeRunTime;
    }

    /** The recent running time moves towards its peers'. */
    void decay(double median, double retainedFraction, java.util.List<Double> peerValues) {
        recentRelativeRunTime = Smoothing.decayAndCollect(recentRelativeRunTime, median, retainedFraction, peerValues);
    }

    void clear() {
        recentRelativeRunTime = Double.NaN;
        bestRelativeRunTime = Double.NaN;
    }

    double recentRelativeRunTime(double ifUnknown) {
        return Double.isNaN(recentRelativeRunTime) ? ifUnknown : recentRelativeRunTime;
    }

    /** Over many requests. */
    double longTermRelativeRunTime() {
        return longTermRelativeRunTime;
    }

    /** Whether enough requests finished to tell the endpoint from others of its kind. */
    boolean hasLongTermRunTime() {
        return sampleCount > MIN_LONG_TERM_SAMPLES;
    }
}
