package olivechute.proxy;

/**
 * Sends attempts over the connections to the endpoints. Called on the event loop only; no method blocks, and the
 * progress of attempts is posted as events.
 */
public interface UpstreamTransport {
    /** The endpoint list changed. */
    void onListUpdate(EndpointListUpdate update);

    /**
     * Returns false while no new request may be sent to an endpoint according to the latest list: it is draining, or it
     * is removed and the rules do not keep unlisted endpoints in use.
     */
    boolean acceptsRequests(String endpoint);

    /**
     * Starts an attempt. It ends with one {@link ProxyEvent.AttemptEnded}, or with a
     * {@link ProxyEvent.JobStatusReceived} that ends it. It is suppressed if, immediately before its first byte, its
     * {@link PreSendCheck} forbids it or its endpoint accepts no new requests.
     */
    void send(UpstreamRequest attempt);

    /** Returns false as long as nothing of an attempt in flight was written. */
    boolean hasWrittenBytes(UpstreamRequest attempt);

    /** Suppresses an attempt if nothing of it was written yet; it then ends as SUPPRESSED. Otherwise does nothing. */
    void suppressIfUnwritten(UpstreamRequest attempt);

    /**
     * Cancels an attempt without reporting its end. Its connection is closed unless the attempt was accepted, and its
     * endpoint is asked to cancel it, because its acceptance may still be in transit.
     *
     * @return whether nothing of the attempt was written, so that it never ran
     */
    boolean cancelWithoutReport(UpstreamRequest attempt, boolean accepted);

    /**
     * Returns for how long a handshake may delay an attempt on its way to the endpoint, in microseconds; 0 unless the
     * attempt is the first on its connection and was written.
     */
    long handshakeAllowanceUs(UpstreamRequest attempt);

    /**
     * Cancels an attempt at its endpoint. It ends as CONNECT_FAILED if nothing was written, as ACCEPT_TIMEOUT once the
     * endpoint has confirmed the cancellation, and as CANCEL_UNCONFIRMED if the endpoint does not confirm it. An answer
     * that is already in transit still counts.
     */
    void cancelAndReportEnd(UpstreamRequest attempt, boolean accepted);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);
}
