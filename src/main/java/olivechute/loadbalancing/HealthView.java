package olivechute.loadbalancing;

/**
 * What the node observes on its sockets and the load balancer cannot derive from its events. Implementations only
 * advise; the load balancer makes the decisions. Times are microseconds on the node's clock. Called on the event loop.
 */
public interface HealthView {
    /** All endpoints are healthy, all retries are allowed, and the list is always up to date. */
    HealthView NONE = new HealthView() {
        @Override
        public EndpointHealth endpoint(String name) {
            return EndpointHealth.HEALTHY;
        }

        @Override
        public boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome last, long timeLeftUs) {
            return true;
        }

        @Override
        public long listStaleForUs(long nowUs) {
            return 0;
        }
    };

    /** Returns the health of an endpoint; the same object for as long as the endpoint is listed. */
    EndpointHealth endpoint(String name);

    /**
     * Returns whether the retry budget and the remaining time allow a retry, and takes it from the budget if they do.
     *
     * @param lastOutcome outcome of the previous attempt
     * @param timeLeftUs microseconds until the client gives up
     */
    boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome lastOutcome, long timeLeftUs);

    /**
     * Returns for how long the endpoint list has been out of date: it may then lack drains, and nothing may be sent by
     * it. Returns 0 while the list is up to date and {@link Long#MAX_VALUE} if it never was.
     */
    long listStaleForUs(long nowUs);
}
