package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws an endpoint among those where a send costs about the least, with chances in proportion to the instances that
 * the share controller gave the request's tenant there.
 *
 * <p>The cost of a send is a time in microseconds: how long the request runs there, the recent wait for a start, and
 * crossing zones or connecting at their price and delay. Guards against a zone with more traffic than endpoints, slow
 * machines, slow connects and endpoints that start requests late, whatever the cause; requests spill over where that
 * gains more than it costs. An endpoint whose wait was chance is passed over for a second or two.
 */
final class WeightedEndpointPicker {
    /** Prices count double, as short waits cost little. */
    private static final double COST_WEIGHT_FACTOR = 2;
    /** Costs this part of the request's latency budget apart count as equal. */
    private static final double COST_TOLERANCE = 0.1;

    private final CostWeights costWeights;
    private final EndpointStats stats;
    private final SplittableRandom random;
    /** Of one draw; a field so that draws allocate nothing. */
    private final List<Endpoint> cheapest = new ArrayList<>();

    WeightedEndpointPicker(CostWeights costWeights, EndpointStats stats, SplittableRandom random) {
        this.costWeights = costWeights;
        this.stats = stats;
        this.random = random;
    }

    /** Returns {@code null} if there are no candidates. */
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
        int remaining = totalInstances <= 0 ? 0 : random.nextInt(totalInstances);
        for (Endpoint endpoint : cheapest) {
            remaining -= endpoint.tenantInstances[tenantIndex];
            if (remaining < 0) {
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
