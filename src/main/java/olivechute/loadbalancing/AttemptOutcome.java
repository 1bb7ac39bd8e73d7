package olivechute.loadbalancing;

/**
 * The result of an attempt. On the simulator's wire protocol an outcome's code is its ordinal plus one. The outcomes
 * after {@link #NOT_SENT} are produced only by a node that uses sockets and are never sent over that protocol.
 */
public enum AttemptOutcome {
    /** The endpoint returned a result. */
    OK(false),
    /** The endpoint reported that the request failed. */
    ERROR(false),
    /** The endpoint had no capacity and did not accept the request. */
    REJECTED(true),
    /** No response arrived before the deadline. */
    TIMEOUT(false),
    /** No connection could be established. */
    CONNECT_FAILED(true),
    /** The connection broke while the request was in flight. */
    RESET(false),
    /**
     * The node cancelled the attempt, because the client disconnected or because a status event that may concern an
     * earlier attempt left it unknown whether this one still runs.
     */
    CANCELLED(false),
    /** The node did not send the attempt because sending it would have broken a rule. */
    NOT_SENT(true),
    /** The endpoint did not accept the request within the accept timeout, and confirmed the cancellation. */
    ACCEPT_TIMEOUT(false),
    /** A reused idle connection broke when the request was sent on it. */
    STALE_CONNECTION(false),
    /**
     * As {@link #ACCEPT_TIMEOUT}, but the endpoint did not confirm the cancellation: the attempt may still run, and
     * another attempt would be a duplicate.
     */
    CANCEL_UNCONFIRMED(false),
    /** The check before the first byte stopped the attempt, and nothing of it was written. */
    SUPPRESSED(true),
    /**
     * As {@link #REJECTED}, but by a status event: the endpoint had accepted the request and handed it back without
     * having started it. Status events do not identify their attempt, so a repetition of this one could be taken for
     * the end of a later attempt at the same endpoint.
     */
    RETURNED(true);

    private final boolean neverExecuted;

    AttemptOutcome(boolean neverExecuted) {
        this.neverExecuted = neverExecuted;
    }

    /** Returns whether this outcome proves that the endpoint never executed the attempt. */
    public boolean neverExecuted() {
        return neverExecuted;
    }
}
