package olivechute.proxy;

/**
 * Checks immediately before the first byte of an attempt is written that it may still be sent. Since the decision to
 * send it, the client may have disconnected, the request may have been answered, or its deduplication window may have
 * ended. Called by the upstream transport on any thread.
 */
public interface PreSendCheck {
    /**
     * Returns whether the attempt may still be sent; does not block. Its last byte is assumed to arrive within
     * {@code transitTimeUs} plus the configured answer slack; a retry that would arrive after the deduplication window
     * of its request class is not sent.
     *
     * @param transitTimeUs the connect timeout in microseconds if the endpoint may still have to complete its
     *     handshake, otherwise 0
     */
    boolean maySendFirstByte(UpstreamRequest attempt, long nowUs, long transitTimeUs);
}
