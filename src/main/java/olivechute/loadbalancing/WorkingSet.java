package olivechute.loadbalancing;

/**
 * Number of endpoints that this node uses in its own zone, and the same number in all other zones together. Each node
 * uses the endpoints that rank lowest by its own random draw, so that few connections stay open and busy and load
 * reports stay fresh. The set grows with the node's traffic, and while requests find no capacity.
 */
final class WorkingSet {
    private static final double MIN_SIZE = 6;
    private static final double ENDPOINTS_PER_ATTEMPT_IN_FLIGHT = 2;
    private static final double EXTRA_RETAINED_PER_INTERVAL = 0.95;
    private static final long GROWTH_INTERVAL_US = 20_000;

    private final EndpointStats stats;
    private double extraEndpoints;
    private long lastGrownAtUs;

    WorkingSet(EndpointStats stats) {
        this.stats = stats;
    }

    /** Grows the set after a request within its quota found no capacity. */
    void onNoCapacity(long nowUs, int endpointCount) {
        if (nowUs > lastGrownAtUs + GROWTH_INTERVAL_US) {
            lastGrownAtUs = nowUs;
            extraEndpoints = Math.min(endpointCount, extraEndpoints + 1);
        }
    }

    /** Reduces the extra endpoints; called once per {@link ShareController#INTERVAL_US}. */
    void onInterval() {
        extraEndpoints *= EXTRA_RETAINED_PER_INTERVAL;
    }

    double size() {
        return MIN_SIZE + ENDPOINTS_PER_ATTEMPT_IN_FLIGHT * stats.meanAttemptsInFlight() + extraEndpoints;
    }
}
