package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The queued requests of one tenant, its position in the scheduling of queues, its quota and the slot time that it
 * used.
 */
final class TenantQueue {
    final Tenant tenant;
    final int index;
    /** One queue per class, followed by one per class for requests over the quota. */
    final List<ArrayDeque<PendingRequest>> classQueues = new ArrayList<>();
    /** Number of requests in all its queues. */
    int queuedRequests;
    /** Pass value of stride scheduling: the tenant with the lowest one is next. */
    double pass;
    /** Whether none of its requests found an endpoint in the current round. */
    boolean blocked;

    final TenantQuota quota = new TenantQuota();
    final SlotUsage slotUsage = new SlotUsage();

    TenantQueue(Tenant tenant, int index, int queueCount) {
        this.tenant = tenant;
        this.index = index;
        for (int i = 0; i < queueCount; i++) {
            classQueues.add(new ArrayDeque<>());
        }
    }
}
