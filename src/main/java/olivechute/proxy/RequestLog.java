package olivechute.proxy;

import olivechute.loadbalancing.AttemptOutcome;
import olivechute.log.RequestLogFields;
import org.tinylog.Logger;

/**
 * Logs the outcomes of attempts and rejected requests at debug level, until it is disabled. Used by
 * {@link RequestDispatcher} on the event loop.
 */
final class RequestLog {
    private boolean disabled;

    /** Disables the log: the requests that follow are synthetic ones that warm up the code. */
    void disable() {
        disabled = true;
    }

    boolean isDisabled() {
        return disabled;
    }

    void onAttemptEnd(ActiveRequest request, UpstreamRequest attempt, AttemptOutcome outcome, long nowUs) {
        if (!disabled && RequestLogFields.isEnabled()) {
            RequestLogFields.logAttemptEnd(
                    request.id,
                    attempt.endpoint(),
                    attempt.attemptNumber(),
                    outcome.name(),
                    nowUs - request.sentAtUs,
                    request.acceptanceDelayUs());
        }
    }

    void onRejected(ActiveRequest request, long nowUs) {
        if (!disabled && RequestLogFields.isEnabled()) {
            String lastOutcomeName = request.lastOutcome == null ? "none" : request.lastOutcome.name();
            RequestLogFields.logRejected(request.id, request.attemptCount, lastOutcomeName, nowUs - request.openedAtUs);
        }
    }

    /**
     * Logs a request that was rejected before it was opened, as too many requests are open or their bodies are too
     * large in total.
     */
    void onRejectedAtLimit(String id, int openRequests) {
        if (!disabled && RequestLogFields.isEnabled()) {
            Logger.debug("request {} rejected at a limit of this node, {} requests open", id, openRequests);
        }
    }
}
