package olivechute.loadbalancing;

/**
 * Estimates the Retry-After of a rejection: when the request would likely find capacity. What is queued goes first,
 * each after the gap that releases of queued requests lately took; but after the longest time in the queue all that is
 * queued now has left it. A request over its quota comes within it no sooner than the quota has a token again. An
 * estimate from this node's view, not a promise. Times are microseconds.
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

    /** A queued request was sent. One that was sent at its arrival tells the clients' gap, not the endpoints'. */
    void onRelease(long nowUs, PendingRequest request) {
        if (nowUs > request.arrivedAtUs) {
            double waitedUs = nowUs - Math.max(lastReleaseAtUs, request.arrivedAtUs);
            releaseIntervalUs = Smoothing.smooth(releaseIntervalUs, waitedUs, INTERVAL_SAMPLE_WEIGHT);
        }
        lastReleaseAtUs = nowUs;
    }

    /** For a request that is rejected from the queue. */
    long forRequest(long nowUs, PendingRequest request) {
        double waitedUs = nowUs - Math.max(lastReleaseAtUs, request.arrivedAtUs);
        double estimateUs = queueDelayUs(waitedUs, (double) Math.max(0, request.queueDeadlineUs - request.arrivedAtUs));
        TenantQuota quota = request.tenantQueue.quota;
        if (request.overQuota && quota.ratePerSecond > 0) {
            estimateUs = Math.max(estimateUs, (1 - quota.tokens) / quota.ratePerSecond * MICROS_PER_SECOND);
        }
        return clamp(estimateUs);
    }

    /** For a request that is rejected before it was queued. */
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
