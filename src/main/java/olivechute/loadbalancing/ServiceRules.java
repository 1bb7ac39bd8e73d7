package olivechute.loadbalancing;

/**
 * The figures behind the operators' rules. All times are microseconds.
 *
 * @param answerSlackUs how long after the client's deadline an answer still counts
 * @param listPollIntervalUs the longest time without a call for the endpoint list; 0 for no bound
 * @param drainGraceUs how long after a drain was notified requests may still be sent there
 * @param slowStartCapacity part of its capacity that an endpoint has when it starts, from 0 to 1
 * @param slowStartDurationUs how long it takes to reach its whole capacity
 * @param overloadMultiple multiple of its present capacity at which a starting endpoint falls over
 * @param overloadWindowUs the time over which that overload is counted
 * @param onlyDrainingBinds whether an endpoint may still be sent to that left the list without having drained
 */
public record ServiceRules(
        long answerSlackUs,
        long listPollIntervalUs,
        long drainGraceUs,
        double slowStartCapacity,
        long slowStartDurationUs,
        double overloadMultiple,
        long overloadWindowUs,
        boolean keepsUnlistedEndpoints) {
    /** Calls for the list that follow each other more closely would poll without end. */
    private static final long MIN_POLL_DELAY_US = 50_000;

    /** The given delay in microseconds, or less of it where the list has to be polled sooner. */
    public long cappedPollDelayUs(long delayUs) {
        return listPollIntervalUs > 0 ? Math.min(delayUs, Math.max(MIN_POLL_DELAY_US, listPollIntervalUs)) : delayUs;
    }
}
