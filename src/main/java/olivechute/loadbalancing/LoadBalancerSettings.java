package olivechute.loadbalancing;

import java.util.List;

/**
 * Configuration of a load balancer.
 *
 * @param classes the request classes
 * @param tenants the tenants; may be empty
 * @param zone zone of this node
 * @param fleetSize number of nodes that share the endpoints
 * @param rules parameters of the service rules
 * @param limits limits that the deployment sets
 * @param loadReporting how load reports reach the node
 * @param notifiesStart whether endpoints report when a request starts to run
 * @param pollsList whether the endpoint list is sent only in response to a call
 * @param overQuotaWeight value of a request over its tenant's quota, as a fraction of that of one within the quota
 * @param costs costs of actions
 * @param tail weight of tail latency
 * @param marksRetries whether clients mark their retries
 */
public record LoadBalancerSettings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        String zone,
        int fleetSize,
        ServiceRules rules,
        DispatchLimits limits,
        LoadReporting loadReporting,
        boolean notifiesStart,
        boolean pollsList,
        double overQuotaWeight,
        CostWeights costs,
        TailObjective tail,
        boolean marksRetries) {
    /**
     * Checks that no setting is missing or contradicts another.
     *
     * @throws IllegalArgumentException with a message that begins with the name of the wrong value
     */
    public LoadBalancerSettings {
        require(classes != null && !classes.isEmpty(), "classes");
        require(tenants != null, "tenants");
        require(rules != null, "rules");
        require(limits != null, "limits");
        require(loadReporting != null, "loadReporting");
        require(fleetSize >= 1, "fleetSize");
        require(overQuotaWeight >= 0, "overQuotaWeight");
        check(rules);
        check(limits);
        check(costs);
        check(tail);
        classes.forEach(LoadBalancerSettings::check);
        tenants.forEach(LoadBalancerSettings::check);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    private static void check(ServiceRules rules) {
        require(rules.drainGraceUs() >= 0, "rules.drainGraceUs");
        require(rules.slowStartDurationUs() >= 0, "rules.slowStartDurationUs");
        require(rules.overloadWindowUs() >= 0, "rules.overloadWindowUs");
        require(rules.slowStartCapacity() >= 0 && rules.slowStartCapacity() <= 1, "rules.slowStartCapacity");
        require(rules.overloadMultiple() > 0, "rules.overloadMultiple");
    }

    private static void check(DispatchLimits limits) {
        require(limits.maxAttempts() >= 1, "limits.maxAttempts");
        require(limits.maxRetryAfterUs() >= 0, "limits.maxRetryAfterUs");
        require(limits.connectionIdleTimeoutUs() >= 0, "limits.connectionIdleTimeoutUs");
    }

    private static void check(CostWeights costs) {
        require(costs != null, "costs");
        require(costs.crossZone() >= 0, "costs.crossZone");
        require(costs.probe() >= 0, "costs.probe");
        require(costs.handshake() >= 0, "costs.handshake");
        require(costs.connection() >= 0, "costs.connection");
    }

    private static void check(TailObjective tail) {
        require(tail != null, "tail");
        require(tail.weight() >= 0, "tail.weight");
        require(tail.missFraction() >= 0 && tail.missFraction() <= 1, "tail.missFraction");
    }

    private static void check(RequestClass requestClass) {
        require(requestClass != null && requestClass.name() != null, "classes.name");
        require(requestClass.deadlineUs() > 0, "classes.deadlineUs of " + requestClass.name());
        require(
                requestClass.latencyObjectiveUs() >= 0
                        && requestClass.latencyObjectiveUs() <= requestClass.deadlineUs(),
                "classes.latencyObjectiveUs of " + requestClass.name());
        require(requestClass.objectiveStretch() >= 0, "classes.objectiveStretch of " + requestClass.name());
        require(
                requestClass.priorityWeight() >= 0 && requestClass.latePriorityWeight() >= 0,
                "classes.priorityWeight of " + requestClass.name());
        require(requestClass.idempotency() != null, "classes.idempotency of " + requestClass.name());
        require(
                requestClass.idempotency() != Idempotency.KEYED
                        || (requestClass.deduplicationScope() != null && requestClass.deduplicationWindowUs() >= 0),
                "classes.deduplicationScope of " + requestClass.name());
    }

    private static void check(Tenant tenant) {
        require(tenant != null && tenant.name() != null, "tenants.name");
        require(tenant.share() >= 0, "tenants.share of " + tenant.name());
        require(tenant.quotaPerSecond() >= 0, "tenants.quotaPerSecond of " + tenant.name());
    }

    private static void require(boolean condition, String valueName) {
        if (!condition) {
            throw new IllegalArgumentException(valueName + ": missing or contradictory");
        }
    }
}
