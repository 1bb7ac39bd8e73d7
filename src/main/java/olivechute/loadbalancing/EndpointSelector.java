package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the endpoint of an attempt. Candidates are the endpoints of the working set that are healthy, may run the
 * request and have capacity; {@link WeightedEndpointPicker} picks one of the cheapest. The conditions that rule out an
 * endpoint are in {@link #collectCandidates}, {@link #isAvailable}, {@link #isSuitable} and {@link #addCandidate}.
 * Called on the event loop.
 */
final class EndpointSelector {
    /** Slots that a request over its quota must leave free. */
    private static final int OVER_QUOTA_RESERVED_SLOTS = 2;

    /** Slots that a request over its quota must leave free at low load. */
    private static final int LOW_LOAD_OVER_QUOTA_RESERVED_SLOTS = 1;
    /** The load is low while the mean number of free slots exceeds the largest observed slot count divided by this. */
    private static final double LOW_LOAD_DIVISOR = 3;
    /**
     * Waits for a start are ignored if no endpoint has reported a start for this long, so that endpoints that start
     * requests late are tried again.
     */
    private static final long MAX_START_REPORT_AGE_US = 1_000_000;

    private final LoadBalancerSettings settings;
    private final EndpointTable endpoints;
    private final EndpointStats stats;
    private final WorkingSet workingSet;
    private final CapacityEstimator capacityEstimator;
    private final SlowStart slowStart;
    private final RetryPolicy retryPolicy;
    private final LoadProber loadProber;
    private final WeightedEndpointPicker endpointPicker;
    /** Candidates of one selection; fields to avoid allocations per selection. */
    private final List<Endpoint> knownLoadCandidates = new ArrayList<>();

    private final List<Endpoint> unknownLoadCandidates = new ArrayList<>();

    EndpointSelector(
            LoadBalancerSettings settings,
            EndpointTable endpoints,
            EndpointStats stats,
            WorkingSet workingSet,
            CapacityEstimator capacityEstimator,
            SlowStart slowStart,
            RetryPolicy retryPolicy,
            LoadProber loadProber,
            WeightedEndpointPicker endpointPicker) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.stats = stats;
        this.workingSet = workingSet;
        this.capacityEstimator = capacityEstimator;
        this.slowStart = slowStart;
        this.retryPolicy = retryPolicy;
        this.loadProber = loadProber;
        this.endpointPicker = endpointPicker;
    }

    /**
     * Returns the endpoint for the next attempt, or {@code null} if there is none or the request should wait for probe
     * responses.
     */
    Endpoint select(long nowUs, PendingRequest request) {
        knownLoadCandidates.clear();
        unknownLoadCandidates.clear();
        collectCandidates(nowUs, request, endpoints.local());
        collectCandidates(nowUs, request, endpoints.remote());
        Endpoint selected = endpointPicker.pick(request, knownLoadCandidates);
        if (selected != null || unknownLoadCandidates.isEmpty()) {
            return selected;
        }
        if (loadProber.probe(nowUs, request, unknownLoadCandidates) || request.overQuota) {
            return null;
        }
        return endpointPicker.pick(request, unknownLoadCandidates);
    }

    private void collectCandidates(long nowUs, PendingRequest request, List<Endpoint> zoneEndpoints) {
        int requiredSlots = requiredSlots(request);
        double remainingEndpoints = hasFewEligibleEndpoints(request) ? zoneEndpoints.size() : workingSet.size();
        double startWaitWeight = startWaitWeight();
        for (int i = 0; i < zoneEndpoints.size(); i++) {
            Endpoint endpoint = zoneEndpoints.get(i);
            boolean inSlowStart = endpoint.inSlowStart(nowUs, settings.rules());
            if ((remainingEndpoints <= 0 && !inSlowStart) || !isAvailable(nowUs, request, endpoint, startWaitWeight)) {
                continue;
            }
            remainingEndpoints--;
            if (isSuitable(nowUs, request, endpoint, requiredSlots)) {
                addCandidate(nowUs, request, endpoint, inSlowStart);
            }
        }
    }

    /**
     * Returns the number of free slots that the request needs. A request over its quota leaves some slots free, but one
     * that needs a whole endpoint still fits on an idle one.
     */
    private int requiredSlots(PendingRequest request) {
        if (!request.overQuota) {
            return request.slots;
        }
        int reservedSlots = stats.meanFreeSlots > stats.maxSlotsObserved / LOW_LOAD_DIVISOR
                ? LOW_LOAD_OVER_QUOTA_RESERVED_SLOTS
                : OVER_QUOTA_RESERVED_SLOTS;
        return Math.max(request.slots, Math.min(request.slots + reservedSlots, (int) stats.maxSlotsObserved));
    }

    /** Returns whether so few endpoints may run the request that the choice must not be limited to the working set. */
    private static boolean hasFewEligibleEndpoints(PendingRequest request) {
        return request.requestClass.endpointKind() != null
                || request.possiblyExecutedAttempt != null
                || request.returnedAttempts > 0;
    }

    /**
     * Returns the weight of an endpoint's recent wait for a start, from 0 to 1. It is lower the longer requests run,
     * because load reports, which arrive with a delay, are then more accurate.
     */
    private double startWaitWeight() {
        return settings.loadReporting() == LoadReporting.NONE
                ? 1
                : 1 - Math.exp(-LoadReportState.REPORT_DELAY_US / stats.meanRunTimeUs());
    }

    /**
     * Returns whether the endpoint may get requests of this class now: it is listed as active, not ejected or excluded,
     * and does not start requests later than this one can wait. If all endpoints start requests too late, requests are
     * queued here and rejected instead of queueing too long at the endpoints. Measured waits are ignored if no start
     * was reported for {@link #MAX_START_REPORT_AGE_US}: a node that is itself late measures long waits at all
     * endpoints, and can detect that only if it sends again.
     */
    private boolean isAvailable(long nowUs, PendingRequest request, Endpoint endpoint, double startWaitWeight) {
        int classIndex = request.classStats.index;
        double startWaitUs = startWaitWeight * endpoint.startWait.recentUs(stats.medianStartWaitUs);
        boolean startsTooLate = startWaitUs > request.latestStartUs - nowUs
                && nowUs - stats.lastStartReportAtUs < MAX_START_REPORT_AGE_US;
        return endpoint.active()
                && !endpoint.outlierState.isEjected(nowUs)
                && !startsTooLate
                && !endpoint.classExclusion.excluded(nowUs, classIndex)
                && endpoint.health.admits(nowUs, classIndex);
    }

    private boolean isSuitable(long nowUs, PendingRequest request, Endpoint endpoint, int requiredSlots) {
        return retryPolicy.mayRunAt(nowUs, request, endpoint)
                && capacityEstimator.hasCapacity(nowUs, endpoint, requiredSlots, request.memory)
                && slowStart.admits(nowUs, endpoint, request);
    }

    private void addCandidate(long nowUs, PendingRequest request, Endpoint endpoint, boolean inSlowStart) {
        if (hasKnownLoad(nowUs, endpoint, inSlowStart)) {
            knownLoadCandidates.add(endpoint);
        } else if (nowUs - endpoint.lastProbedAtUs > LoadProber.MIN_PROBE_INTERVAL_US
                || probesUnanswered(nowUs, request, endpoint)) {
            unknownLoadCandidates.add(endpoint);
        }
    }

    private boolean hasKnownLoad(long nowUs, Endpoint endpoint, boolean inSlowStart) {
        return inSlowStart || settings.loadReporting() == LoadReporting.NONE || endpoint.loadReportState.isFresh(nowUs);
    }

    /**
     * Returns whether the endpoint has never reported its load and the request has waited long enough for responses to
     * its probes; the endpoint is then used without a report.
     */
    private static boolean probesUnanswered(long nowUs, PendingRequest request, Endpoint endpoint) {
        return !endpoint.loadReportState.hasReported()
                && nowUs - request.arrivedAtUs > LoadProber.MAX_ROUNDS * LoadProber.answerWaitUs(request);
    }
}
