package olivechute.proxy;

import olivechute.loadbalancing.LoadBalancerSettings;

/**
 * Counts what becomes of each request, and the rules that were broken as far as the node can see. On the event loop.
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

    /** Rejected at a limit of the node, before it was opened. */
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

    /** Whatever the answer is, it must come in time. */
    void onAnswer(ActiveRequest request) {
        if (metricsEnabled && !RequestRules.answeredInTime(settings, request.arrival, loop.now())) {
            metrics.onRuleViolated();
        }
    }

    /**
     * The load balancer wants another attempt.
     *
     * @param allowed whether the dispatcher's own checks allow it
     * @param sendable whether it is to be sent at all
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
