package olivechute.loadbalancing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until it is answered and has no attempt in flight. Times are microseconds. */
final class PendingRequest {
    final Request clientRequest;
    final RequestClassStats classStats;
    final RequestClass requestClass;
    final TenantQueue tenantQueue;
    final int slots;
    /** Memory that it needs; 0 if not known. */
    final double memory;

    final long arrivedAtUs;
    final long clientDeadlineUs;
    /** When it must have been sent to be worth sending. */
    long latestStartUs;
    /** When it is answered if it is still queued. */
    long queueDeadlineUs;
    /** The queue of its tenant that it waits in. */
    ArrayDeque<PendingRequest> classQueue;
    /** Whether it exceeds its tenant's quota. */
    boolean overQuota;

    final List<Attempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    /** The first attempt that may have been executed, or {@code null}. */
    Attempt possiblyExecutedAttempt;
    /** Whether it needs no further answer. */
    boolean answered;

    /** Rounds of probes that were sent for it. */
    int probeRounds;

    long lastProbedAtUs;

    PendingRequest(long arrivedAtUs, Request clientRequest, RequestClassStats classStats, TenantQueue tenantQueue) {
        this.arrivedAtUs = arrivedAtUs;
        this.clientRequest = clientRequest;
        this.slots = Math.max(1, clientRequest.slots());
        this.memory = clientRequest.memory() > 0 ? clientRequest.memory() : 0;
        this.classStats = classStats;
        this.requestClass = classStats.requestClass;
        this.tenantQueue = tenantQueue;
        this.clientDeadlineUs = arrivedAtUs + clientRequest.timeLeftUs();
    }

    /** Expected running time in each of its slots. */
    double expectedWorkUs() {
        return clientRequest.expectedWorkUs() > 0 ? clientRequest.expectedWorkUs() : classStats.meanRunTimeUs();
    }

    /** Expected slot time, in calls of its class; see {@link RequestClassStats#callWorkUs()}. */
    double referenceRequests() {
        return slots * expectedWorkUs() / classStats.referenceWorkUs();
    }

    /** How long after its latency objective begins to count a wait for it is acceptable. */
    double latencyBudgetUs() {
        return requestClass.latencyObjectiveUs() + Math.max(0, requestClass.objectiveStretch() - 1) * expectedWorkUs();
    }
}
