package olivechute.loadbalancing;

/** Health of one endpoint as observed on its sockets; read on the event loop when an endpoint is selected. */
public interface EndpointHealth {
    /** Accepts every request and has no concurrency limit. */
    EndpointHealth HEALTHY = new EndpointHealth() {
        @Override
        public boolean admits(long nowUs, int classIndex) {
            return true;
        }

        @Override
        public int concurrencyLimit() {
            return Integer.MAX_VALUE;
        }
    };

    /** Returns false while the endpoint is ejected, either for all requests or for the class with this index. */
    boolean admits(long nowUs, int classIndex);

    /** Returns the maximum number of attempts that should be in flight to the endpoint at once. */
    int concurrencyLimit();
}
