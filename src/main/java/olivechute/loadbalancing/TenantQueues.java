package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The queues of all tenants, served by stride scheduling: each request taken advances the tenant's pass value by the
 * inverse of its instances, so that tenants with more instances are served more often. Used on the event loop only.
 */
final class TenantQueues {
    /** Receives all requests if the settings name no tenant. */
    private static final Tenant ANY_TENANT = new Tenant("", 1, 0);
    /** Receives the requests of tenants that the settings do not name; it is entitled to no share. */
    private static final Tenant UNKNOWN_TENANT = new Tenant("", 0, 0);

    private final ShareController shareController;
    private final int classCount;
    private final Map<String, TenantQueue> byName = new LinkedHashMap<>();
    /** The same in an array, because all queues are scanned at each event. */
    private TenantQueue[] all = {};

    /** Pass value with which the last tenant was served; a tenant whose queues were empty resumes at no lower one. */
    private double virtualTime;

    private double totalQuotaPerSecond;

    TenantQueues(List<Tenant> tenants, int classCount, ShareController shareController) {
        this.shareController = shareController;
        this.classCount = classCount;
        (tenants.isEmpty() ? List.of(ANY_TENANT) : tenants).forEach(this::add);
    }

    private TenantQueue add(Tenant tenant) {
        TenantQueue queue = new TenantQueue(tenant, byName.size(), 2 * classCount);
        byName.put(tenant.name(), queue);
        all = Arrays.copyOf(all, byName.size());
        all[queue.index] = queue;
        totalQuotaPerSecond += tenant.quotaPerSecond();
        shareController.addTenant(queue);
        return queue;
    }

    TenantQueue tenantQueue(String tenantName) {
        TenantQueue queue = byName.getOrDefault(tenantName == null ? "" : tenantName, byName.get(""));
        return queue == null ? add(UNKNOWN_TENANT) : queue;
    }

    TenantQueue[] all() {
        return all;
    }

    /** Returns the sum of all tenants' quotas, in requests per second. */
    double totalQuotaPerSecond() {
        return totalQuotaPerSecond;
    }

    /** Returns the queue of a class, either within or over the quota. */
    ArrayDeque<PendingRequest> classQueue(TenantQueue tenant, int classIndex, boolean overQuota) {
        return tenant.classQueues.get(classIndex + (overQuota ? classCount : 0));
    }

    void enqueue(PendingRequest request, boolean atHead) {
        TenantQueue tenant = request.tenantQueue;
        if (tenant.queuedRequests++ == 0) {
            tenant.pass = Math.max(tenant.pass, virtualTime);
        }
        if (atHead) {
            request.classQueue.addFirst(request);
        } else {
            request.classQueue.addLast(request);
        }
    }

    /** Returns false if the request is not queued. */
    boolean remove(PendingRequest request) {
        boolean removed = request.classQueue.remove(request);
        request.tenantQueue.queuedRequests -= removed ? 1 : 0;
        return removed;
    }

    /** Removes the requests that match and passes each to {@code removed}. */
    void removeIf(Predicate<PendingRequest> condition, Consumer<PendingRequest> removed) {
        for (TenantQueue tenant : all) {
            for (ArrayDeque<PendingRequest> queue : tenant.classQueues) {
                removeIf(tenant, queue, condition, removed);
            }
        }
    }

    private static void removeIf(
            TenantQueue tenant,
            Collection<PendingRequest> queue,
            Predicate<PendingRequest> condition,
            Consumer<PendingRequest> removed) {
        for (Iterator<PendingRequest> it = queue.iterator(); it.hasNext(); ) {
            PendingRequest request = it.next();
            if (condition.test(request)) {
                it.remove();
                tenant.queuedRequests--;
                removed.accept(request);
            }
        }
    }

    boolean isEmpty() {
        for (TenantQueue tenant : all) {
            if (tenant.queuedRequests > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of queued requests. */
    int size() {
        int sum = 0;
        for (TenantQueue tenant : all) {
            sum += tenant.queuedRequests;
        }
        return sum;
    }

    /** Starts a round, in which each tenant may be tried again. */
    void unblockAll() {
        for (TenantQueue tenant : all) {
            tenant.blocked = false;
        }
    }

    /** Returns the tenant to be served next, or {@code null} if all are empty or blocked. */
    TenantQueue next() {
        TenantQueue next = null;
        for (TenantQueue tenant : all) {
            if (tenant.queuedRequests > 0 && !tenant.blocked && (next == null || tenant.pass < next.pass)) {
                next = tenant;
            }
        }
        return next;
    }

    /** Handles that a request of the tenant being served was taken from its queue. */
    void onRequestTaken(TenantQueue tenant) {
        tenant.queuedRequests--;
        virtualTime = tenant.pass;
        tenant.pass += 1.0 / Math.max(1, shareController.totalInstances(tenant));
    }
}
