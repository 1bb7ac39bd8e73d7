package olivechute.loadbalancing;

/** How long requests lately waited at one endpoint from the send to the start, in microseconds. */
final class StartWait {
    private static final double SAMPLE_WEIGHT = 0.3;

    private double recentUs = Double.NaN;
    private double minUs = Double.MAX_VALUE;

    void onStarted(double waitedUs) {
        minUs = Math.min(minUs, waitedUs);
        recentUs = Smoothing.smooth(recentUs, waitedUs, SAMPLE_WEIGHT);
    }

    /** An attempt that still waits has waited longer than was usual. */
    void onStillWaiting(double waitedUs) {
        if (!(waitedUs <= recentUs)) {
            recentUs = waitedUs;
            minUs = Math.min(minUs, waitedUs);
        }
    }

    /** What seemed to be a wait at the endpoint was the connection's fault. */
    void resetToMin() {
        if (minUs < Double.MAX_VALUE) {
            recentUs = minUs;
        }
    }

    void clear() {
        recentUs = Double.NaN;
    }

    /** Recent waits lose their weight; the least wait that was ever seen stays. */
    void decay(double retainedFraction, java.util.List<Double> peerValues) {
        recentUs = Smoothing.decayAndCollect(recentUs, minUs, retainedFraction, peerValues);
    }

    double recentUs(double ifUnknown) {
        return Double.isNaN(recentUs) ? ifUnknown : recentUs;
    }
}
