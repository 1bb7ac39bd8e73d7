package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;

/** Takes queued requests in their order and finds an endpoint for each, until no tenant's requests find one. */
final class QueueDispatcher {
    /** Queued requests of one class that are tried for an endpoint in each turn. */
    private static final int LOOKAHEAD_REQUESTS = 4;

    /** Sends a request to an endpoint. */
    interface Sender {
        void send(long nowUs, PendingRequest request, Endpoint endpoint);
    }

    private final TenantQueues queues;
    private final List<RequestClassStats> classesByValue;
    private final EndpointTable endpoints;
    private final EndpointSelector selector;
    private final WorkingSet workingSet;
    private final RetryAfterEstimator retryAfterEstimator;
    private final Sender sender;

    /** {@code classOrder} is the caller's list of all classes, the most valuable for their work first. */
    QueueDispatcher(
            TenantQueues queues,
            List<RequestClassStats> classesByValue,
            EndpointTable endpoints,
            EndpointSelector selector,
            WorkingSet workingSet,
            RetryAfterEstimator retryAfterEstimator,
            Sender sender) {
        this.queues = queues;
        this.classesByValue = classesByValue;
        this.endpoints = endpoints;
        this.selector = selector;
        this.workingSet = workingSet;
        this.retryAfterEstimator = retryAfterEstimator;
        this.sender = sender;
    }

    void dispatch(long nowUs) {
        queues.unblockAll();
        for (TenantQueue tenant = queues.next(); tenant != null; tenant = queues.next()) {
            if (dispatchTenant(nowUs, tenant)) {
                queues.onRequestTaken(tenant);
            } else {
                tenant.blocked = true;
            }
        }
    }

    /**
     * A tenant's classes go by value for their work, not first come: under overload its long requests wait, whose
     * latency objective is longest, and short ones meet theirs. Those over the quota come last. A long class may
     * starve.
     */
    private boolean dispatchTenant(long nowUs, TenantQueue tenant) {
        return dispatchClasses(nowUs, tenant, false) || dispatchClasses(nowUs, tenant, true);
    }

    private boolean dispatchClasses(long nowUs, TenantQueue tenant, boolean overQuota) {
        for (int i = 0; i < classesByValue.size(); i++) {
            ArrayDeque<PendingRequest> queue = queues.classQueue(tenant, classesByValue.get(i).index, overQuota);
            if (!queue.isEmpty() && dispatchFromQueue(nowUs, queue)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Once the oldest request has used half of its time in the queue, the newest goes first: in the order of arrival
     * every request would be served at the very end of its time, too late for its latency objective. Acts under any
     * overload.
     */
    private boolean dispatchFromQueue(long nowUs, ArrayDeque<PendingRequest> queue) {
        PendingRequest oldest = queue.peekFirst();
        boolean newestFirst = 2 * nowUs > oldest.arrivedAtUs + oldest.latestStartUs;
        Iterator<PendingRequest> iterator = newestFirst ? queue.descendingIterator() : queue.iterator();
        for (int tried = 0; iterator.hasNext() && tried < LOOKAHEAD_REQUESTS; tried++) {
            PendingRequest request = iterator.next();
            Endpoint endpoint = selector.select(nowUs, request);
            if (endpoint != null) {
                iterator.remove();
                retryAfterEstimator.onRelease(nowUs, request);
                sender.send(nowUs, request, endpoint);
                return true;
            }
        }
        if (!oldest.overQuota) {
            workingSet.onNoCapacity(nowUs, endpoints.size());
        }
        return false;
    }
}
