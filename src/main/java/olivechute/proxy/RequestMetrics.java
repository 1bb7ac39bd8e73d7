package olivechute.proxy;

/**
 * Receives the outcome of each request, on the event loop: {@link #onReceived} once, then exactly one of
 * {@link #onServed}, {@link #onRejected}, {@link #onFailed} and {@link #onClientDisconnected}. Requests that are open
 * when the process ends have no outcome here. Malformed, unauthorized and duplicate requests are not counted. The
 * node's decision is counted, whether or not the answer reached the client. Request classes are given by their index in
 * the settings.
 */
public interface RequestMetrics {
    /** Discards everything. */
    RequestMetrics NONE = new RequestMetrics() {
        @Override
        public void onReceived(int requestClass) {
            // not counted
        }

        @Override
        public void onServed(int requestClass, boolean late) {
            // not counted
        }

        @Override
        public void onRejected(int requestClass) {
            // not counted
        }

        @Override
        public void onFailed(int requestClass) {
            // not counted
        }

        @Override
        public void onClientDisconnected(int requestClass) {
            // not counted
        }

        @Override
        public void onFirstSend(long delayUs) {
            // not counted
        }

        @Override
        public void onRuleViolated() {
            // not counted
        }
    };

    /** A request arrived. */
    void onReceived(int requestClass);

    /**
     * The request was served; {@code late} says that it missed its latency objective, see
     * {@link RequestRules#missesLatencyObjective}.
     */
    void onServed(int requestClass, boolean late);

    /** The request was rejected, by the load balancer or at a limit of the node. */
    void onRejected(int requestClass);

    /** The request failed. */
    void onFailed(int requestClass);

    /** The client closed its connection or cancelled before the request was answered. */
    void onClientDisconnected(int requestClass);

    /** The first attempt was sent, {@code delayUs} microseconds after the request arrived. */
    void onFirstSend(long delayUs);

    /**
     * A rule of {@link RequestRules} was violated as far as this node can detect it, or would have been if the node had
     * not prevented it.
     */
    void onRuleViolated();
}
