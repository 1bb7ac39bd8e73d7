package olivechute.loadbalancing;

/**
 * Arrivals of one tenant at this node and the node's part of the tenant's quota. Maintained by {@link QuotaEstimator}.
 */
final class TenantQuota {
    /** Requests that the tenant may send at once within its quota. */
    static final double BURST_REQUESTS = 10;

    /** Arrivals, decaying over {@link QuotaEstimator#LONG_TERM_DECAY_US}. */
    double longTermArrivals;
    /** Arrivals, decaying over {@link QuotaEstimator#SHORT_TERM_DECAY_US}. */
    double shortTermArrivals;
    /** Requests that may still be sent within the quota. */
    double tokens = BURST_REQUESTS;
    /** Part of the tenant's quota that this node may use, in requests per second. */
    double ratePerSecond;

    long updatedAtUs;
}
