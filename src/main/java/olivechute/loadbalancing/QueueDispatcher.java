package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;

/**
 * Takes requests from the queues, selects an endpoint for each and sends it, until no endpoint can take a request of
 * any tenant. Called by {@link ShareLoadBalancer} on the event loop.
 */
final class QueueDispatcher {
    /** Number of queued requests of one class that are tried in each turn of their tenant. */
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

    /**
     * @param classesByValue all classes, ordered by {@link RequestClassStats#compareByValue}; the caller's list, whose
     *     order changes
     */
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
     * Sends one queued request of a tenant. Its classes are tried in order of their value per running time and not in
     * order of arrival: under overload the long requests wait, which have the longest latency objectives, and the short
     * ones meet theirs. Requests over the quota come last. A class of long requests may starve. Returns false if no
     * request could be sent.
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
     * Sends one request of a queue; returns false if none could be sent. Once the oldest request has spent half of its
     * time in the queue, the newest is tried first: in the order of arrival, under any overload, every request would be
     * served at the end of its time, too late for its latency objective.
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
