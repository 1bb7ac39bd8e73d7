package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Picks an endpoint at random among those with about the lowest send cost. The probability is proportional to the
 * instances that {@link ShareController} gave the request's tenant there.
 *
 * <p>The cost of a send is a time in microseconds: the expected running time at the endpoint, its recent wait for a
 * start, the cost weights of crossing zones and of a new connection as multiples of the request's latency budget, and
 * the delay of a new connection. Guards against a zone with more traffic than endpoints, slow machines, slow connects
 * and endpoints that start requests late for any reason; requests are sent to another zone where the gain exceeds the
 * cost. An endpoint with one long wait by chance is avoided for one or two seconds.
 */
final class WeightedEndpointPicker {
    /** Cost weights count double, because short waits cost little. */
    private static final double COST_WEIGHT_FACTOR = 2;
    /** Costs that differ by less than this fraction of the request's latency budget are treated as equal. */
    private static final double COST_TOLERANCE = 0.1;

    private final CostWeights costWeights;
    private final EndpointStats stats;
    private final SplittableRandom random;
    /** Scratch list of one pick; a field to avoid an allocation per pick. */
    private final List<Endpoint> cheapest = new ArrayList<>();

    WeightedEndpointPicker(CostWeights costWeights, EndpointStats stats, SplittableRandom random) {
        this.costWeights = costWeights;
        this.stats = stats;
        this.random = random;
    }

    /** Returns {@code null} if there are no candidates, or if the tenant has no instance at any of the cheapest. */
    Endpoint pick(PendingRequest request, List<Endpoint> candidates) {
        double latencyBudgetUs = request.latencyBudgetUs();
        double minCostUs = Double.MAX_VALUE;
        for (Endpoint endpoint : candidates) {
            minCostUs = Math.min(minCostUs, costUs(request, endpoint, latencyBudgetUs));
        }
        int tenantIndex = request.tenantQueue.index;
        int totalInstances = 0;
        cheapest.clear();
        for (Endpoint endpoint : candidates) {
            if (costUs(request, endpoint, latencyBudgetUs) <= minCostUs + COST_TOLERANCE * latencyBudgetUs) {
                cheapest.add(endpoint);
                totalInstances += endpoint.tenantInstances[tenantIndex];
            }
        }
        int remainingInstances = totalInstances <= 0 ? 0 : random.nextInt(totalInstances);
        for (Endpoint endpoint : cheapest) {
            remainingInstances -= endpoint.tenantInstances[tenantIndex];
            if (remainingInstances < 0) {
                return endpoint;
            }
        }
        return null;
    }

    private double costUs(PendingRequest request, Endpoint endpoint, double latencyBudgetUs) {
        boolean needsConnection = !endpoint.hasIdleConnection();
        double costWeight =
                (endpoint.inLocalZone ? 0 : costWeights.crossZone()) + (needsConnection ? costWeights.handshake() : 0);
        return endpoint.latencyStats.longTermRelativeRunTime() * request.expectedWorkUs()
                + endpoint.startWait.recentUs(stats.medianStartWaitUs)
                + (needsConnection ? stats.connectDelayUs() : 0)
                + COST_WEIGHT_FACTOR * costWeight * latencyBudgetUs;
    }
}
