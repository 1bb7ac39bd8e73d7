package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The queued requests of one tenant, its place in the round of queues, its quota and the slot time it used. */
final class TenantQueue {
    final Tenant tenant;
    final int index;
    /** One queue for each class, then one for each class's requests over the quota. */
    final List<ArrayDeque<PendingRequest>> classQueues = new ArrayList<>();
    /** Requests in all queues. */
    int queuedRequests;
    /** Stride scheduling: the queue with the lowest pass is next. */
    double pass;
    /** Whether none of its requests found an endpoint in the present round. */
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
