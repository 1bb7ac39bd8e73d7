package olivechute.proxy;

import olivechute.health.ConnectionHealth;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.AttemptSignal;
import olivechute.loadbalancing.LoadBalancer;

/**
 * Follows the attempt in flight of each request from its send to its acceptance and start, and tells the load balancer
 * and the health of connections. On the event loop.
 */
@SuppressWarnings("ReferenceEquality") // two attempts with equal fields are still two attempts
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
     * An endpoint accepts a request as soon as it has it. One that does not is cut off, or its connection fell silent:
     * what waits there until the deadline is neither served nor free for another endpoint, and the load balancer takes
     * it for queued. The first request on a new connection may wait for its handshake as well: cancelled sooner it may
     * reach its endpoint after the cancellation, and run there beside its retry.
     *
     * @param allowedUs how long was waited for the handshake already
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

    /** The load balancer hears of a start once, also where only a later status event came through. */
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

    /** Notes what the end of the attempt says of later ones; it is in flight no more. */
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

    /** Tells the health of connections how the attempt ended. */
    void reportEndToHealth(ActiveRequest request, UpstreamRequest attempt, AttemptOutcome outcome, long nowUs) {
        long runTimeUs = request.attemptAccepted ? nowUs - request.acceptedAtUs : -1;
        health.onEnd(nowUs, attempt.endpoint(), request.classIndex, outcome, runTimeUs);
    }
}
