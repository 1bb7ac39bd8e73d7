package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ejects an endpoint by the outcomes of its attempts: after a failure, for a time that doubles with each further one;
 * for an error rate far above that of the other endpoints; and while requests run far slower there than at the other
 * endpoints and than typical for this one. Comparisons use the median: if most endpoints are slow or fail alike, the
 * fault is not theirs, and ejecting them would leave none. Guards against endpoints that are down, unreachable, at
 * their connection limit, reject everything or report slots that they do not have. Called on the event loop.
 *
 * <p>Independent of the ejections in {@code olivechute.health}, which are based on connections: an endpoint gets
 * requests only if neither of the two ejects it.
 */
final class OutlierDetector {
    private static final long MAX_EJECTION_US = 4_000_000;
    private static final int MAX_DOUBLINGS = 6;
    /**
     * Duration of the first ejection after a failed connect, or after a rejection where there are no load reports. The
     * first ejection for errors is already doubled three times, because the earlier errors count as failures.
     */
    private static final long FAILURE_EJECTION_US = 250_000;
    /** Duration of the first ejection where the failure may concern only one request or one connection. */
    private static final long BRIEF_EJECTION_US = 20_000;

    private static final double ERROR_SAMPLE_WEIGHT = 0.1;
    /**
     * An endpoint is ejected if its error rate, as a fraction of its responses, exceeds the median by more than this.
     */
    private static final double ERROR_RATE_MARGIN = 0.3;
    /** Failure count of an endpoint before errors eject it. */
    private static final int TOLERATED_FAILURES = 2;

    /** An endpoint is slow if its running time exceeds that of its peers by this factor. */
    private static final double SLOW_MULTIPLE = 2.5;
    /** It must also be slow compared with its own long-term running time divided by this. */
    private static final double LONG_TERM_DIVISOR = 1.5;
    /** A request that still runs counts with its age divided by this. */
    private static final double RUNNING_AGE_DIVISOR = 1.5;

    /**
     * Per update, running times and error rates keep this fraction of their distance to the median, halving it in 4 s.
     */
    private static final double RETAINED_PER_UPDATE = Math.pow(0.5, InFlightHistory.STEP_US / 4e6);
    /** Per update, waits for a start keep this fraction of their distance to the minimum, halving it in 2 s. */
    private static final double START_WAIT_RETAINED_PER_UPDATE = Math.pow(0.5, InFlightHistory.STEP_US / 2e6);

    /** A start that has been pending for longer than this says nothing about the typical wait. */
    private static final long MAX_COUNTED_START_WAIT_US = 4_000_000;

    private final LoadBalancerSettings settings;
    private final EndpointStats stats;
    private final SplittableRandom random;

    OutlierDetector(LoadBalancerSettings settings, EndpointStats stats, SplittableRandom random) {
        this.settings = settings;
        this.stats = stats;
        this.random = random;
    }

    /** Handles a success, which halves the endpoint's failure count. */
    void onSuccess(Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        state.failureCount /= 2;
        state.connectionReset = false;
        state.errorRate = Smoothing.smooth(state.errorRate, 0, ERROR_SAMPLE_WEIGHT);
    }

    void onError(long nowUs, Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        state.errorRate = Smoothing.smooth(state.errorRate, 1, ERROR_SAMPLE_WEIGHT);
        boolean outlier = state.errorRate > stats.medianErrorRate + ERROR_RATE_MARGIN;
        if (outlier && state.failureCount++ >= TOLERATED_FAILURES) {
            eject(nowUs, endpoint, FAILURE_EJECTION_US);
        }
    }

    void onRejected(long nowUs, Endpoint endpoint) {
        boolean reportsLoad = settings.loadReporting() != LoadReporting.NONE;
        eject(nowUs, endpoint, reportsLoad ? BRIEF_EJECTION_US : FAILURE_EJECTION_US);
    }

    /**
     * Ejects the endpoint briefly after one reset, which may concern only that connection, and for longer after two in
     * a row.
     */
    void onReset(long nowUs, Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        long ejectionUs = state.connectionReset ? FAILURE_EJECTION_US : BRIEF_EJECTION_US;
        state.connectionReset = true;
        eject(nowUs, endpoint, ejectionUs);
    }

