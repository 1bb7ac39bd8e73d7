package olivechute.loadbalancing;

import java.util.Collection;

/** Estimates the free slots of endpoints from their load reports and from what this node has in flight there. */
final class CapacityEstimator {
    /**
     * Endpoints with one free slot that the mean counts beside those heard: two that are full tell little of a hundred.
     */
    private static final double PRIOR_ENDPOINTS = 2;
    /** An endpoint that reported no free slot for longer gets a request all the same, while the fleet has capacity. */
    private static final long FULL_ENDPOINT_RETRY_US = 2 * LoadReportState.MAX_REPORT_AGE_US;
    /** Reports of more free slots than this are taken for wrong. */
    private static final double MAX_PLAUSIBLE_SLOTS = 1e6;

    private static final double HALF_SLOT = 0.5;

    private final LoadBalancerSettings settings;
    private final EndpointStats stats;

    CapacityEstimator(LoadBalancerSettings settings, EndpointStats stats) {
        this.settings = settings;
        this.stats = stats;
    }

    void onReport(long nowUs, Endpoint endpoint, LoadReport report) {
        if (report != null && report.freeSlots() >= 0 && report.freeSlots() < MAX_PLAUSIBLE_SLOTS) {
            endpoint.loadReportState.onReport(
                    nowUs, report.freeSlots(), report.freeMemory(), LoadReportState.REPORT_DELAY_US, endpoint);
            if (Double.isNaN(stats.meanFreeSlots)) {
                stats.meanFreeSlots = report.freeSlots();
            }
            stats.updateMaxSlots(report.freeSlots());
        }
    }

    /** An endpoint that reports its load rejected a request: that counts as a report of no free slot. */
    void onRejected(long nowUs, Endpoint endpoint) {
        if (endpoint.loadReportState.hasReported()) {
            endpoint.loadReportState.onReport(nowUs, 0, Double.NaN, 0, endpoint);
        }
    }

    /** An endpoint reported that a request runs. */
    void onStarted(Endpoint endpoint) {
        int running = endpoint.runningSlots();
        stats.updateMaxSlots(running);
        endpoint.kindStats.updateMaxSlots(running);
        endpoint.loadReportState.onRunningSlots(running);
    }

    void updateMeanFreeSlots(long nowUs, Collection<Endpoint> endpoints) {
        double freeSlots = 0;
        int reportingEndpoints = 0;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.active() && endpoint.loadReportState.isFresh(nowUs)) {
                freeSlots += endpoint.loadReportState.freeSlots();
                reportingEndpoints++;
            }
        }
        stats.meanFreeSlots = reportingEndpoints == 0
                ? Double.NaN
                : (freeSlots + PRIOR_ENDPOINTS) / (reportingEndpoints + PRIOR_ENDPOINTS);
    }

    /** Whether a request of so many slots may be sent there now. */
    boolean hasCapacity(long nowUs, Endpoint endpoint, int slots, double memory) {
        int attempts = endpoint.attempts.size();
        boolean busy = endpoint.inFlightHistory.slots() > 0;
        if (busy && (hasPendingStart(nowUs, endpoint) || attempts >= endpoint.health.concurrencyLimit())) {
            return false;
        }
        if (endpoint.memoryInFlight() + memory > endpoint.loadReportState.typicalMemory()) {
            return false;
        }
        return Double.isNaN(stats.meanFreeSlots)
                ? endpoint.concurrencyWindow.hasCapacity(attempts)
                : freeSlots(nowUs, endpoint) >= slots - HALF_SLOT;
    }

    /**
     * Free slots as far as known. An endpoint not heard of lately counts as the mean of the others; one in slow start
     * is not as full as they are, as nobody has sent to it, and counts as one slot: {@link SlowStart} bounds what all
     * nodes send. One that has reported no free slot for long gets a request while the fleet has capacity, as its
     * report may be untrue and its answer will tell.
     */
    private double freeSlots(long nowUs, Endpoint endpoint) {
        boolean retryFullEndpoint = endpoint.attempts.isEmpty()
                && endpoint.loadReportState.isReportedFullFor(nowUs, FULL_ENDPOINT_RETRY_US)
                && stats.meanFreeSlots >= 1;
        if (retryFullEndpoint || !endpoint.loadReportState.isFresh(nowUs)) {
            double assumedFreeSlots = endpoint.inSlowStart(nowUs, settings.rules()) ? 1 : stats.meanFreeSlots;
            return assumedFreeSlots - endpoint.inFlightHistory.slots();
        }
        return endpoint.loadReportState.slotsAvailableToNode(nowUs, stats.meanRunTimeUs())
                - endpoint.inFlightHistory.slots();
    }

    /**
     * Whether a request sent there has not started yet and is not overdue: the endpoint is full, stalled, slow or cut
     * off, and the next request should not queue behind it. Costs throughput where a round trip is long against a
     * request: a fast endpoint far away gets one request a round trip. The first is given up after its start time-out,
     * the second after twice that and so on, so that lost notices block nobody.
     */
    private boolean hasPendingStart(long nowUs, Endpoint endpoint) {
        if (!settings.notifiesStart()) {
            return false;
        }
        int pendingStarts = 0;
        double blockedUntilUs = 0;
        for (int i = 0; i < endpoint.attempts.size(); i++) {
            Attempt attempt = endpoint.attempts.get(i);
            if (!attempt.started()) {
                pendingStarts++;
                blockedUntilUs = attempt.sentAtUs + pendingStarts * attempt.startTimeoutUs();
            }
        }
        return nowUs < blockedUntilUs;
    }
}
