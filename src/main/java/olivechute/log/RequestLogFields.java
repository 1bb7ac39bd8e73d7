package olivechute.log;

import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Logs events of one request. With the JSON format, their values are also fields of the log line: request, endpoint,
 * attempt, outcome and took_us. {@code loganalysis.LogEntry} parses the text format.
 */
public final class RequestLogFields {
    private RequestLogFields() {}

    /** Returns whether ends of attempts are logged. Checked first, as every attempt ends with such a line. */
    public static boolean isEnabled() {
        return Logger.isDebugEnabled();
    }

    /**
     * Logs the end of an attempt.
     *
     * @param tookUs microseconds from its send
     * @param acceptedUs microseconds from its send to its acceptance, negative if it was not accepted
     */
    public static void logAttemptEnd(
            String request, String endpoint, int attempt, String outcome, long tookUs, long acceptedUs) {
        ThreadContext.put("request", request);
        ThreadContext.put("endpoint", endpoint);
        ThreadContext.put("attempt", String.valueOf(attempt));
        ThreadContext.put("outcome", outcome);
        ThreadContext.put("took_us", String.valueOf(tookUs));
        Logger.debug(
                "request {} attempt {} at {}: {} after {} us, accepted after {} us",
                request,
                attempt,
                endpoint,
                outcome,
                tookUs,
                acceptedUs);
        ThreadContext.clear();
    }

    /**
     * Logs the rejection of a request.
     *
     * @param lastOutcome the outcome of its last attempt, or "none"
     * @param tookUs microseconds since it arrived
     */
    public static void logRejected(String request, int attempts, String lastOutcome, long tookUs) {
        ThreadContext.put("request", request);
        Logger.debug("request {} rejected after {} us, {} attempts, last {}", request, tookUs, attempts, lastOutcome);
        ThreadContext.clear();
    }

    /** Logs a request whose deadline passed without an answer. */
    public static void logUnanswered(String request) {
        ThreadContext.put("request", request);
        Logger.warn("request {} reached its deadline unanswered", request);
        ThreadContext.clear();
    }

    /**
     * Logs that this node closed a client's connection with a request on it that was accepted and not answered.
     *
     * @param ageUs microseconds since the connection was accepted
     */
    public static void logClosedUnderRequest(String request, String reason, long ageUs) {
        ThreadContext.put("request", request);
        Logger.warn("request {} lost: its connection was closed, {}, {} us old", request, reason, ageUs);
        ThreadContext.clear();
    }
}
