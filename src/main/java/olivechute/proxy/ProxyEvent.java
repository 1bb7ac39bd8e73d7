package olivechute.proxy;

import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadReport;
import olivechute.loadbalancing.Request;

/** What connections of clients, connections to endpoints and discovery report to the event loop. */
public sealed interface ProxyEvent {
    /** A client's request arrived; {@code receivedAtUs} is when its last byte came, on the loop's clock. */
    record RequestArrived(Request request, Payload payload, ClientStream client, long receivedAtUs)
            implements ProxyEvent {}

    /** The client of a request closed or cancelled. */
    record ClientDisconnected(String requestId, ClientStream client) implements ProxyEvent {}

    /** An endpoint accepted the request of an attempt. */
    record AttemptAccepted(String requestId, int attemptNumber) implements ProxyEvent {}

    /** An attempt ended other than by a job status. */
    record AttemptEnded(String requestId, int attemptNumber, AttemptOutcome outcome, LoadReport loadReport)
            implements ProxyEvent {}

    /** What an endpoint says of a request that it accepted. */
    enum JobStatus {
        /** It left the endpoint's queue. */
        STARTED,
        /** It still runs. */
        RUNNING,
        /** It is done, with a result. */
        DONE,
        /** It failed. */
        FAILED,
        /** The endpoint gave it back without having run it. */
        RETURNED,
        /** The endpoint lost it. */
        LOST;

        /** Whether the attempt there is over. */
        boolean endsAttempt() {
            return this != STARTED && this != RUNNING;
        }
    }

    /**
     * An endpoint reported the status of a request.
     *
     * @param progress the part that is done, from 0 to 1
     * @param result {@code null} unless it is done
     */
    record JobStatusReceived(
            String requestId, String endpoint, JobStatus status, double progress, byte[] result, LoadReport loadReport)
            implements ProxyEvent {}

    /** The endpoint list changed, or was confirmed; {@code asOfUs} is when it was complete, on the loop's clock. */
    record ListUpdated(EndpointListUpdate update, long completeAsOfUs) implements ProxyEvent {
        /** An answer that says nothing of the rest of the list. */
        public static final long PARTIAL = Long.MIN_VALUE;
    }

    /** The watch on the endpoint list failed or broke. */
    record ListWatchFailed() implements ProxyEvent {}

    /** A task to run on the loop. */
    record Task(Runnable task) implements ProxyEvent {}
}
