package olivechute.loadbalancing;

/**
 * Decides which requests exceed their tenant's quota at this node. The quota holds for the whole fleet; a node takes
 * its part of all traffic from the other tenants' arrivals against their quotas, an equal part of the fleet being the
 * first estimate. Requests over the quota are sent only where free capacity is known. Guards against floods and retry
 * storms of one tenant; a tenant whose clients all come to one node loses by it.
 *
 * <p>Marked retries are not counted as arrivals but use a token, and a rejected request gives its token back: otherwise
 * retries would use the quota up and inflate the node's part.
 */
final class QuotaEstimator {
    /** Arrivals are forgotten over this time. */
    private static final double LONG_TERM_DECAY_US = 10e6;
    /** And over this one, to see all traffic of this node jump. */
    private static final double SHORT_TERM_DECAY_US = 1.5e6;
    /** Traffic has jumped if it grew by this factor at least. */
    private static final double JUMP_FACTOR = 1.3;
    /** And if it lies so many standard deviations above what was expected. */
    private static final double JUMP_DEVIATIONS = 4;
    /** Requests that the first estimate of the node's part weighs. */
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

    /** Counts an arrival; true if it exceeds the quota. */
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

    /** The request was rejected: its place in the quota is free again. */
    void onRejected(PendingRequest request) {
        request.tenantQueue.quota.tokens += request.overQuota ? 0 : 1;
    }

    /** Returns the arrivals of the other tenants. */
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

    /** What is left of the long-term arrivals since they were last updated, from 0 to 1. */
    private static double longTermDecay(long nowUs, TenantQuota quota) {
        return Math.exp(-(nowUs - quota.updatedAtUs) / LONG_TERM_DECAY_US);
    }

    private static double shortTermArrivals(long nowUs, TenantQuota quota) {
        return quota.shortTermArrivals * Math.exp(-(nowUs - quota.updatedAtUs) / SHORT_TERM_DECAY_US);
    }

    /** Seconds of traffic that a forgetting count holds; less of it shortly after the start. */
    private double observedSeconds(long nowUs, double decayUs) {
        return decayUs / MICROS_PER_SECOND * (1 - Math.exp(-(nowUs - startedAtUs) / decayUs));
    }

    /**
     * Where the traffic of most tenants jumps at once, this node takes over another one's: what is remembered of all
     * jumps too. A flood is one tenant's. Guards against taking the restart of another node for floods by everybody.
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
            totalRecent += Math.min(recent, 2 * JUMP_FACTOR * baseline); // no one tenant may carry the others along
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
