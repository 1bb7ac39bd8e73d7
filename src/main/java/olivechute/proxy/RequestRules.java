package olivechute.proxy;

import olivechute.loadbalancing.DeduplicationScope;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.RequestClass;

/**
 * Checks the rules on answers and retries as far as one node can. Not checked: deduplication scopes narrower than ALL,
 * drains, slow start. Times are microseconds on the event loop's clock.
 */
final class RequestRules {
    /** By so much each time limit of the rules is longer on sockets. */
    static final long SOCKET_TOLERANCE_US = 50_000;
    /** In place of a time: no attempt at a request may have been executed. */
    static final long NEVER = Long.MAX_VALUE;

    private RequestRules() {}

    /**
     * Whether an answer sent now misses the class's latency objective, which is at most its deadline. Running time
     * counts from the reported start; without one the client's estimate is used, else 0. For a marked retry the time
     * since the first try counts too.
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

    /** False if an answer sent now is later than the rules allow after the client gave up. */
    static boolean answeredInTime(LoadBalancerSettings settings, ProxyEvent.RequestArrived arrival, long nowUs) {
        long giveUpAtUs = arrival.receivedAtUs() + arrival.request().timeLeftUs();
        return nowUs <= giveUpAtUs + settings.rules().answerSlackUs() + SOCKET_TOLERANCE_US;
    }

    /**
     * Whether another attempt may be sent.
     *
     * @param possiblyExecutedSinceUs when the first attempt was sent that may have been executed, or {@link #NEVER}
     */
    static boolean mayRetry(RequestClass requestClass, long possiblyExecutedSinceUs, long nowUs) {
        return mayArriveAt(requestClass, possiblyExecutedSinceUs, nowUs - SOCKET_TOLERANCE_US);
    }

    /** Whether the last byte of another attempt may arrive at this moment; without the tolerance of sockets. */
    static boolean mayArriveAt(RequestClass requestClass, long possiblyExecutedSinceUs, long arrivesAtUs) {
        Idempotency idempotency = requestClass.idempotency();
        boolean withinWindow = arrivesAtUs - possiblyExecutedSinceUs <= requestClass.deduplicationWindowUs();
        return possiblyExecutedSinceUs == NEVER
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && withinWindow);
    }

    /** Whether the request may be rejected, which invites its client to try again at any node. */
    static boolean mayReject(RequestClass requestClass, long possiblyExecutedSinceUs) {
        Idempotency idempotency = requestClass.idempotency();
        boolean sharedByAll = requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return possiblyExecutedSinceUs == NEVER
                || idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && sharedByAll);
    }
}
