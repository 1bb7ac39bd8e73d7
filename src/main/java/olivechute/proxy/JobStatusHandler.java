package olivechute.proxy;

import java.util.function.BiConsumer;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadReport;

/**
 * Applies job status events of an endpoint to the attempt in flight of a request. Used by {@link RequestDispatcher} on
 * the event loop.
 */
final class JobStatusHandler {
    /** Ends the attempt in flight of a request with an outcome. */
    interface AttemptFinisher {
        void finish(ActiveRequest request, AttemptOutcome outcome, LoadReport load);
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
        boolean fromAttemptEndpoint = request.inFlightAttempt.endpoint().equals(event.endpoint());
        if (!fromAttemptEndpoint || mayConcernEarlierAttempt(request, event.status())) {
            return;
        }
        attemptTracker.onAccepted(request);
        request.attemptEndReported = event.status().endsAttempt();
        switch (event.status()) {
            case STARTED -> attemptTracker.onStarted(request);
            case RUNNING -> attemptTracker.onProgress(request, event.progress());
            case DONE -> {
                resultSender.accept(request, event.result());
                attemptFinisher.finish(request, AttemptOutcome.OK, event.loadReport());
            }
            case FAILED -> attemptFinisher.finish(request, AttemptOutcome.ERROR, event.loadReport());
            case RETURNED -> attemptFinisher.finish(request, AttemptOutcome.REJECTED, event.loadReport());
            case LOST -> attemptFinisher.finish(request, AttemptOutcome.RESET, event.loadReport());
        }
    }

    /**
     * Handles the case that a status event may concern an earlier attempt; returns true if the event needs no further
     * handling. Status events do not identify the attempt. If an earlier attempt went to the same endpoint, the event
     * may be a repeated or late one of that attempt, and certainly is if nothing of the present attempt was written. A
     * result counts for either attempt. If the endpoint never reported how the earlier attempt ended, a start counts
     * only once the present attempt is accepted. An end is not taken as the end of the present attempt, which could
     * allow another attempt to run concurrently with it: the endpoint is asked to cancel the present attempt, which
     * ends once the cancellation is confirmed.
     */
    private boolean mayConcernEarlierAttempt(ActiveRequest request, ProxyEvent.JobStatus status) {
        String endpoint = request.inFlightAttempt.endpoint();
        if (status == ProxyEvent.JobStatus.DONE || !request.wasTriedBefore(endpoint)) {
            return false;
        }
        if (!transport.hasWrittenBytes(request.inFlightAttempt)) {
            return true;
        }
        if (!request.wasTriedWithoutEndReport(endpoint)) {
            return false;
        }
        if (!status.endsAttempt()) {
            return !request.attemptAccepted;
        }
        if (!request.cancelRequested) {
            request.cancelRequested = true;
            transport.cancelAndReportEnd(request.inFlightAttempt, request.attemptAccepted);
        }
        return true;
    }
}
