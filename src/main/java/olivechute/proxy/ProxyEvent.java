package olivechute.proxy;

import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadReport;
import olivechute.loadbalancing.Request;
import olivechute.memory.MemoryReservation;

/** Events that client connections, endpoint connections and discovery post to the event loop. */
public sealed interface ProxyEvent {
    /**
     * A client's request arrived; {@code receivedAtUs} is when its last byte was received, in microseconds on the
     * loop's clock. {@code memory} is reserved for the payload and released once the request has ended.
     */
    record RequestArrived(
            Request request, Payload payload, ClientStream client, long receivedAtUs, MemoryReservation memory)
            implements ProxyEvent {
        /** A request without reserved memory. */
        public RequestArrived(Request request, Payload payload, ClientStream client, long receivedAtUs) {
            this(request, payload, client, receivedAtUs, MemoryReservation.NONE);
        }

        /** The same request with the memory that is reserved for it. */
        public RequestArrived withMemory(MemoryReservation reservation) {
            return reservation == MemoryReservation.NONE
                    ? this
                    : new RequestArrived(request, payload, client, receivedAtUs, reservation);
        }
    }

    /** The client of a request closed its connection or cancelled the request. */
    record ClientDisconnected(String requestId, ClientStream client) implements ProxyEvent {}

    /** An endpoint accepted the request of an attempt. */
    record AttemptAccepted(String requestId, int attemptNumber) implements ProxyEvent {}

    /** An attempt ended other than by a job status event. */
    record AttemptEnded(String requestId, int attemptNumber, AttemptOutcome outcome, LoadReport loadReport)
            implements ProxyEvent {}

    /** Status that an endpoint reports for a request that it accepted. */
    enum JobStatus {
        /** The request left the endpoint's queue and started to run. */
        STARTED,
        /** The request is still running. */
        RUNNING,
        /** The request completed with a result. */
        DONE,
        /** The request failed. */
        FAILED,
        /** The endpoint returned the request without having run it. */
        RETURNED,
        /** The endpoint lost the request. */
        LOST;

        /** Whether the attempt at this endpoint has ended. */
        boolean endsAttempt() {
            return this != STARTED && this != RUNNING;
        }
    }

    /**
     * An endpoint reported the status of a request.
     *
     * @param progress fraction of the work that is done, from 0 to 1
     * @param result the result if the request is done, otherwise {@code null}
     * @param memory reserved for the result, and released once the event is handled
     */
    record JobStatusReceived(
            String requestId,
            String endpoint,
            JobStatus status,
            double progress,
            byte[] result,
            LoadReport loadReport,
            MemoryReservation memory)
            implements ProxyEvent {
        /** An event without reserved memory. */
        public JobStatusReceived(
                String requestId,
                String endpoint,
                JobStatus status,
                double progress,
                byte[] result,
                LoadReport loadReport) {
            this(requestId, endpoint, status, progress, result, loadReport, MemoryReservation.NONE);
        }

        /** The same event with the memory that is reserved for its result. */
        public JobStatusReceived withMemory(MemoryReservation reservation) {
            return reservation == MemoryReservation.NONE
                    ? this
                    : new JobStatusReceived(requestId, endpoint, status, progress, result, loadReport, reservation);
        }
    }

    /**
     * The endpoint list changed or was confirmed; {@code completeAsOfUs} is when the list was complete, in microseconds
     * on the loop's clock.
     */
    record ListUpdated(EndpointListUpdate update, long completeAsOfUs) implements ProxyEvent {
        /** Value of {@code completeAsOfUs} for an update that does not cover the rest of the list. */
        public static final long PARTIAL = Long.MIN_VALUE;
    }

    /** The watch of the endpoint list failed or was interrupted. */
    record ListWatchFailed() implements ProxyEvent {}

    /** A task to run on the event loop. */
    record Task(Runnable task) implements ProxyEvent {}
}
