package olivechute.loadbalancing;

import java.util.SplittableRandom;

/**
 * Restarts the watch on the endpoint list after it failed, with a random delay so that nodes do not retry in step.
 * Called by {@link ShareLoadBalancer} on the event loop.
 */
final class ListWatchRetry {
    private static final long FIRST_DELAY_US = 500_000;
    private static final long LATER_DELAY_US = 1_000_000;

    private final ServiceRules rules;
    private final SplittableRandom random;
    private final LoadBalancer.Helper helper;
    private int consecutiveFailures;
    private boolean scheduled;

    ListWatchRetry(ServiceRules rules, SplittableRandom random, LoadBalancer.Helper helper) {
        this.rules = rules;
        this.random = random;
        this.helper = helper;
    }

    /**
     * Schedules the next watch, unless one is scheduled already: a watch that was started for another reason, such as a
     * new address of discovery, may fail before the scheduled one starts.
     */
    void onFailed() {
        consecutiveFailures++;
        if (!scheduled) {
            scheduled = true;
            long delayUs = rules.cappedPollDelayUs(consecutiveFailures > 1 ? LATER_DELAY_US : FIRST_DELAY_US);
            helper.schedule(ShareLoadBalancer.WATCH_TIMER, delayUs / 2 + random.nextLong(delayUs / 2 + 1));
        }
    }

    void onListReceived(ListUpdateKind kind) {
        if (kind != ListUpdateKind.RESTORED) {
            consecutiveFailures = 0;
        }
    }

    void onTimer() {
        scheduled = false;
        helper.watchEndpointList();
    }
}
