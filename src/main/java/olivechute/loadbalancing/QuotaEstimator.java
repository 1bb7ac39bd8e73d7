package olivechute.loadbalancing;

/**
 * Decides which requests exceed their tenant's quota on this node. The quota applies to the whole fleet. The node
 * estimates its fraction of all traffic from the arrivals of the other tenants relative to their quotas, starting from
 * an equal fraction per node. Requests over the quota are sent only where free capacity is known. Guards against floods
 * and retry storms of one tenant; a tenant whose clients all use one node is at a disadvantage. Called on the event
 * loop.
 *
 * <p>A marked retry does not count as an arrival but uses a token, and a rejected request returns its token; otherwise
 * retries would use up the quota and inflate the node's estimated fraction.
 */
final class QuotaEstimator {
    /** Time constant of the decay of the long-term arrival count. */
    private static final double LONG_TERM_DECAY_US = 10e6;
    /** Time constant of the short-term arrival count, which detects jumps of this node's whole traffic. */
    private static final double SHORT_TERM_DECAY_US = 1.5e6;
    /** Minimum growth factor of a traffic jump. */
    private static final double JUMP_FACTOR = 1.3;
    /** Minimum excess of a traffic jump over the expected arrivals, in standard deviations. */
    private static final double JUMP_DEVIATIONS = 4;
    /** Weight of the initial estimate of the node's fraction, in requests. */
    private static final double PRIOR_REQUESTS = 2;

    private static final double MICROS_PER_SECOND = 1e6;

    private final LoadBalancerSettings settings;
    private final TenantQueues queues;
    private long startedAtUs;

    QuotaEstimator(LoadBalancerSettings settings, TenantQueues queues) {
        this.settings = settings;
        this.queues = queues;
    }

    void start(long nowUs) {
        startedAtUs = nowUs;
        for (TenantQueue queue : queues.all()) {
            queue.quota.updatedAtUs = nowUs;
        }
    }

    /** Counts an arrival. Returns true if it exceeds the quota. */
    boolean onArrival(long nowUs, TenantQueue tenantQueue, boolean retry) {
        double otherTenantsArrivals = countArrival(nowUs, tenantQueue, retry);
        double quotaPerSecond = tenantQueue.tenant.quotaPerSecond();
        double otherTenantsQuotaPerSecond = queues.totalQuotaPerSecond() - quotaPerSecond;
        double otherTenantsExpectedArrivals = otherTenantsQuotaPerSecond * observedSeconds(nowUs, LONG_TERM_DECAY_US)
                + PRIOR_REQUESTS * settings.fleetSize();
        TenantQuota tenantQuota = tenantQueue.quota;
        tenantQuota.ratePerSecond =
                (otherTenantsArrivals + PRIOR_REQUESTS) / otherTenantsExpectedArrivals * quotaPerSecond;
        double refill = tenantQuota.ratePerSecond * (nowUs - tenantQuota.updatedAtUs) / MICROS_PER_SECOND;
        tenantQuota.tokens =
                Math.min(tenantQuota.tokens + refill, Math.max(TenantQuota.BURST_REQUESTS, tenantQuota.ratePerSecond));
        tenantQuota.updatedAtUs = nowUs;
        if (otherTenantsQuotaPerSecond <= 0 || quotaPerSecond <= 0 || settings.overQuotaWeight() >= 1) {
            return false;
        }
        boolean overQuota = tenantQuota.tokens < 1;
        tenantQuota.tokens -= overQuota ? 0 : 1;
        return overQuota;
    }

    /** Returns the rejected request's token to the quota. */
    void onRejected(PendingRequest request) {
        request.tenantQueue.quota.tokens += request.overQuota ? 0 : 1;
    }

    /** Counts an arrival and returns the long-term arrivals of the other tenants. */
    private double countArrival(long nowUs, TenantQueue tenantQueue, boolean retry) {
        double otherTenantsArrivals = 0;
        for (TenantQueue queue : queues.all()) {
            double arrivals = queue.quota.longTermArrivals * longTermDecay(nowUs, queue.quota);
            if (queue != tenantQueue) {
                otherTenantsArrivals += arrivals;
            } else {
                queue.quota.longTermArrivals = arrivals + (retry ? 0 : 1);
                queue.quota.shortTermArrivals = shortTermArrivals(nowUs, queue.quota) + (retry ? 0 : 1);
            }
        }
        return otherTenantsArrivals;
    }

    /** Returns the factor by which the long-term arrivals have decayed since their last update, from 0 to 1. */
    private static double longTermDecay(long nowUs, TenantQuota quota) {
        return Math.exp(-(nowUs - quota.updatedAtUs) / LONG_TERM_DECAY_US);
    }

    private static double shortTermArrivals(long nowUs, TenantQuota quota) {
        return quota.shortTermArrivals * Math.exp(-(nowUs - quota.updatedAtUs) / SHORT_TERM_DECAY_US);
    }

    /** Returns the seconds of traffic that a decaying count covers; less shortly after the start. */
    private double observedSeconds(long nowUs, double decayUs) {
        return decayUs / MICROS_PER_SECOND * (1 - Math.exp(-(nowUs - startedAtUs) / decayUs));
    }

    /**
     * Scales the long-term arrivals if the traffic of most tenants jumps at once, as this node then takes over the
     * traffic of another one. A flood comes from one tenant. Guards against mistaking the restart of another node for
     * floods by all tenants.
     */
    void adjustToTrafficShift(long nowUs) {
        double scale = observedSeconds(nowUs, SHORT_TERM_DECAY_US) / observedSeconds(nowUs, LONG_TERM_DECAY_US);
        double totalBaseline = 0;
        double jumpedBaseline = 0;
        double totalRecent = 0;
        for (TenantQueue queue : queues.all()) {
            double baseline = scale * queue.quota.longTermArrivals * longTermDecay(nowUs, queue.quota);
            double recent = shortTermArrivals(nowUs, queue.quota);
            totalBaseline += baseline;
            jumpedBaseline += recent > JUMP_FACTOR * baseline ? baseline : 0;
            // The limit keeps the flood of one tenant from passing for a jump of all traffic.
            totalRecent += Math.min(recent, 2 * JUMP_FACTOR * baseline);
        }
        boolean mostTrafficJumped = jumpedBaseline > totalBaseline / 2;
        boolean significant = totalRecent > JUMP_FACTOR * totalBaseline
                && totalRecent > totalBaseline + JUMP_DEVIATIONS * Math.sqrt(totalBaseline);
        if (mostTrafficJumped && significant) {
            for (TenantQueue queue : queues.all()) {
                queue.quota.longTermArrivals *= totalRecent / totalBaseline;
            }
        }
    }
}
