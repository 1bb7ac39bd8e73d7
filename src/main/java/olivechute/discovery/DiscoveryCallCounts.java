package olivechute.discovery;

import java.util.EnumMap;
import java.util.Map;
import olivechute.discovery.DiscoveryCallException.Reason;

/**
 * Counts how the calls of this process to discovery ended. Updated on the watch's thread; may be read on any thread.
 */
final class DiscoveryCallCounts {
    private final Map<Reason, Integer> failuresByReason = new EnumMap<>(Reason.class);
    private int answeredCalls;
    private int consecutiveFailures;

    /** Counts an answered call; returns how many calls in a row had failed before it. */
    synchronized int recordAnswer() {
        int failedBefore = consecutiveFailures;
        answeredCalls++;
        consecutiveFailures = 0;
        return failedBefore;
    }

    synchronized void recordFailure(Reason reason) {
        failuresByReason.merge(reason, 1, Integer::sum);
        consecutiveFailures++;
    }

    /** Returns all counts in one line for the log. */
    synchronized String describe() {
        return "calls answered " + answeredCalls + ", failed " + failuresByReason + ", consecutive failures "
                + consecutiveFailures;
    }
}
