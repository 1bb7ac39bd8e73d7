package olivechute.proxy;

/**
 * Is told on the event loop what becomes of each request: {@link #onReceived} once, then once one of {@link #onServed},
 * {@link #onRejected}, {@link #onFailed}, {@link #onClientGone}. Requests that are open when the process ends have no
 * end here. Unreadable, unauthorized and duplicate messages are not counted. What is counted is the node's decision,
 * not whether the answer arrived. A class is named by its index in the settings.
 */
public interface RequestMetrics {
    /** Counts nothing. */
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

    /** It was served; {@code late}: after its latency objective, see {@link RequestRules#missedObjective}. */
    void onServed(int requestClass, boolean late);

    /** It was rejected, by the load balancer or at a limit of the node. */
    void onRejected(int requestClass);

    /** It failed. */
    void onFailed(int requestClass);

    /** Its client closed or cancelled before it was answered. */
    void onClientDisconnected(int requestClass);

    /** Its first attempt is sent, so many microseconds after it arrived. */
    void onFirstSend(long delayUs);

    /**
     * A rule was broken as far as the node can see, or would have been had it not been stopped: {@link RequestRules}.
     */
    void onRuleViolated();
}
