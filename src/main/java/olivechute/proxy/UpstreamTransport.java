package olivechute.proxy;

/**
 * The connections to the endpoints. Called on the event loop only; no call blocks, and what becomes of attempts comes
 * as events.
 */
public interface UpstreamTransport {
    /** The endpoint list changed. */
    void onListUpdate(EndpointListUpdate update);

    /**
     * False while nothing new may be sent to an endpoint, by the newest list: it drains, or is removed where that
     * binds.
     */
    boolean acceptsRequests(String endpoint);

    /**
     * Starts an attempt, which ends with one {@link ProxyEvent.AttemptEnded} or with a
     * {@link ProxyEvent.JobStatusReceived} that ends it. It is suppressed if directly before its first byte its
     * {@link PreSendCheck} forbids it or its endpoint accepts nothing new.
     */
    void send(UpstreamRequest attempt);

    /** False as long as nothing of an attempt in flight was written. */
    boolean hasWrittenBytes(UpstreamRequest attempt);

    /** Suppresses an attempt if nothing of it was written yet: it then ends so. Does nothing otherwise. */
    void suppressIfUnwritten(UpstreamRequest attempt);

    /**
     * Cancels an attempt of which no end is reported any more: its connection is closed unless it was accepted, and its
     * endpoint is told to cancel it, as its acceptance may be on the way.
     *
     * @return whether nothing of it was written, so that it never ran
     */
    boolean cancelWithoutReport(UpstreamRequest attempt, boolean accepted);

    /**
     * How long a handshake may keep an attempt from its endpoint, in microseconds; 0 unless it is the first on its
     * connection and was written.
     */
    long handshakeAllowanceUs(UpstreamRequest attempt);

    /**
     * Cancels an attempt at its endpoint. It ends as CONNECT_FAILED if nothing was written, as ACCEPT_TIMEOUT once the
     * endpoint has confirmed the cancellation, as CANCEL_UNCONFIRMED if it does not. If its answer is already on the
     * way, that counts.
     */
    void cancelAndReportEnd(UpstreamRequest attempt, boolean accepted);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);
}
