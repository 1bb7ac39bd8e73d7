package olivechute.loadbalancing;

/**
 * Advice from the sockets that the load balancer cannot derive itself; the load balancer makes the decision. Times are
 * microseconds on the node's clock. Called on the event loop.
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
     * Takes a retry from the budget if the budget and the remaining time suffice.
     *
     * @param lastOutcome outcome of the previous attempt
     * @param timeLeftUs microseconds until the client gives up
     */
    boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome lastOutcome, long timeLeftUs);

    /**
     * Returns for how long the endpoint list may have failed to show draining endpoints, so that nothing may be sent by
     * it; 0 while it is up to date, {@link Long#MAX_VALUE} if it never was.
     */
    long listStaleForUs(long nowUs);
}
