package olivechute.loadbalancing;

import java.util.SplittableRandom;

/** Starts the watch on the endpoint list anew after it failed, with a random delay that keeps nodes out of step. */
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

    /** A watch that was started from outside may fail while the next one is scheduled already. */
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
