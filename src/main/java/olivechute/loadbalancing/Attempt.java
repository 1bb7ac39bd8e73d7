package olivechute.loadbalancing;

/** One attempt to serve a request at one endpoint. Times are microseconds. */
final class Attempt {
    private static final long NOT_STARTED = -1;

    final PendingRequest request;
    final Endpoint endpoint;
    final long sentAtUs;
    /** Whether there was no idle connection to the endpoint, so that the attempt needs a new one. */
    final boolean usesNewConnection;

    boolean inFlight = true;
    /** Whether the attempt ended as {@link AttemptOutcome#RETURNED}. */
    boolean returned;
    /** Whether the endpoint did not report the start within {@link #startTimeoutUs()}; see {@link ClassExclusion}. */
    boolean startOverdue;

    private long startedAtUs = NOT_STARTED;

    Attempt(PendingRequest request, Endpoint endpoint, long sentAtUs) {
        this.usesNewConnection = !endpoint.connectionCount.hasIdle(endpoint.attempts.size());
        this.request = request;
        this.endpoint = endpoint;
        this.sentAtUs = sentAtUs;
    }

    void markStarted(long nowUs) {
        startedAtUs = nowUs;
    }

    /** Whether the endpoint has reported that the request runs. */
    boolean started() {
        return startedAtUs != NOT_STARTED;
    }

    /** Returns the reported start time, or the send time if no start was reported. */
    long runningSinceUs() {
        return started() ? startedAtUs : sentAtUs;
    }

    /**
     * Returns the time from the send after which a start that was not reported is overdue, in microseconds: the latency
     * objective of a request with the mean running time of its class.
     */
    double startTimeoutUs() {
        RequestClass requestClass = request.requestClass;
        return requestClass.latencyObjectiveUs() + requestClass.objectiveStretch() * request.classStats.meanRunTimeUs();
    }
}
