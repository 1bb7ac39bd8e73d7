package olivechute.loadbalancing;

import java.util.Collection;

/**
 * Closes connections that have been idle for so long that a new connection costs less than keeping them open. Called by
 * {@link ShareLoadBalancer} on the event loop.
 */
final class IdleConnectionPolicy {
    /**
     * Time after which one open connection has cost {@link CostWeights#connection()} at one request per second and
     * endpoint, in microseconds: 100 s, because that cost is charged in full at a mean of 100 open connections per
     * endpoint.
     */
    private static final double CONNECTION_COST_UNIT_US = 1e8;

    /** Lower limit of the expected request rate per endpoint; tenants may have no quota. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.01;

    private final CostWeights costWeights;
    private final long idleTimeoutUs;
    private final TenantQueues queues;
    private final LoadBalancer.Helper helper;

    IdleConnectionPolicy(LoadBalancerSettings settings, TenantQueues queues, LoadBalancer.Helper helper) {
        this.costWeights = settings.costs();
        this.idleTimeoutUs = settings.limits().connectionIdleTimeoutUs();
        this.queues = queues;
        this.helper = helper;
    }

    void closeIdle(long nowUs, Collection<Endpoint> endpoints) {
        for (Endpoint endpoint : endpoints) {
            if (endpoint.active() && endpoint.hasIdleConnection() && isIdleTooLong(nowUs, endpoint, endpoints.size())) {
                endpoint.connectionCount.onIdleClosed(endpoint.attempts.size());
                helper.closeIdleConnections(endpoint.name());
            }
        }
    }

    private boolean isIdleTooLong(long nowUs, Endpoint endpoint, int endpointCount) {
        return nowUs - endpoint.connectionCount.allLastInUseAtUs()
                > Math.min(economicIdleTimeUs(endpointCount), (double) idleTimeoutUs);
    }

    /**
     * Returns for how long, in microseconds, keeping a connection idle costs less than opening a new one. The tenants'
     * quotas give the expected rate of requests.
     */
    private double economicIdleTimeUs(int endpointCount) {
        if (costWeights.connection() == 0) {
            return Double.MAX_VALUE;
        }
        double requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, queues.totalQuotaPerSecond() / endpointCount);
        return CONNECTION_COST_UNIT_US * costWeights.handshake() / (costWeights.connection() * requestsPerSecond);
    }
}
