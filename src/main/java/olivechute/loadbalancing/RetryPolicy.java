package olivechute.loadbalancing;

/**
 * Decides whether a request gets another attempt, and where that may run. Limits: a class that must not be executed
 * twice is retried only if no attempt may have been executed; no retry after {@link AttemptOutcome#NOT_SENT} or
 * {@link AttemptOutcome#CANCEL_UNCONFIRMED}; at most {@code limits.maxAttempts} attempts; no retry in the last
 * {@link AdmissionControl#QUEUE_ANSWER_MARGIN_US} before the client gives up, or if the remaining time is shorter than
 * a quick run of the class, or if the node's {@link RetryBudget} is used up. {@link HealthView#allowsRetry} checks the
 * last two.
 *
 * <p>A request that must not be executed twice is never sent again to an endpoint that handed it back
 * ({@link AttemptOutcome#RETURNED}). Of two attempts at one endpoint no status event says which of them it concerns, so
 * a repeated one could be taken for the end of an attempt that runs.
 *
 * <p>A retry waits at the head of its queue until an endpoint can take it.
 */
final class RetryPolicy {
    /** Nothing is sent within this time before the end of the deduplication window. */
    private static final long DEDUPLICATION_WINDOW_MARGIN_US = 20_000;

    private final LoadBalancerSettings settings;
    private final HealthView healthView;
    private final EndpointTable endpoints;

    RetryPolicy(LoadBalancerSettings settings, HealthView healthView, EndpointTable endpoints) {
        this.settings = settings;
        this.healthView = healthView;
        this.endpoints = endpoints;
    }

    /** Returns whether another attempt is allowed after one with this outcome, and takes it from the retry budget. */
    boolean allowsRetry(long nowUs, PendingRequest request, AttemptOutcome lastOutcome) {
        boolean safeToRepeat = request.possiblyExecutedAttempt == null
                || request.requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
        return safeToRepeat
                && lastOutcome != AttemptOutcome.NOT_SENT
                && lastOutcome != AttemptOutcome.CANCEL_UNCONFIRMED
                && request.attempts.size() < settings.limits().maxAttempts()
                && nowUs <= request.clientDeadlineUs - AdmissionControl.QUEUE_ANSWER_MARGIN_US
                && (lastOutcome != AttemptOutcome.RETURNED || mayRunAtAnyEndpoint(nowUs, request))
                && healthView.allowsRetry(
                        nowUs,
                        request.tenantQueue.tenant.name(),
                        request.classStats.index,
                        lastOutcome,
                        request.clientDeadlineUs - nowUs);
    }

    /**
     * Extends the deadlines of a request that waits for a retry, if the outcome is no sign of overload, so that it has
     * more time to find an endpoint.
     */
    void extendQueueTime(long nowUs, PendingRequest request, AttemptOutcome lastOutcome) {
        boolean noSignOfOverload = lastOutcome == AttemptOutcome.ACCEPT_TIMEOUT
                || lastOutcome == AttemptOutcome.STALE_CONNECTION
                || lastOutcome == AttemptOutcome.SUPPRESSED
                || lastOutcome == AttemptOutcome.CANCELLED;
        if (noSignOfOverload) {
            long extendedUntilUs = Math.min(
                    request.clientDeadlineUs - AdmissionControl.QUEUE_ANSWER_MARGIN_US,
                    nowUs + request.requestClass.latencyObjectiveUs());
            request.latestStartUs = Math.max(request.latestStartUs, extendedUntilUs);
            request.queueDeadlineUs = Math.max(request.queueDeadlineUs, extendedUntilUs);
        }
    }

    /** Returns whether any active endpoint may run the request, so that it is worth queueing. */
    private boolean mayRunAtAnyEndpoint(long nowUs, PendingRequest request) {
        for (Endpoint endpoint : endpoints.all()) {
            if (endpoint.active() && mayRunAt(nowUs, request, endpoint)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether an attempt may run at an endpoint. It must be of the kind that the class needs; for a request
     * that must not be executed twice, one that has not handed it back; and for a keyed request that may have been
     * executed, one that still drops the repeat.
     */
    boolean mayRunAt(long nowUs, PendingRequest request, Endpoint endpoint) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.endpointKind() != null && !requestClass.endpointKind().equals(endpoint.info.kind())) {
            return false;
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT && request.wasReturnedBy(endpoint)) {
            return false;
        }
        if (request.possiblyExecutedAttempt == null || requestClass.idempotency() != Idempotency.KEYED) {
            return true;
        }
        EndpointInfo firstEndpoint = request.possiblyExecutedAttempt.endpoint.info;
        long windowEndUs = request.possiblyExecutedAttempt.sentAtUs + requestClass.deduplicationWindowUs();
        return nowUs < windowEndUs - DEDUPLICATION_WINDOW_MARGIN_US
                && sameScope(requestClass.deduplicationScope(), firstEndpoint, endpoint.info);
    }

    private static boolean sameScope(DeduplicationScope scope, EndpointInfo first, EndpointInfo second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.zone().equals(second.zone()) && first.cell() == second.cell();
        };
    }

    /** Returns whether the request may be rejected, so that its client may retry it at any node. */
    static boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return request.attemptsInFlight == 0
                && (request.possiblyExecutedAttempt == null
                        || requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || (requestClass.idempotency() == Idempotency.KEYED
                                && requestClass.deduplicationScope() == DeduplicationScope.ALL));
    }
}
