package olivechute.loadbalancing;

/**
 * What the node sees on its sockets and the load balancer cannot know. It advises, the load balancer decides. Times are
 * microseconds on the node's clock; called on the event loop.
 */
public interface HealthView {
    /** All endpoints are healthy, all retries allowed, the list is always up to date. */
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

    /** The health of an endpoint; the same object as long as the endpoint is on the list. */
    EndpointHealth endpoint(String name);

    /**
     * Takes a retry from the budget, if there is one and the time that is left suffices.
     *
     * @param last how the attempt before ended
     * @param timeLeftUs microseconds until the client gives up
     */
    boolean allowsRetry(long nowUs, String tenant, int classIndex, AttemptOutcome lastOutcome, long timeLeftUs);

    /**
     * For how long the endpoint list may have lacked endpoints that drain, so that nothing may be sent by it; 0 while
     * it is up to date, {@link Long#MAX_VALUE} if it never was.
     */
    long listStaleForUs(long nowUs);
}
