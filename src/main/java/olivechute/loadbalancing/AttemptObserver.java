package olivechute.loadbalancing;

/**
 * Derives statistics from the events of each attempt and passes them to the components that keep them. Called by
 * {@link ShareLoadBalancer} on the event loop.
 */
final class AttemptObserver {
    private static final double KIND_RUN_TIME_SAMPLE_WEIGHT = 0.02;

    private final EndpointStats stats;
    private final CapacityEstimator capacityEstimator;
    private final OutlierDetector outlierDetector;

    AttemptObserver(EndpointStats stats, CapacityEstimator capacityEstimator, OutlierDetector outlierDetector) {
        this.stats = stats;
        this.capacityEstimator = capacityEstimator;
        this.outlierDetector = outlierDetector;
    }

    /** Handles the endpoint's report that the request runs. */
    void onStarted(long nowUs, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint;
        endpoint.classExclusion.onStarted(attempt.request.classStats.index);
        capacityEstimator.onStarted(endpoint);
        double waitedUs = nowUs - attempt.sentAtUs;
        if (attempt.usesNewConnection) {
            stats.onConnectDelay(Math.max(0, waitedUs - endpoint.startWait.recentUs(stats.medianStartWaitUs)));
            waitedUs = Math.max(0, waitedUs - stats.connectDelayUs());
        }
        endpoint.startWait.onStarted(waitedUs);
        stats.lastStartReportAtUs = nowUs;
    }

    void onEnd(long nowUs, Attempt attempt, AttemptOutcome outcome, LoadReport loadReport) {
        Endpoint endpoint = attempt.endpoint;
        capacityEstimator.onReport(nowUs, endpoint, loadReport);
        switch (outcome) {
            case OK -> onSuccess(nowUs, attempt);
            case REJECTED, RETURNED -> {
                capacityEstimator.onRejected(nowUs, endpoint);
                outlierDetector.onRejected(nowUs, endpoint);
            }
            case RESET -> {
                endpoint.connectionCount.onIdleClosed(endpoint.attempts.size());
                outlierDetector.onReset(nowUs, endpoint);
            }
            case CONNECT_FAILED -> {
                endpoint.connectionCount.onIdleClosed(endpoint.attempts.size());
                endpoint.startWait.resetToMin();
                stats.onConnectDelay((double) (nowUs - attempt.sentAtUs));
                outlierDetector.onConnectFailed(nowUs, endpoint);
            }
            case ERROR -> outlierDetector.onError(nowUs, endpoint);
            case ACCEPT_TIMEOUT, STALE_CONNECTION, CANCEL_UNCONFIRMED, SUPPRESSED -> {
                // These outcomes concern the connection and not the endpoint; HealthView evaluates them.
                endpoint.connectionCount.onIdleClosed(endpoint.attempts.size());
                endpoint.startWait.resetToMin();
            }
            case TIMEOUT, CANCELLED, NOT_SENT -> {
                // These outcomes say nothing about the endpoint.
            }
        }
    }

    private void onSuccess(long nowUs, Attempt attempt) {
        Endpoint endpoint = attempt.endpoint;
        RequestClassStats classStats = attempt.request.classStats;
        outlierDetector.onSuccess(endpoint);
        double runTimeUs = nowUs - attempt.runningSinceUs();
        stats.onFinished(runTimeUs);
        classStats.onFinished(runTimeUs, attempt.request.slots);
        double relativeRunTime = runTimeUs / classStats.meanRunTimeUs();
        double relativeTotalTime = (nowUs - attempt.sentAtUs) / classStats.meanRunTimeUs();
        boolean congested = endpoint.latencyStats.onFinished(relativeRunTime, relativeTotalTime);
        endpoint.kindStats.relativeRunTime +=
                KIND_RUN_TIME_SAMPLE_WEIGHT * (relativeRunTime - endpoint.kindStats.relativeRunTime);
        endpoint.concurrencyWindow.onFinished(congested, nowUs, classStats.meanRunTimeUs(), endpoint.attempts.size());
    }
}
