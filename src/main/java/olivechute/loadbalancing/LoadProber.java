package olivechute.loadbalancing;

import java.util.List;

/**
 * Probes endpoints without a fresh load report before a request is sent to one, and makes the request wait for the
 * responses: a load report is most useful just before a send. An endpoint that does not respond to a probe is not used
 * until it may be probed again, whether it is full, stalled or down, unless it has never reported its load. Costs
 * latency where probe responses are slow. Called by {@link EndpointSelector} on the event loop.
 */
final class LoadProber {
    /** Minimum time between two probes of an endpoint. */
    static final long MIN_PROBE_INTERVAL_US = 600_000;
    /** Maximum number of probe rounds per request. */
    static final int MAX_ROUNDS = 2;

    private static final int PROBES_PER_ROUND = 3;
    private static final long MAX_ANSWER_WAIT_US = 50_000;
    /** Fraction of a request's value that may be spent on probes. */
    private static final double PROBE_COST_PER_REQUEST = 0.01;
    /** Maximum number of probes that a request adds to the budget, even if probes are free. */
    private static final double MAX_PROBES_PER_REQUEST = 8;
    /** The budget is limited to this many probes per endpoint. */
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

    /**
     * Probes some of the candidates and removes them from the list. Returns true while the request should wait for
     * responses.
     */
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

    /**
     * Returns how long a request waits for probe responses, in microseconds; short enough for all its probe rounds and
     * a send before its queue deadline.
     */
    static long answerWaitUs(PendingRequest request) {
        return Math.min(MAX_ANSWER_WAIT_US, (request.queueDeadlineUs - request.arrivedAtUs) / (MAX_ROUNDS + 1));
    }
}
