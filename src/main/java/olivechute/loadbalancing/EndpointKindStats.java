package olivechute.loadbalancing;

/** Statistics of this node over all endpoints of one kind (machine type). Used on the event loop only. */
final class EndpointKindStats {
    /** Largest number of slots observed at one endpoint of the kind. */
    double maxSlots = 1;
    /** Smoothed running time at this kind, as a multiple of the request class's mean. */
    double relativeRunTime = 1;

    private double runningSlotsPerEndpoint = Double.NaN;
    private int sampledIntervals;
    private int warmedUpEndpoints;
    private int warmedUpRunningSlots;

    void updateMaxSlots(double observedSlots) {
        maxSlots = Math.max(maxSlots, observedSlots);
    }

    /** Adds an endpoint that has finished its slow start to the current interval, with this node's running slots. */
    void countWarmedUp(int slots) {
        warmedUpEndpoints++;
        warmedUpRunningSlots += slots;
    }

    /**
     * Adds the interval's mean to the smoothed one. The first intervals form a plain mean; later ones are weighted by
     * at least {@code minSampleWeight}.
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

    /**
     * Returns the smoothed number of this node's running slots per endpoint that has finished its slow start; NaN while
     * unknown.
     */
    double runningSlotsPerEndpoint() {
        return runningSlotsPerEndpoint;
    }
}
