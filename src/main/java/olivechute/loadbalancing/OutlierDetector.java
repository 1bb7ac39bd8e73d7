package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ejects endpoints by the outcomes of their attempts: after failures, for a backoff that doubles with each; for a rate
 * of errors far over its peers'; and while requests run far slower than at its peers and than is usual there. Where
 * most endpoints are slow or fail alike, the fault is not theirs and none would be left, so the median is what counts.
 * Guards against endpoints that are dead, cut off, at their connection limit, reject everything or report slots that
 * they do not have.
 *
 * <p>Independent of the ejections in {@code olivechute.health}, which go by connections: an endpoint gets requests only
 * if neither ejects it.
 */
final class OutlierDetector {
    private static final long MAX_EJECTION_US = 4_000_000;
    private static final int MAX_DOUBLINGS = 6;
    /**
     * First ejection after a failed connect, or a rejection without load reports; one for errors starts three doublings
     * later, as the errors count as failures before it.
     */
    private static final long FAILURE_EJECTION_US = 250_000;
    /** First ejection where the failure may be one request's or one connection's. */
    private static final long BRIEF_EJECTION_US = 20_000;

    private static final double ERROR_SAMPLE_WEIGHT = 0.1;
    /** Errors over the median rate at which an endpoint is ejected, as a part of its responses. */
    private static final double ERROR_RATE_MARGIN = 0.3;
    /** Failures held against it before errors eject it. */
    private static final int TOLERATED_FAILURES = 2;

    /** An endpoint is slow at this multiple of its peers' running time. */
    private static final double SLOW_MULTIPLE = 2.5;
    /** And only if also slow against its own long-term running time, reduced by this factor. */
    private static final double LONG_TERM_DIVISOR = 1.5;
    /** A request still running counts with its age over this factor. */
    private static final double RUNNING_AGE_DIVISOR = 1.5;

    /** Running times and error rates halve their distance to the median in 4 s. */
    private static final double RETAINED_PER_UPDATE = Math.pow(0.5, InFlightHistory.STEP_US / 4e6);
    /** Waits for a start halve their distance to the least one in 2 s. */
    private static final double START_WAIT_RETAINED_PER_UPDATE = Math.pow(0.5, InFlightHistory.STEP_US / 2e6);

    /** A start that is awaited for longer says nothing of the usual wait. */
    private static final long MAX_COUNTED_START_WAIT_US = 4_000_000;

    private final LoadBalancerSettings settings;
    private final EndpointStats stats;
    private final SplittableRandom random;

    OutlierDetector(LoadBalancerSettings settings, EndpointStats stats, SplittableRandom random) {
        this.settings = settings;
        this.stats = stats;
        this.random = random;
    }

    /** A request succeeded: each success halves the failures held against the endpoint. */
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

    /** One reset may be the connection's alone; two in a row are not. */
    void onReset(long nowUs, Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        long ejectionUs = state.connectionReset ? FAILURE_EJECTION_US : BRIEF_EJECTION_US;
        state.connectionReset = true;
        eject(nowUs, endpoint, ejectionUs);
    }

    /** After a reset this shows that the process ended: it is taken to start anew when the ejection ends. */
    void onConnectFailed(long nowUs, Endpoint endpoint) {
        OutlierState state = endpoint.outlierState;
        eject(nowUs, endpoint, FAILURE_EJECTION_US);
        if (state.connectionReset) {
            state.assumedStartUs = state.ejectedUntilUs;
        }
    }

    /** Doubles the ejection with each failure, and draws from its second half so that nodes return out of step. */
    private void eject(long nowUs, Endpoint endpoint, long firstEjectionUs) {
        OutlierState state = endpoint.outlierState;
        endpoint.concurrencyWindow.decrease();
        long backoffUs = Math.min(MAX_EJECTION_US, firstEjectionUs << Math.min(MAX_DOUBLINGS, state.failureCount++));
        state.ejectedUntilUs = nowUs + backoffUs / 2 + random.nextLong(backoffUs / 2 + 1);
    }

    /** Called at each step of {@link InFlightHistory#STEP_US}. */
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

    /** The endpoint's recent running time, with the age of what still runs; starts that are overdue are noted. */
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

    private void examinePendingStart(long nowUs, Endpoint endpoint, Attempt attempt, double ageUs) {
        int classIndex = attempt.request.classStats.index;
        if (!attempt.startOverdue && ageUs > attempt.startTimeoutUs()) {
            attempt.startOverdue = true;
            endpoint.classExclusion.onStartOverdue(nowUs, classIndex);
        }
        boolean startReportsMissing =
                settings.loadReporting() != LoadReporting.NONE && endpoint.classExclusion.lastStartOverdue(classIndex);
        if (ageUs < MAX_COUNTED_START_WAIT_US && !startReportsMissing && !attempt.startOverdue) {
            endpoint.startWait.onStillWaiting(ageUs);
        }
    }
}
