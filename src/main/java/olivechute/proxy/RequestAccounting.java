package olivechute.proxy;

import olivechute.loadbalancing.LoadBalancerSettings;

/**
 * Reports the outcome of each request to {@link RequestMetrics}, and violations of {@link RequestRules} as far as this
 * node can detect them. Used by {@link RequestDispatcher} on the event loop.
 */
final class RequestAccounting {
    private final EventLoop loop;
    private final LoadBalancerSettings settings;
    private final RequestMetrics metrics;
    private final boolean metricsEnabled;

    RequestAccounting(EventLoop loop, LoadBalancerSettings settings, RequestMetrics metrics) {
        this.loop = loop;
        this.settings = settings;
        this.metrics = metrics;
        this.metricsEnabled = metrics != RequestMetrics.NONE;
    }

    void onReceived(int classIndex) {
        metrics.onReceived(classIndex);
    }

    /** Counts a request that was rejected at a limit of the node before it was opened. */
    void onRejectedAtLimit(int classIndex) {
        metrics.onRejected(classIndex);
    }

    void onRejected(ActiveRequest request) {
        metrics.onRejected(request.classIndex);
        if (metricsEnabled && !RequestRules.mayReject(request.requestClass, request.possiblyExecutedSinceUs)) {
            metrics.onRuleViolated();
        }
    }

    void onFailed(ActiveRequest request) {
        metrics.onFailed(request.classIndex);
    }

    void onClientDisconnected(ActiveRequest request) {
        metrics.onClientDisconnected(request.classIndex);
    }

    void onServed(ActiveRequest request) {
        if (metricsEnabled) {
            boolean late = RequestRules.missesLatencyObjective(
                    settings, request.requestClass, request.arrival, request.startedAtUs, loop.now());
            metrics.onServed(request.classIndex, late);
            onAnswer(request);
        }
    }

    /** Counts a violation if the answer, whatever it is, is sent too late. */
    void onAnswer(ActiveRequest request) {
        if (metricsEnabled && !RequestRules.answeredInTime(settings, request.arrival, loop.now())) {
            metrics.onRuleViolated();
        }
    }

    /**
     * Counts a violation if the load balancer requests an attempt that the rules forbid.
     *
     * @param allowed whether the dispatcher's own checks allow the attempt
     * @param sendable whether the attempt is going to be sent
     */
    void onAttemptRequested(ActiveRequest request, boolean allowed, boolean sendable, long nowUs) {
        boolean outsideRetryWindow = metricsEnabled
                && sendable
                && !RequestRules.mayRetry(request.requestClass, request.possiblyExecutedSinceUs, nowUs);
        if (!allowed || outsideRetryWindow) {
            metrics.onRuleViolated();
        }
    }

    void onFirstSend(ActiveRequest request, long nowUs) {
        metrics.onFirstSend(nowUs - request.arrival.receivedAtUs());
    }
}
