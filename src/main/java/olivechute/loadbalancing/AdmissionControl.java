package olivechute.loadbalancing;

/**
 * Decides how long an arriving request may be queued and by when it must be sent. A request that is still queued then
 * is answered, so that its client can try another node while there is time.
 */
final class AdmissionControl {
    /** Queued requests are answered this long before their client gives up. */
    static final long QUEUE_ANSWER_MARGIN_US = 30_000;
    /** Requests are queued until the endpoint list has been out of date for this long; then they are rejected. */
    static final long STALE_LIST_GRACE_US = 300_000;

    /** Part of the stretch of the latency objective that may be spent in the queue. */
    private static final double QUEUE_STRETCH_FRACTION = 0.5;
    /** Part of the fixed latency objective for which a request is queued where the tail of the latency counts. */
    private static final double QUEUE_TAIL_OBJECTIVE_FRACTION = 0.5;

    /** A client's time left may vary by this much between two first tries. */
    private static final long RETRY_DETECTION_TOLERANCE_US = 20_000;

    private final LoadBalancerSettings settings;
    private final TenantQueues queues;
    private final QuotaEstimator quotaEstimator;
    private final long queueCheckIntervalUs;

    /** {@code queuePollUs}: how often queued requests are looked at. */
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

    /** Sets the request's times and the queue that it belongs to. */
    void admit(long nowUs, PendingRequest pending) {
        RequestClass requestClass = pending.requestClass;
        pending.overQuota = quotaEstimator.onArrival(nowUs, pending.tenantQueue, pending.clientRequest.retry());
        pending.classQueue = queues.classQueue(pending.tenantQueue, pending.classStats.index, pending.overQuota);
        boolean tailCounts = settings.tail().weight() > 0;
        long firstAttemptAtUs = firstAttemptAtUs(nowUs, pending);
        double queueStretch = QUEUE_STRETCH_FRACTION * Math.max(0, requestClass.objectiveStretch() - 1);
        long queueStretchUs = tailCounts ? 0 : (long) (queueStretch * pending.expectedWorkUs());
        pending.latestStartUs = Math.min(
                pending.clientDeadlineUs - queueCheckIntervalUs,
                firstAttemptAtUs + requestClass.latencyObjectiveUs() + queueStretchUs);
        long queueDeadlineUs = pending.latestStartUs;
        if (tailCounts) {
            long maxQueueTimeUs =
                    pending.overQuota ? 0 : (long) (QUEUE_TAIL_OBJECTIVE_FRACTION * requestClass.latencyObjectiveUs());
            queueDeadlineUs = Math.min(queueDeadlineUs, firstAttemptAtUs + maxQueueTimeUs);
        }
        pending.queueDeadlineUs = Math.min(pending.clientDeadlineUs - QUEUE_ANSWER_MARGIN_US, queueDeadlineUs);
    }

    /**
     * When the client first tried: the latency objective counts from there. Unless clients mark their retries, one with
     * less time left than others of its class is taken for one.
     */
    private long firstAttemptAtUs(long nowUs, PendingRequest pending) {
        Request request = pending.clientRequest;
        long maxTimeLeftUs = pending.classStats.maxTimeLeftUs;
        boolean retry = settings.marksRetries()
                ? request.retry()
                : request.timeLeftUs() < maxTimeLeftUs - RETRY_DETECTION_TOLERANCE_US;
        return retry ? nowUs - (maxTimeLeftUs - request.timeLeftUs()) : nowUs;
    }
}
