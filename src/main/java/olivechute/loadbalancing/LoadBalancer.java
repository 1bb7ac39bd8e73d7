package olivechute.loadbalancing;

import java.util.List;

/**
 * Decides which request is sent to which endpoint and when, what is retried and what is rejected. An implementation
 * does no I/O and has no clock. The node passes it events in order, with a time in microseconds that never decreases,
 * and executes its calls to the {@link Helper}. All calls are made on the event loop.
 */
public interface LoadBalancer {
    /** Called once, before all other events. */
    void start(long nowUs);

    /** Handles a change of the endpoint list or a failed call for it. */
    void onListUpdate(long nowUs, ListUpdateKind updateKind, List<EndpointInfo> endpoints);

    /** Handles the arrival of a request, which must get exactly one final answer before its client gives up. */
    void onRequest(long nowUs, Request request);

    /**
     * Handles the end of an attempt.
     *
     * @param durationUs microseconds since the attempt was sent
     * @param complete whether the request needs no further answer
     */
    void onAttemptEnd(
            long nowUs,
            String id,
            int attemptIndex,
            AttemptOutcome outcome,
            long durationUs,
            boolean complete,
            LoadReport loadReport);

    /**
     * Handles an endpoint's report on an attempt in flight; {@code progress} is the completed fraction, from 0 to 1.
     */
    void onAttemptSignal(long nowUs, String id, int attemptIndex, AttemptSignal signal, double progress);

    /** Handles the response to a probe, or the probe's failure. */
    void onProbeResult(long nowUs, String endpoint, boolean succeeded, long durationUs, LoadReport loadReport);

    /** Handles a client that disconnected or cancelled its request, which no longer needs an answer. */
    void onClientDisconnected(long nowUs, String id);

    /** Handles the expiry of a timer that {@link Helper#schedule} started. */
    void onTimer(long nowUs, long timerId);

    /** Returns the Retry-After, in microseconds, for a request that the node itself rejects now. */
    long retryAfterUs(long nowUs);

    /** Actions that a load balancer requests from its node. */
    interface Helper {
        /** Sends the next attempt of a request; with a {@code timeoutUs} of 0 it may last until the client gives up. */
        void send(String id, String endpoint, long timeoutUs);

        /**
         * Final answer: rejects a request that its client may safely retry. A {@code retryAfterUs} of 0 sends no
         * Retry-After.
         */
        void reject(String id, long retryAfterUs);

        /** Final answer: fails a request of which it is unknown whether it took effect. */
        void fail(String id);

        /** Cancels an attempt in flight. */
        void cancel(String id, int attemptIndex);

        /** Probes an endpoint for its load. */
        void probe(String endpoint);

        /** Closes the idle connections to an endpoint. */
        void closeIdleConnections(String endpoint);

        /** Subscribes to the endpoint list. */
        void watchEndpointList();

        /** Schedules a call of {@link LoadBalancer#onTimer} with this id after a delay in microseconds. */
        void schedule(long timerId, long delayUs);
    }
}
