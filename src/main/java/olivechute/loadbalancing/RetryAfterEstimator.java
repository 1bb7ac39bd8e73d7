package olivechute.loadbalancing;

/**
 * Estimates the Retry-After of a rejection: the delay until the request would probably find capacity. Queued requests
 * go first, one per recent interval between releases from the queue; but after the maximum queue time all requests
 * queued now have left the queue. A request over its quota must also wait until the quota has a token again. The
 * estimate is this node's view and not a guarantee. Times are microseconds. Called on the event loop.
 */
final class RetryAfterEstimator {
    private static final double INTERVAL_SAMPLE_WEIGHT = 0.1;
    private static final double MICROS_PER_SECOND = 1e6;

    private final TenantQueues queues;
    private final long minRetryAfterUs;
    private final long maxRetryAfterUs;
    private double releaseIntervalUs = Double.NaN;
    private long lastReleaseAtUs;

    RetryAfterEstimator(TenantQueues queues, long minRetryAfterUs, long maxRetryAfterUs) {
        this.queues = queues;
        this.minRetryAfterUs = minRetryAfterUs;
        this.maxRetryAfterUs = maxRetryAfterUs;
    }

    /**
     * Handles the send of a request. A request that is sent on arrival does not update the interval: the interval would
     * then measure the clients' arrivals and not the endpoints' capacity.
     */
    void onRelease(long nowUs, PendingRequest request) {
        if (nowUs > request.arrivedAtUs) {
            double waitedUs = nowUs - Math.max(lastReleaseAtUs, request.arrivedAtUs);
            releaseIntervalUs = Smoothing.smooth(releaseIntervalUs, waitedUs, INTERVAL_SAMPLE_WEIGHT);
        }
        lastReleaseAtUs = nowUs;
    }

    /** Returns the estimate for a request that is rejected from the queue. */
    long forRequest(long nowUs, PendingRequest request) {
        double waitedUs = nowUs - Math.max(lastReleaseAtUs, request.arrivedAtUs);
        double estimateUs = queueDelayUs(waitedUs, (double) Math.max(0, request.queueDeadlineUs - request.arrivedAtUs));
        TenantQuota quota = request.tenantQueue.quota;
        if (request.overQuota && quota.ratePerSecond > 0) {
            estimateUs = Math.max(estimateUs, (1 - quota.tokens) / quota.ratePerSecond * MICROS_PER_SECOND);
        }
        return clamp(estimateUs);
    }

    /** Returns the estimate for a request that is rejected before it was queued. */
    long forNewRequest() {
        return clamp(queueDelayUs(0, Double.MAX_VALUE));
    }

    private double queueDelayUs(double waitedUs, double maxQueueTimeUs) {
        double queuedRequests = queues.size();
        double intervalUs = Double.isNaN(releaseIntervalUs) ? waitedUs : Math.max(releaseIntervalUs, waitedUs);
        return intervalUs + Math.min(queuedRequests * intervalUs, maxQueueTimeUs);
    }

    private long clamp(double estimateUs) {
        return (long) Math.min((double) maxRetryAfterUs, Math.max((double) minRetryAfterUs, estimateUs));
    }
}
