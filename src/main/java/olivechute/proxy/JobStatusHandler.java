package olivechute.proxy;

import java.util.function.BiConsumer;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadReport;

/** Decides what a job status event of an endpoint means for the attempt in flight. On the event loop. */
final class JobStatusHandler {
    /** Ends the attempt in flight of a request. */
    interface AttemptFinisher {
        void finish(ActiveRequest request, AttemptOutcome outcome, LoadReport load);
    }

    private final UpstreamTransport transport;
    private final AttemptTracker attemptTracker;
    private final BiConsumer<ActiveRequest, byte[]> resultSender;
    private final AttemptFinisher attemptFinisher;

    /** {@code sendResult}: answers the client with a result, unless it was answered. */
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

    /** The request has an attempt in flight. */
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
     * A status event names no attempt. If an earlier attempt went to the same endpoint, the event may be of that one,
     * repeated or late, and is for certain if nothing of the present one was written. A result counts either way. If
     * the endpoint never reported how the earlier attempt ended, a start counts only once the present one is accepted;
     * and an end, taken for the present one's, would let another attempt go out beside it: so the endpoint is told to
     * cancel the present one, which ends once that is confirmed. True if that is all there is to do.
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
