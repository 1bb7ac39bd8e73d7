package olivechute.loadbalancing;

import java.util.Collection;

/**
 * Estimates the free slots of each endpoint from its load reports and from the attempts that this node has in flight
 * there. Called on the event loop.
 */
final class CapacityEstimator {
    /**
     * Number of assumed endpoints with one free slot each that are added to the mean: reports of two full endpoints say
     * little about a fleet of a hundred.
     */
    private static final double PRIOR_ENDPOINTS = 2;
    /**
     * An endpoint that has reported no free slot for longer than this is sent a request anyway while the fleet has
     * capacity.
     */
    private static final long FULL_ENDPOINT_RETRY_US = 2 * LoadReportState.MAX_REPORT_AGE_US;
    /** Reports of at least this many free slots are ignored as invalid. */
    private static final double MAX_PLAUSIBLE_SLOTS = 1e6;

    /** Estimated free slots are fractions: an estimate that is short of a whole number by up to this is rounded up. */
    private static final double FREE_SLOTS_TOLERANCE = 0.5;

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

    /** Counts a rejection by an endpoint that reports its load as a report of no free slot. */
    void onRejected(long nowUs, Endpoint endpoint) {
        if (endpoint.loadReportState.hasReported()) {
            endpoint.loadReportState.onReport(nowUs, 0, Double.NaN, 0, endpoint);
        }
    }

    /** Handles an endpoint's report that a request runs. */
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

    /** Returns whether a request that needs this many slots and this much memory may be sent to the endpoint now. */
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
                : freeSlots(nowUs, endpoint) >= slots - FREE_SLOTS_TOLERANCE;
    }

    /**
     * Returns the estimated number of free slots. An endpoint without a fresh report is assumed to have as many as the
     * mean of the other endpoints; in slow start it is assumed to have one, because it is not as full as the others
     * before the nodes have sent to it, and {@link SlowStart} limits what all nodes send. An endpoint that has reported
     * no free slot for {@link #FULL_ENDPOINT_RETRY_US} is sent a request while the fleet has capacity: its report may
     * be wrong, and its response shows whether it is.
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
     * Returns whether a request sent to the endpoint has not started yet and is not overdue. The endpoint is then full,
     * stalled, slow or unreachable, and the next request should not queue behind it. This costs throughput where a
     * round trip is long compared with the running time of a request: a fast, distant endpoint gets one request per
     * round trip. The first pending start blocks for its start timeout, the second for twice that and so on, so that
     * lost start reports do not block the endpoint forever.
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
