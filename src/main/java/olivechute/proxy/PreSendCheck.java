package olivechute.proxy;

/**
 * Checks directly before an attempt's first byte that it may still be sent: since the decision the client may have
 * gone, the request may have been answered, or its deduplication window may have ended.
 */
public interface PreSendCheck {
    /**
     * Whether the attempt may still begin. On any thread; does not wait. Its last byte is taken to arrive within
     * {@code transitUs} and the settings' answer slack: a retry that would arrive after its class's deduplication
     * window is held back.
     *
     * @param transitUs the connect timeout where the endpoint may still do its handshake, otherwise 0
     */
    boolean maySendFirstByte(UpstreamRequest attempt, long nowUs, long transitTimeUs);
}
