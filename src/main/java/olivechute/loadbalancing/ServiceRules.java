package olivechute.loadbalancing;

/**
 * Parameters of the service rules. All times are microseconds.
 *
 * @param answerSlackUs how long after the client's deadline an answer still counts
 * @param listPollIntervalUs maximum time between two calls for the endpoint list; 0 for no limit
 * @param drainGraceUs how long after the notification of a drain requests may still be sent to the endpoint
 * @param slowStartCapacity fraction of its capacity that an endpoint has when it starts, from 0 to 1
 * @param slowStartDurationUs how long it takes to reach its full capacity
 * @param overloadMultiple multiple of its current capacity at which a starting endpoint fails from overload
 * @param overloadWindowUs time window over which that overload is counted
 * @param keepsUnlistedEndpoints whether requests may still be sent to an endpoint that left the list without draining
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
    /** Lower limit of the delay between calls for the list; a shorter one would poll continuously. */
    private static final long MIN_POLL_DELAY_US = 50_000;

    /** Returns the given delay in microseconds, or a shorter one if the list has to be polled sooner. */
    public long cappedPollDelayUs(long delayUs) {
        return listPollIntervalUs > 0 ? Math.min(delayUs, Math.max(MIN_POLL_DELAY_US, listPollIntervalUs)) : delayUs;
    }
}
