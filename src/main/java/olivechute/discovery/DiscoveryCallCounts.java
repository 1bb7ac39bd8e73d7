package olivechute.discovery;

import java.util.EnumMap;
import java.util.Map;
import olivechute.discovery.DiscoveryCallException.Reason;

/** How the calls to discovery of this process ended. Counted on the watch's thread, told on any. */
final class DiscoveryCallCounts {
    private final Map<Reason, Integer> failuresByReason = new EnumMap<>(Reason.class);
    private int answered;
    private int consecutiveFailures;

    /** An answer came; returns how many calls in a row had failed before it. */
    synchronized int answered() {
        int failedBefore = consecutiveFailures;
        answered++;
        consecutiveFailures = 0;
        return failedBefore;
    }

    synchronized void recordFailure(Reason reason) {
        failuresByReason.merge(reason, 1, Integer::sum);
        consecutiveFailures++;
    }

    /** All of it in one line. */
    synchronized String describe() {
        return "calls answered " + answered + ", failed " + failuresByReason + ", in a row " + consecutiveFailures;
    }
}
