package olivechute.proxy;

import olivechute.loadbalancing.DeduplicationScope;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.RequestClass;

/**
 * Checks the rules on answers and retries as far as a single node can. Not checked: deduplication scopes narrower than
 * ALL, drains and slow start. Times are microseconds on the event loop's clock.
 */
final class RequestRules {
    /** Tolerance that is added to each time limit of the rules when it is measured on sockets. */
    static final long SOCKET_TOLERANCE_US = 50_000;
    /** Used instead of a time: no attempt at the request may have been executed. */
    static final long NEVER = Long.MAX_VALUE;

    private RequestRules() {}

    /**
     * Whether an answer sent now misses the latency objective of the request class, which is at most its deadline.
     * Running time counts from the reported start; if no start was reported, the client's estimate is used, or 0
     * without one. For a marked retry the time since the client's first try counts too.
     *
     * @param startedAtUs negative if no start was reported
     */
    static boolean missesLatencyObjective(
            LoadBalancerSettings settings,
            RequestClass requestClass,
            ProxyEvent.RequestArrived arrival,
            long startedAtUs,
            long nowUs) {
        Request request = arrival.request();
        double estimatedWorkUs = Double.isNaN(request.expectedWorkUs()) ? 0 : request.expectedWorkUs();
        double workUs = startedAtUs < 0 ? estimatedWorkUs : nowUs - startedAtUs;
        boolean markedRetry = settings.marksRetries() && request.retry();
        long sinceFirstTryUs = markedRetry ? Math.max(0, requestClass.deadlineUs() - request.timeLeftUs()) : 0;
        double objectiveUs = requestClass.latencyObjectiveUs() + requestClass.objectiveStretch() * workUs;
        return nowUs - arrival.receivedAtUs() + sinceFirstTryUs
                > Math.min((double) requestClass.deadlineUs(), objectiveUs);
    }

    /** Whether an answer sent now is within the time that the rules allow after the client's deadline. */
    static boolean answeredInTime(LoadBalancerSettings settings, ProxyEvent.RequestArrived arrival, long nowUs) {
        long giveUpAtUs = arrival.receivedAtUs() + arrival.request().timeLeftUs();
        return nowUs <= giveUpAtUs + settings.rules().answerSlackUs() + SOCKET_TOLERANCE_US;
    }

    /**
     * Whether another attempt may be sent.
     *
     * @param possiblyExecutedSinceUs when the first attempt that may have been executed was sent, or {@link #NEVER}
     */
    static boolean mayRetry(RequestClass requestClass, long possiblyExecutedSinceUs, long nowUs) {
        return mayArriveAt(requestClass, possiblyExecutedSinceUs, nowUs - SOCKET_TOLERANCE_US);
    }

    /**
     * Whether the last byte of another attempt may arrive at {@code arrivesAtUs}; does not include the socket
     * tolerance.
     */
    static boolean mayArriveAt(RequestClass requestClass, long possiblyExecutedSinceUs, long arrivesAtUs) {
        Idempotency idempotency = requestClass.idempotency();
        boolean withinWindow = arrivesAtUs - possiblyExecutedSinceUs <= requestClass.deduplicationWindowUs();
        return possiblyExecutedSinceUs == NEVER
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && withinWindow);
    }

    /** Whether the request may be rejected; a rejection invites the client to retry at any node. */
    static boolean mayReject(RequestClass requestClass, long possiblyExecutedSinceUs) {
        Idempotency idempotency = requestClass.idempotency();
        boolean sharedByAll = requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return possiblyExecutedSinceUs == NEVER
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && sharedByAll);
    }
}
