package olivechute.loadbalancing;

/** What a node knows of one tenant's arrivals and of its part of the tenant's quota. Kept by {@link QuotaEstimator}. */
final class TenantQuota {
    /** Requests that the tenant may send at once within its quota. */
    static final double BURST_REQUESTS = 10;

    /** Arrivals, forgotten over {@link QuotaEstimator#LONG_MEMORY_US}. */
    double longTermArrivals;
    /** Arrivals, forgotten over {@link QuotaEstimator#SHORT_MEMORY_US}. */
    double shortTermArrivals;
    /** Requests that may still be sent within the quota. */
    double tokens = BURST_REQUESTS;
    /** Requests a second that the quota leaves to this node. */
    double ratePerSecond;

    long updatedAtUs;
}
