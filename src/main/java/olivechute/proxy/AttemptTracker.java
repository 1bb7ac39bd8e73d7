package olivechute.proxy;

import olivechute.health.ConnectionHealth;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.AttemptSignal;
import olivechute.loadbalancing.LoadBalancer;

/**
 * Tracks the attempt in flight of each request from sending to acceptance, start and end, and reports each step to the
 * load balancer and to {@link ConnectionHealth}. Used by {@link RequestDispatcher} on the event loop; times are
 * microseconds.
 */
@SuppressWarnings("ReferenceEquality") // attempts are compared by identity: two with equal fields are still distinct
final class AttemptTracker {
    private final EventLoop loop;
    private final UpstreamTransport transport;
    private final ConnectionHealth health;
    private final LoadBalancer loadBalancer;

    AttemptTracker(EventLoop loop, UpstreamTransport transport, ConnectionHealth health, LoadBalancer loadBalancer) {
        this.loop = loop;
        this.transport = transport;
        this.health = health;
        this.loadBalancer = loadBalancer;
    }

    void send(ActiveRequest request, UpstreamRequest attempt, long nowUs) {
        request.onSend(attempt, nowUs);
        String tenant = request.arrival.request().tenant();
        health.onSend(nowUs, attempt.endpoint(), request.classIndex, tenant, attempt.attemptNumber() == 0);
        transport.send(attempt);
        long dueUs = nowUs + health.acceptTimeoutUs(attempt.endpoint());
        request.acceptTimer = loop.scheduleTimer(dueUs, () -> onAcceptTimeout(request, attempt, 0));
    }

    /**
     * Cancels an attempt that was not accepted in time. An endpoint accepts a request as soon as it has received it, so
     * a missing acceptance means that the endpoint cannot be reached or that its connection no longer delivers data. A
     * request left waiting there until its deadline would not be served and could not be sent to another endpoint, and
     * the load balancer would count it as queued. The first request on a new connection gets extra time for the
     * handshake: if it was cancelled earlier, it could reach the endpoint after the cancellation and run there
     * concurrently with its retry.
     *
     * @param handshakeWaitedUs the part of the handshake allowance that has already been waited for
     */
    private void onAcceptTimeout(ActiveRequest request, UpstreamRequest attempt, long handshakeWaitedUs) {
        if (request.inFlightAttempt != attempt || request.attemptAccepted) {
            return;
        }
        long handshakeUs = transport.handshakeAllowanceUs(attempt);
        if (handshakeWaitedUs < handshakeUs) {
            long dueUs = loop.now() + handshakeUs - handshakeWaitedUs;
            request.acceptTimer = loop.scheduleTimer(dueUs, () -> onAcceptTimeout(request, attempt, handshakeUs));
        } else {
            transport.cancelAndReportEnd(attempt, false);
        }
    }

    void onAccepted(ActiveRequest request) {
        if (!request.attemptAccepted) {
            request.attemptAccepted = true;
            request.acceptTimer.cancel();
            request.acceptedAtUs = loop.now();
            health.onAccepted(request.inFlightAttempt.endpoint(), request.classIndex, request.acceptanceDelayUs());
        }
    }

    /**
     * Reports the start of the attempt to the load balancer once, even if the start event was lost and only a later
     * status event arrived.
     */
    void onStarted(ActiveRequest request) {
        if (!request.started()) {
            request.startedAtUs = loop.now();
            loadBalancer.onAttemptSignal(
                    request.startedAtUs, request.id, request.inFlightAttempt.attemptNumber(), AttemptSignal.STARTED, 0);
        }
    }

    void onProgress(ActiveRequest request, double fractionDone) {
        onStarted(request);
        loadBalancer.onAttemptSignal(
                loop.now(), request.id, request.inFlightAttempt.attemptNumber(), AttemptSignal.PROGRESS, fractionDone);
    }

    /**
     * Clears the attempt in flight and records what its outcome means for later attempts. Returns the attempt that
     * ended.
     */
    UpstreamRequest onEnd(ActiveRequest request, AttemptOutcome outcome, long nowUs) {
        UpstreamRequest attempt = request.inFlightAttempt;
        request.inFlightAttempt = null;
        request.acceptTimer.cancel();
        request.lastOutcome = outcome;
        if (!outcome.neverExecuted() && request.possiblyExecutedSinceUs == RequestRules.NEVER) {
            request.possiblyExecutedSinceUs = request.sentAtUs;
        }
        request.needsNewConnection |= outcome == AttemptOutcome.STALE_CONNECTION;
        return attempt;
    }

    /** Reports the outcome of the attempt to {@link ConnectionHealth}. */
    void reportEndToHealth(ActiveRequest request, UpstreamRequest attempt, AttemptOutcome outcome, long nowUs) {
        long runTimeUs = request.attemptAccepted ? nowUs - request.acceptedAtUs : -1;
        health.onEnd(nowUs, attempt.endpoint(), request.classIndex, outcome, runTimeUs);
    }
}
