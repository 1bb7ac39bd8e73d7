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
    /** Memory that the request needs; 0 if unknown. */
    final double memory;

    final long arrivedAtUs;
    final long clientDeadlineUs;
    /** Time after which sending the request is no longer useful. */
    long latestStartUs;
    /** Time at which the request is answered if it is still queued. */
    long queueDeadlineUs;
    /** The queue of its tenant to which the request belongs. */
    ArrayDeque<PendingRequest> classQueue;
    /** Whether it exceeds its tenant's quota. */
    boolean overQuota;

    final List<Attempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    /** Number of attempts that ended as {@link AttemptOutcome#RETURNED}. */
    int returnedAttempts;
    /** The first attempt that may have been executed, or {@code null}. */
    Attempt possiblyExecutedAttempt;
    /** Whether no further answer is needed. */
    boolean answered;

    /** Number of probe rounds made for the request. */
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

    /** Returns whether an attempt at this endpoint ended as {@link AttemptOutcome#RETURNED}. */
    boolean wasReturnedBy(Endpoint endpoint) {
        if (returnedAttempts == 0) {
            return false;
        }
        for (Attempt attempt : attempts) {
            if (attempt.returned && attempt.endpoint.name().equals(endpoint.name())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the expected running time in each of its slots. */
    double expectedWorkUs() {
        return clientRequest.expectedWorkUs() > 0 ? clientRequest.expectedWorkUs() : classStats.meanRunTimeUs();
    }

    /**
     * Returns the expected slot time in reference requests of its class; see
     * {@link RequestClassStats#referenceWorkUs()}.
     */
    double referenceRequests() {
        return slots * expectedWorkUs() / classStats.referenceWorkUs();
    }

    /** Returns how long the request may wait, besides its own running time, and still meet its latency objective. */
    double latencyBudgetUs() {
        return requestClass.latencyObjectiveUs() + Math.max(0, requestClass.objectiveStretch() - 1) * expectedWorkUs();
    }
}
