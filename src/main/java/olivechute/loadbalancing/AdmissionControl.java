package olivechute.loadbalancing;

/**
 * Sets {@link PendingRequest#latestStartUs} and {@link PendingRequest#queueDeadlineUs} of an arriving request. A
 * request that is still queued at its queue deadline is rejected or failed, so that its client can try another node in
 * the time that is left. Called by {@link ShareLoadBalancer} on the event loop.
 */
final class AdmissionControl {
    /** The queue deadline of a request is at least this long before its client gives up. */
    static final long QUEUE_ANSWER_MARGIN_US = 30_000;
    /**
     * Queued requests without an attempt are rejected once the endpoint list has been out of date for this long; until
     * then they stay queued.
     */
    static final long STALE_LIST_GRACE_US = 300_000;

    /**
     * Besides its fixed part, the latency objective leaves {@code objectiveStretch} - 1 running times for waiting; a
     * request may spend this fraction of them in the queue. Not used if tail latency counts.
     */
    private static final double QUEUE_STRETCH_FRACTION = 0.5;
    /** Fraction of the fixed latency objective for which a request is queued if tail latency counts. */
    private static final double QUEUE_TAIL_OBJECTIVE_FRACTION = 0.5;

    /**
     * If clients do not mark their retries, a request is taken for a retry if its remaining time is shorter than the
     * longest one of its class by more than this.
     */
    private static final long RETRY_DETECTION_TOLERANCE_US = 20_000;

    private final LoadBalancerSettings settings;
    private final TenantQueues queues;
    private final QuotaEstimator quotaEstimator;
    private final long queueCheckIntervalUs;

    /** @param queueCheckIntervalUs interval between checks of the queued requests, in microseconds */
    AdmissionControl(
            LoadBalancerSettings settings,
            TenantQueues queues,
            QuotaEstimator quotaEstimator,
            long queueCheckIntervalUs) {
        this.settings = settings;
        this.queues = queues;
        this.quotaEstimator = quotaEstimator;
        this.queueCheckIntervalUs = queueCheckIntervalUs;
    }

    /** Sets the request's deadlines, its quota status and the queue that it belongs to. */
    void admit(long nowUs, PendingRequest pending) {
        RequestClass requestClass = pending.requestClass;
        pending.overQuota = quotaEstimator.onArrival(nowUs, pending.tenantQueue, pending.clientRequest.retry());
        pending.classQueue = queues.classQueue(pending.tenantQueue, pending.classStats.index, pending.overQuota);
        boolean tailCounts = settings.tail().weight() > 0;
        long firstClientTryAtUs = firstClientTryAtUs(nowUs, pending);
        double queueStretch = QUEUE_STRETCH_FRACTION * Math.max(0, requestClass.objectiveStretch() - 1);
        long queueStretchUs = tailCounts ? 0 : (long) (queueStretch * pending.expectedWorkUs());
        pending.latestStartUs = Math.min(
                pending.clientDeadlineUs - queueCheckIntervalUs,
                firstClientTryAtUs + requestClass.latencyObjectiveUs() + queueStretchUs);
        long queueDeadlineUs = pending.latestStartUs;
        if (tailCounts) {
            long maxQueueTimeUs =
                    pending.overQuota ? 0 : (long) (QUEUE_TAIL_OBJECTIVE_FRACTION * requestClass.latencyObjectiveUs());
            queueDeadlineUs = Math.min(queueDeadlineUs, firstClientTryAtUs + maxQueueTimeUs);
        }
        pending.queueDeadlineUs = Math.min(pending.clientDeadlineUs - QUEUE_ANSWER_MARGIN_US, queueDeadlineUs);
    }

    /**
     * Estimates when the client first sent the request to any node; its latency objective counts from then. If clients
     * do not mark their retries, a request with less time left than other requests of its class is taken for a retry.
     */
    private long firstClientTryAtUs(long nowUs, PendingRequest pending) {
        Request request = pending.clientRequest;
        long maxTimeLeftUs = pending.classStats.maxTimeLeftUs;
        boolean retry = settings.marksRetries()
                ? request.retry()
                : request.timeLeftUs() < maxTimeLeftUs - RETRY_DETECTION_TOLERANCE_US;
        return retry ? nowUs - (maxTimeLeftUs - request.timeLeftUs()) : nowUs;
    }
}
