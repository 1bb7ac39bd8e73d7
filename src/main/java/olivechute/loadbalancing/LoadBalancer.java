package olivechute.loadbalancing;

import java.util.List;

/**
 * Decides which request goes to which endpoint and when, what is retried and what is rejected. It does no I/O and has
 * no clock: the node passes events in order, with a time in microseconds that never falls, and carries out what the
 * {@link Helper} is asked for. All calls come on the event loop.
 */
public interface LoadBalancer {
    /** Comes once, before all other events. */
    void start(long nowUs);

    /** The endpoint list changed, or a call for it failed. */
    void onListUpdate(long nowUs, ListUpdateKind updateKind, List<EndpointInfo> endpoints);

    /** A request arrived. Exactly one final answer is owed until the client gives up. */
    void onRequest(long nowUs, Request request);

    /**
     * An attempt ended.
     *
     * @param tookUs microseconds since it was sent
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

    /** An endpoint reported on an attempt in flight; {@code progress} is the part that is done, from 0 to 1. */
    void onAttemptSignal(long nowUs, String id, int attemptIndex, AttemptSignal signal, double progress);

    /** The answer to a probe, or its failure. */
    void onProbeResult(long nowUs, String endpoint, boolean succeeded, long durationUs, LoadReport loadReport);

    /** The client closed or cancelled: no answer is owed any more. */
    void onClientDisconnected(long nowUs, String id);

    /** A timer that {@link Helper#schedule} started is due. */
    void onTimer(long nowUs, long timerId);

    /** The Retry-After in microseconds for a request that the node itself rejects now. */
    long retryAfterUs(long nowUs);

    /** What a load balancer asks of its node. */
    interface Helper {
        /** Starts the next attempt at a request; a {@code timeoutUs} of 0 lasts until the client gives up. */
        void send(String id, String endpoint, long timeoutUs);

        /** Final answer: rejected, a retry by the client is harmless. A {@code retryAfterUs} of 0 gives no advice. */
        void reject(String id, long retryAfterUs);

        /** Final answer: failed; whether the request took effect is not known. */
        void fail(String id);

        /** Stops waiting for an attempt. */
        void cancel(String id, int attemptIndex);

        /** Probes an endpoint for its load. */
        void probe(String endpoint);

        /** Closes the idle connections to an endpoint. */
        void closeIdleConnections(String endpoint);

        /** Subscribes to the endpoint list. */
        void watchEndpointList();

        /** Calls {@link LoadBalancer#onTimer} with this id after so many microseconds. */
        void schedule(long timerId, long delayUs);
    }
}
