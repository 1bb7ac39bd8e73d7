package olivechute.loadbalancing;

/** What a node has learned of all endpoints of one kind. */
final class EndpointKindStats {
    /** The most slots that one of them was seen to have. */
    double maxSlots = 1;
    /** Running time there as a multiple of the class's mean, smoothed. */
    double relativeRunTime = 1;

    private double runningSlotsPerEndpoint = Double.NaN;
    private int sampledIntervals;
    private int warmedUpEndpoints;
    private int warmedUpRunningSlots;

    void updateMaxSlots(double observedSlots) {
        maxSlots = Math.max(maxSlots, observedSlots);
    }

    /** Counts an endpoint that has finished its slow start in the present interval. */
    void countWarmedUp(int slots) {
        warmedUpEndpoints++;
        warmedUpRunningSlots += slots;
    }

    /**
     * Takes the interval's count into the smoothed one: a plain mean at first, then one in which it has this weight.
     */
    void endInterval(double minSampleWeight) {
        if (warmedUpEndpoints > 0) {
            sampledIntervals++;
            double sample = (double) warmedUpRunningSlots / warmedUpEndpoints;
            runningSlotsPerEndpoint = Smoothing.smooth(
                    runningSlotsPerEndpoint, sample, Math.max(minSampleWeight, 1.0 / sampledIntervals));
        }
        warmedUpEndpoints = 0;
        warmedUpRunningSlots = 0;
    }

    /** Slots that this node's requests run in at a warm one of them, smoothed; NaN while not known. */
    double runningSlotsPerEndpoint() {
        return runningSlotsPerEndpoint;
    }
}
