package olivechute.loadbalancing;

import java.util.List;

/**
 * Probes endpoints that were not heard of lately before a request is sent there, and has the request wait for the
 * answers: a load report is worth most just before a send. An endpoint that does not answer is left out for a while, be
 * it full, stalled or dead, unless it never reports. Costs latency where probes take long to answer.
 */
final class LoadProber {
    /** An endpoint is not probed twice within this time. */
    static final long MIN_PROBE_INTERVAL_US = 600_000;
    /** Rounds of probes for one request. */
    static final int MAX_ROUNDS = 2;

    private static final int PROBES_PER_ROUND = 3;
    private static final long MAX_ANSWER_WAIT_US = 50_000;
    /** Part of a request's value that may be spent on probes. */
    private static final double PROBE_COST_PER_REQUEST = 0.01;
    /** The most probes that a request adds to the budget if they are free. */
    private static final double MAX_PROBES_PER_REQUEST = 8;
    /** The budget holds at most so many probes for each endpoint. */
    private static final double MAX_PROBES_PER_ENDPOINT = 4;

    private final boolean enabled;
    private final double probesPerRequest;
    private final EndpointTable endpoints;
    private final WeightedEndpointPicker endpointPicker;
    private final LoadBalancer.Helper helper;
    private double probeBudget;

    LoadProber(
            LoadBalancerSettings settings,
            EndpointTable endpoints,
            WeightedEndpointPicker endpointPicker,
            LoadBalancer.Helper helper) {
        this.enabled = settings.loadReporting() != LoadReporting.NONE
                && settings.limits().probesAllowed();
        this.probesPerRequest = Math.min(
                MAX_PROBES_PER_REQUEST,
                PROBE_COST_PER_REQUEST / settings.costs().probe());
        this.endpoints = endpoints;
        this.endpointPicker = endpointPicker;
        this.helper = helper;
    }

    void onRequest() {
        probeBudget = Math.min(probeBudget + probesPerRequest, MAX_PROBES_PER_ENDPOINT * endpoints.size());
    }

    /** Probes some of the endpoints, which are taken from the list; true while the request should wait for answers. */
    boolean probe(long nowUs, PendingRequest request, List<Endpoint> candidates) {
        if (!enabled) {
            return false;
        }
        if (request.probeRounds > 0 && nowUs < request.lastProbedAtUs + answerWaitUs(request)) {
            return true;
        }
        int reservedProbes = request.overQuota ? endpoints.size() : 0;
        int maxProbes = request.probeRounds < MAX_ROUNDS ? Math.min(PROBES_PER_ROUND, candidates.size()) : 0;
        for (int i = 0; i < maxProbes && probeBudget >= 1 + reservedProbes; i++) {
            Endpoint endpoint = endpointPicker.pick(request, candidates);
            candidates.remove(endpoint);
            endpoint.lastProbedAtUs = nowUs;
            probeBudget--;
            request.lastProbedAtUs = nowUs;
            helper.probe(endpoint.name());
        }
        request.probeRounds++;
        return request.lastProbedAtUs == nowUs;
    }

    /** However short its time in the queue, a request probes and still finds an endpoint before it is answered. */
    static long answerWaitUs(PendingRequest request) {
        return Math.min(MAX_ANSWER_WAIT_US, (request.queueDeadlineUs - request.arrivedAtUs) / (MAX_ROUNDS + 1));
    }
}
