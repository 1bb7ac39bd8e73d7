package olivechute.loadbalancing;

/** One attempt at a request at one endpoint. Times are microseconds. */
final class Attempt {
    private static final long NOT_STARTED = -1;

    final PendingRequest request;
    final Endpoint endpoint;
    final long sentAtUs;
    /** Whether no idle connection was there to carry it. */
    final boolean usesNewConnection;

    boolean inFlight = true;
    /** Whether its start has been overdue; see {@link ClassExclusion}. */
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

    /** Whether the endpoint reported that it runs. */
    boolean started() {
        return startedAtUs != NOT_STARTED;
    }

    /** When it began to run, as far as that is known. */
    long runningSinceUs() {
        return started() ? startedAtUs : sentAtUs;
    }

    /** How long its start may take: the latency objective, with the stretch of a mean request. */
    double startTimeoutUs() {
        RequestClass requestClass = request.requestClass;
        return requestClass.latencyObjectiveUs() + requestClass.objectiveStretch() * request.classStats.meanRunTimeUs();
    }
}
