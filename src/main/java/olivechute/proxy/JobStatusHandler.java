package olivechute.proxy;

import java.util.function.BiConsumer;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadReport;
import org.tinylog.Logger;

/**
 * Applies job status events of an endpoint to the attempt in flight of a request. Used by {@link RequestDispatcher} on
 * the event loop.
 */
final class JobStatusHandler {
    /** Ends the attempt in flight of a request with an outcome. */
    interface AttemptFinisher {
        void finish(ActiveRequest request, AttemptOutcome outcome, LoadReport load);
    }

    /** Which attempt a status event concerns. */
    private enum Attribution {
        ATTEMPT_IN_FLIGHT,
        /** An attempt that has ended already. */
        EARLIER_ATTEMPT,
        /** Either an earlier attempt or the one in flight. */
        UNKNOWN_ATTEMPT
    }

    private final UpstreamTransport transport;
    private final AttemptTracker attemptTracker;
    private final BiConsumer<ActiveRequest, byte[]> resultSender;
    private final AttemptFinisher attemptFinisher;

    /**
     * Creates a handler.
     *
     * @param resultSender sends the result to the client unless the request was already answered
     */
    JobStatusHandler(
            UpstreamTransport transport,
            AttemptTracker attemptTracker,
            BiConsumer<ActiveRequest, byte[]> resultSender,
            AttemptFinisher attemptFinisher) {
        this.transport = transport;
        this.attemptTracker = attemptTracker;
        this.resultSender = resultSender;
        this.attemptFinisher = attemptFinisher;
    }

    /** Applies a status event to a request, which must have an attempt in flight. */
    void onStatus(ActiveRequest request, ProxyEvent.JobStatusReceived event) {
        if (!request.inFlightAttempt.endpoint().equals(event.endpoint())) {
            return;
        }
        Attribution attribution = attribute(request, event.status());
        if (attribution != Attribution.ATTEMPT_IN_FLIGHT) {
            Logger.debug(
                    "request {}: {} from {} during attempt {} concerns {}",
                    request.id,
                    event.status(),
                    event.endpoint(),
                    request.inFlightAttempt.attemptNumber(),
                    attribution);
        }
        switch (attribution) {
            case ATTEMPT_IN_FLIGHT -> apply(request, event);
            case EARLIER_ATTEMPT -> {
                // that attempt has ended already
            }
            case UNKNOWN_ATTEMPT -> cancelOnce(request);
        }
    }

    private void apply(ActiveRequest request, ProxyEvent.JobStatusReceived event) {
        attemptTracker.onAccepted(request);
        switch (event.status()) {
            case STARTED -> attemptTracker.onStarted(request);
            case RUNNING -> attemptTracker.onProgress(request, event.progress());
            case DONE -> {
                resultSender.accept(request, event.result());
                attemptFinisher.finish(request, AttemptOutcome.OK, event.loadReport());
            }
            case FAILED -> attemptFinisher.finish(request, AttemptOutcome.ERROR, event.loadReport());
            case RETURNED -> attemptFinisher.finish(request, AttemptOutcome.RETURNED, event.loadReport());
            case LOST -> attemptFinisher.finish(request, AttemptOutcome.RESET, event.loadReport());
        }
    }

    /**
     * Determines which attempt a status event concerns. Status events do not identify their attempt, and an endpoint
     * repeats each until it is acknowledged, so an event from an endpoint with an earlier attempt may be a late or
     * repeated one of that attempt:
     *
     * <ul>
     *   <li>A result counts for either attempt.
     *   <li>Nothing can be reported of an attempt of which nothing was written.
     *   <li>An attempt that was handed back never started. If all earlier ones at the endpoint were, a start concerns
     *       the attempt in flight, and after that a further RETURNED does not. Otherwise a start counts only once the
     *       attempt in flight is accepted.
     *   <li>Any other end is of an unknown attempt, whether or not the end of the earlier one was reported.
     * </ul>
     */
    private Attribution attribute(ActiveRequest request, ProxyEvent.JobStatus status) {
        String endpoint = request.inFlightAttempt.endpoint();
        if (status == ProxyEvent.JobStatus.DONE || !request.earlierAttempts().mayCauseEventsFrom(endpoint)) {
            return Attribution.ATTEMPT_IN_FLIGHT;
        }
        if (!transport.hasWrittenBytes(request.inFlightAttempt)) {
            return Attribution.EARLIER_ATTEMPT;
        }
        if (!status.endsAttempt()) {
            boolean confirmed = !request.earlierAttempts().mayCauseStartFrom(endpoint);
            request.startConfirmed |= confirmed;
            return confirmed || request.attemptAccepted ? Attribution.ATTEMPT_IN_FLIGHT : Attribution.EARLIER_ATTEMPT;
        }
        return status == ProxyEvent.JobStatus.RETURNED && request.startConfirmed
                ? Attribution.EARLIER_ATTEMPT
                : Attribution.UNKNOWN_ATTEMPT;
    }

    /**
     * Asks the endpoint to cancel the attempt in flight, of which it is unknown whether it has ended: another attempt
     * must not run concurrently with it. It ends once the cancellation is confirmed.
     */
    private void cancelOnce(ActiveRequest request) {
        if (!request.cancelRequested) {
            request.cancelRequested = true;
            transport.cancelAndReportEnd(request.inFlightAttempt, request.attemptAccepted);
        }
    }

    /**
     * Returns the outcome of the attempt in flight, which the transport reports to have ended. A confirmed cancellation
     * that a status event caused says nothing about how long the endpoint takes to accept requests.
     */
    AttemptOutcome outcomeOf(ActiveRequest request, AttemptOutcome reported) {
        return request.cancelRequested && reported == AttemptOutcome.ACCEPT_TIMEOUT
                ? AttemptOutcome.CANCELLED
                : reported;
    }
}
