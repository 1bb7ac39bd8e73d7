package olivechute.loadbalancing;

/** Running times of requests at one endpoint, each as a multiple of its request class's mean. */
final class LatencyStats {
    private static final double RECENT_SAMPLE_WEIGHT = 0.25;
    private static final double MIN_LONG_TERM_SAMPLE_WEIGHT = 0.05;
    /** Weight of the initial long-term running time, in samples. */
    private static final double PRIOR_SAMPLES = 3;
    /** Growth factor of the best running time per request, so that it follows an endpoint that has become slower. */
    private static final double BEST_GROWTH_FACTOR = 1.005;

    private static final int MIN_LONG_TERM_SAMPLES = 30;
    private static final double CONGESTION_MULTIPLE = 2;

    private double bestRelativeRunTime = Double.NaN;

    // Package-private so that tests can set up an endpoint with a history.
    double recentRelativeRunTime = Double.NaN;
    double longTermRelativeRunTime;
    int sampleCount;

    /** Starts with the typical running time at endpoints of this kind. */
    LatencyStats(double longTermRelativeRunTime) {
        this.longTermRelativeRunTime = longTermRelativeRunTime;
    }

    /**
     * Handles the end of a request.
     *
     * @param relativeRunTime its running time
     * @param relativeTotalTime the time from its send to its end
     * @return whether times have grown so far above the best ones that requests must be queueing at the endpoint
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

    /**
     * Moves the recent running time towards the median of all endpoints and adds it to {@code peerValues}, if it is
     * known.
     */
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

    /** Returns the running time averaged over many requests. */
    double longTermRelativeRunTime() {
        return longTermRelativeRunTime;
    }

    /** Returns whether enough requests have finished to distinguish the endpoint from others of its kind. */
    boolean hasLongTermRunTime() {
        return sampleCount > MIN_LONG_TERM_SAMPLES;
    }
}
