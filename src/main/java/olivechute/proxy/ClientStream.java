package olivechute.proxy;

/**
 * The client side of one request, through which the event loop answers it. Exactly one of the four answers is sent,
 * once; no method may block.
 */
public interface ClientStream {
    /** Sends the result that an endpoint returned. */
    void sendResult(byte[] result);

    /**
     * Sends a rejection: the request had no effect. A {@code retryAfterUs} of 0 sends no Retry-After advice; otherwise
     * it is in microseconds.
     */
    void sendRejection(long retryAfterUs);

    /** Sends a failure: the request may have taken effect. */
    void sendFailure();

    /** Sends the error for a request whose id another open or recently ended request has. */
    void sendDuplicateId();

    /**
     * Returns false once the client is known to have disconnected or cancelled. May be called on any thread, and may
     * change before the event loop receives the corresponding event.
     */
    boolean isPresent();
}