    /**
     * Handles a failed connect. After a reset it shows that the endpoint's process ended; a new one is assumed to start
     * when the ejection ends.
     */
    void onConnectFailed(long nowUs, Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        eject(nowUs, endpoint, FAILURE_EJECTION_US);
        if (state.connectionReset) {
            state.assumedStartUs = state.ejectedUntilUs;
        }
    }

    /**
     * Ejects the endpoint for a time that doubles with each failure. The duration is drawn at random from the second
     * half of that time, so that nodes do not return to the endpoint in step.
     */
    private void eject(long nowUs, Endpoint endpoint, long firstEjectionUs) {
        OutlierState state = endpoint.outlierState;
        endpoint.concurrencyWindow.decrease();
        long backoffUs = Math.min(MAX_EJECTION_US, firstEjectionUs << Math.min(MAX_DOUBLINGS, state.failureCount++));
        state.ejectedUntilUs = nowUs + backoffUs / 2 + random.nextLong(backoffUs / 2 + 1);
    }

    /** Called every {@link InFlightHistory#STEP_US}. */
    void update(long nowUs, Collection<Endpoint> endpoints) {
        updateMedians(endpoints);
        int activeCount = 0;
        int slowCount = 0;
        for (Endpoint endpoint : endpoints) {
            double relativeRunTime = examineAttempts(nowUs, endpoint);
            endpoint.outlierState.slow = endpoint.active() && relativeRunTime > slowThreshold(endpoint);
            activeCount += endpoint.active() ? 1 : 0;
            slowCount += endpoint.outlierState.slow ? 1 : 0;
        }
        if (slowCount * 2 > activeCount) {
            endpoints.forEach(e -> e.outlierState.slow = false);
        }
    }

    private void updateMedians(Collection<Endpoint> endpoints) {
        List<Double> runTimes = new ArrayList<>();
        List<Double> startWaits = new ArrayList<>();
        List<Double> errorRates = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.active()) {
                OutlierState state = endpoint.outlierState;
                state.errorRate = Smoothing.decayAndCollect(
                        state.errorRate, stats.medianErrorRate, RETAINED_PER_UPDATE, errorRates);
                endpoint.startWait.decay(START_WAIT_RETAINED_PER_UPDATE, startWaits);
                endpoint.latencyStats.decay(stats.medianRelativeRunTime, RETAINED_PER_UPDATE, runTimes);
            }
        }
        stats.medianStartWaitUs = Smoothing.median(startWaits, 0);
        stats.medianErrorRate = Smoothing.median(errorRates, 0);
        stats.medianRelativeRunTime = Smoothing.median(runTimes, 1);
    }

    private double slowThreshold(Endpoint endpoint) {
        double ownBaseline = endpoint.latencyStats.hasLongTermRunTime()
                ? endpoint.latencyStats.longTermRelativeRunTime() / LONG_TERM_DIVISOR
                : 0;
        return SLOW_MULTIPLE * Math.max(stats.medianRelativeRunTime, ownBaseline);
    }

    /**
     * Returns the endpoint's recent running time, including the age of requests that still run, and records overdue
     * starts.
     */
    private double examineAttempts(long nowUs, Endpoint endpoint) {
        double relativeRunTime = endpoint.latencyStats.recentRelativeRunTime(stats.medianRelativeRunTime);
        for (Attempt attempt : endpoint.attempts) {
            double ageUs = nowUs - attempt.runningSinceUs();
            if (attempt.started() || !settings.notifiesStart()) {
                double relativeAge = ageUs / attempt.request.classStats.meanRunTimeUs();
                relativeRunTime = Math.max(relativeRunTime, relativeAge / RUNNING_AGE_DIVISOR);
            } else {
                examinePendingStart(nowUs, endpoint, attempt, ageUs);
            }
        }
        return relativeRunTime;
    }

    private void examinePendingStart(long nowUs, Endpoint endpoint, Attempt attempt, double waitedUs) {
        int classIndex = attempt.request.classStats.index;
        if (!attempt.startOverdue && waitedUs > attempt.startTimeoutUs()) {
            attempt.startOverdue = true;
            endpoint.classExclusion.onStartOverdue(nowUs, classIndex);
        }
        boolean startReportsMissing =
                settings.loadReporting() != LoadReporting.NONE && endpoint.classExclusion.lastStartOverdue(classIndex);
        if (waitedUs < MAX_COUNTED_START_WAIT_US && !startReportsMissing && !attempt.startOverdue) {
            endpoint.startWait.onStillWaiting(waitedUs);
        }
    }
}
