package olivechute.loadbalancing;

/** Recent wait of requests at one endpoint from the send to the start, in microseconds. */
final class StartWait {
    private static final double SAMPLE_WEIGHT = 0.3;

    private double recentUs = Double.NaN;
    private double minUs = Double.MAX_VALUE;

    void onStarted(double waitedUs) {
        minUs = Math.min(minUs, waitedUs);
        recentUs = Smoothing.smooth(recentUs, waitedUs, SAMPLE_WEIGHT);
    }

    /** Handles an attempt whose wait already exceeds the recent one. */
    void onStillWaiting(double waitedUs) {
        if (!(waitedUs <= recentUs)) { // also true while the recent wait is NaN
            recentUs = waitedUs;
            minUs = Math.min(minUs, waitedUs);
        }
    }

    /** Resets the recent wait to the minimum; called when the connection, and not the endpoint, caused the wait. */
    void resetToMin() {
        if (minUs < Double.MAX_VALUE) {
            recentUs = minUs;
        }
    }

    /** Forgets the recent wait, but not the minimum. */
    void clear() {
        recentUs = Double.NaN;
    }

    /** Moves the recent wait towards the minimum ever observed and adds it to {@code peerValues}. */
    void decay(double retainedFraction, java.util.List<Double> peerValues) {
        recentUs = Smoothing.decayAndCollect(recentUs, minUs, retainedFraction, peerValues);
    }

    double recentUs(double ifUnknown) {
        return Double.isNaN(recentUs) ? ifUnknown : recentUs;
    }
}
