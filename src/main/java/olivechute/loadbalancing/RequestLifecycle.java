package olivechute.loadbalancing;

import java.util.function.Predicate;

/**
 * Manages each request after its admission: it is queued, sent, retried, and answered exactly once. Keeps the counts of
 * attempts in flight and the timer that checks queued requests. Called by {@link ShareLoadBalancer} and
 * {@link QueueDispatcher} on the event loop.
 */
final class RequestLifecycle {
    private final LoadBalancerSettings settings;
    private final LoadBalancer.Helper helper;
    private final EndpointStats stats;
    private final TenantQueues queues;
    private final QuotaEstimator quotaEstimator;
    private final RetryAfterEstimator retryAfterEstimator;
    private final RetryPolicy retryPolicy;
    private final long queueCheckIntervalUs;
    private final RequestTable requests = new RequestTable();
    private boolean queueTimerScheduled;

    /** @param queueCheckIntervalUs interval between checks of the queued requests, in microseconds */
    RequestLifecycle(
            LoadBalancerSettings settings,
            LoadBalancer.Helper helper,
            EndpointStats stats,
            TenantQueues queues,
            QuotaEstimator quotaEstimator,
            RetryAfterEstimator retryAfterEstimator,
            RetryPolicy retryPolicy,
            long queueCheckIntervalUs) {
        this.settings = settings;
        this.helper = helper;
        this.stats = stats;
        this.queues = queues;
        this.quotaEstimator = quotaEstimator;
        this.retryAfterEstimator = retryAfterEstimator;
        this.retryPolicy = retryPolicy;
        this.queueCheckIntervalUs = queueCheckIntervalUs;
    }

    RequestTable requests() {
        return requests;
    }

    /** Queues a request; a retry goes to the head of its queue. */
    void enqueue(PendingRequest request, boolean retry) {
        queues.enqueue(request, retry);
        if (!queueTimerScheduled) {
            scheduleQueueTimer();
        }
    }

    /** Schedules the next check after the queue timer expired, unless dispatching has emptied the queues. */
    void rescheduleQueueTimer() {
        queueTimerScheduled = false;
        if (!queues.isEmpty()) {
            scheduleQueueTimer();
        }
    }

    private void scheduleQueueTimer() {
        queueTimerScheduled = true;
        helper.schedule(ShareLoadBalancer.QUEUE_TIMER, queueCheckIntervalUs);
    }

    void send(long nowUs, PendingRequest request, Endpoint endpoint) {
        Attempt attempt = new Attempt(request, endpoint, nowUs);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        stats.onSend();
        endpoint.onSend(nowUs, attempt, settings.rules());
        if (!settings.notifiesStart()) {
            request.tenantQueue.slotUsage.add(nowUs, request.slots);
        }
        helper.send(request.clientRequest.id(), endpoint.name(), 0);
    }

    void onAttemptStarted(long nowUs, Attempt attempt) {
        attempt.markStarted(nowUs);
        if (settings.notifiesStart()) {
            attempt.request.tenantQueue.slotUsage.add(nowUs, attempt.request.slots);
        }
    }

    /** Removes an attempt that has ended from the counts of attempts in flight. */
    void onAttemptEnd(long nowUs, Attempt attempt) {
        PendingRequest request = attempt.request;
        attempt.inFlight = false;
        request.attemptsInFlight--;
        attempt.endpoint.onAttemptEnd(nowUs, attempt);
        stats.onAttemptEnd();
        if (attempt.started() || !settings.notifiesStart()) {
            request.tenantQueue.slotUsage.add(nowUs, -request.slots);
        }
    }

    /** Continues the request of an attempt that has ended: retries or answers it if necessary. */
    void continueAfterAttempt(long nowUs, Attempt attempt, AttemptOutcome outcome, boolean complete) {
        PendingRequest request = attempt.request;
        request.answered |= complete;
        if (outcome == AttemptOutcome.RETURNED) {
            attempt.returned = true;
            request.returnedAttempts++;
        }
        if (!request.answered) {
            if (!outcome.neverExecuted() && request.possiblyExecutedAttempt == null) {
                request.possiblyExecutedAttempt = attempt;
            }
            if (request.attemptsInFlight == 0) {
                retryOrReject(nowUs, request, outcome);
            }
        }
        requests.removeIfDone(request);
    }

    private void retryOrReject(long nowUs, PendingRequest request, AttemptOutcome lastOutcome) {
        if (retryPolicy.allowsRetry(nowUs, request, lastOutcome)) {
            retryPolicy.extendQueueTime(nowUs, request, lastOutcome);
            enqueue(request, true);
        } else {
            rejectOrFail(nowUs, request);
        }
    }

    /** Rejects or fails the queued requests that match. */
    void rejectOrFailQueuedIf(long nowUs, Predicate<PendingRequest> condition) {
        queues.removeIf(condition, request -> rejectOrFail(nowUs, request));
    }

    /**
     * Sends the final answer of a request that was not served: a rejection if its client may safely retry, a failure
     * otherwise.
     */
    void rejectOrFail(long nowUs, PendingRequest request) {
        request.answered = true;
        String id = request.clientRequest.id();
        if (RetryPolicy.mayReject(request)) {
            quotaEstimator.onRejected(request);
            helper.reject(id, retryAfterEstimator.forRequest(nowUs, request));
        } else {
            helper.fail(id);
        }
        requests.removeIfDone(request);
    }

    /** Handles the client's disconnect or cancellation: no answer is sent, and attempts in flight run to their end. */
    void onClientDisconnected(PendingRequest request) {
        request.answered = true;
        queues.remove(request);
        requests.removeIfDone(request);
    }
}
