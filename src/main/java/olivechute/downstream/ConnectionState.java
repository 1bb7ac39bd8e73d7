package olivechute.downstream;

/**
 * The phase of a downstream connection, which decides whether the connection may end: a state machine without socket or
 * thread. {@link DownstreamConnection} guards it by its monitor and passes in the time, in microseconds. A message
 * begins with its first byte. Once it is accepted, a response is due, and only the client ends the connection before
 * that response is sent.
 */
final class ConnectionState {
    /** How long a message may be incomplete before its connection may be closed to make room. */
    static final long SETTLE_TIME_US = 100_000;
    /**
     * The longest time that receiving a message may take, and that may pass from accepting a connection to the start of
     * its first message. After that the message is abandoned or the connection ended, as either occupies a thread.
     */
    static final long MESSAGE_TIMEOUT_US = 2_000_000;
    /** How long a response may take to arrive at the client. */
    static final long RESPONSE_TRANSIT_US = 100_000;
    /** How long the input of a finished connection is still read. */
    static final long LINGER_US = 1_500_000;

    private enum Phase {
        /** Between messages. */
        BETWEEN_MESSAGES,
        /** A message has begun and is incomplete. */
        RECEIVING,
        /** A message was accepted and its response is not sent. */
        AWAITING_RESPONSE,
        /** The last response is sent; further input is discarded. */
        FINISHED,
        CLOSED
    }

    private final long acceptedAtUs;
    private Phase phase = Phase.BETWEEN_MESSAGES;
    private boolean used;
    private long messageStartUs;
    private long lastChangeUs;
    private CloseReason endReason;

    ConnectionState(long nowUs) {
        this.acceptedAtUs = nowUs;
        this.lastChangeUs = nowUs;
    }

    /** When the connection was accepted. */
    long acceptedAtUs() {
        return acceptedAtUs;
    }

    /** When the current message began. */
    long messageStartUs() {
        return messageStartUs;
    }

    /** When the state last changed or bytes of a message last arrived. */
    long lastChangeUs() {
        return lastChangeUs;
    }

    /** Whether a message has ever begun. */
    boolean isUsed() {
        return used;
    }

    boolean isBetweenMessages() {
        return phase == Phase.BETWEEN_MESSAGES;
    }

    boolean isReceiving() {
        return phase == Phase.RECEIVING;
    }

    boolean isAwaitingResponse() {
        return phase == Phase.AWAITING_RESPONSE;
    }

    boolean isFinished() {
        return phase == Phase.FINISHED;
    }

    boolean isClosed() {
        return phase == Phase.CLOSED;
    }

    /** Whether messages may still be accepted. */
    boolean isOpen() {
        return phase != Phase.FINISHED && phase != Phase.CLOSED;
    }

    /** Why the reader was asked to end the connection, or {@code null}. */
    CloseReason endReason() {
        return endReason;
    }

    /** Bytes of a message have arrived while no response was due. */
    void onMessageBytes(long nowUs) {
        if (phase == Phase.BETWEEN_MESSAGES) {
            phase = Phase.RECEIVING;
            messageStartUs = nowUs;
            used = true;
        }
        lastChangeUs = nowUs;
    }

    /** The bytes received did not begin a message. */
    void onNoMessage() {
        if (phase == Phase.RECEIVING) {
            phase = Phase.BETWEEN_MESSAGES;
        }
    }

    /** The message is complete; false if no message may be accepted any more. */
    boolean acceptMessage(long nowUs) {
        if (!isOpen()) {
            return false;
        }
        phase = Phase.AWAITING_RESPONSE;
        lastChangeUs = nowUs;
        return true;
    }

    /** The response is sent and the connection stays open. */
    void onResponseSent(long nowUs) {
        if (phase == Phase.AWAITING_RESPONSE) {
            phase = Phase.BETWEEN_MESSAGES;
            lastChangeUs = nowUs;
        }
    }

    /** No message is accepted from now on; false if that was already so. */
    boolean finish(long nowUs) {
        if (!isOpen()) {
            return false;
        }
        phase = Phase.FINISHED;
        lastChangeUs = nowUs;
        return true;
    }

    /** The connection is closed; false if it was closed before. */
    boolean close() {
        boolean first = phase != Phase.CLOSED;
        phase = Phase.CLOSED;
        return first;
    }

    /**
     * Requests that the reader ends the connection, as only the reader knows that no message is being processed. False
     * if the end was requested before, if the connection is not between messages, or if its last response has not had
     * time to arrive; the last condition does not apply when room is needed.
     */
    boolean requestEnd(CloseReason reason, long nowUs) {
        boolean responseArrived =
                !used || reason == CloseReason.ROOM_NEEDED || nowUs - lastChangeUs >= RESPONSE_TRANSIT_US;
        if (phase != Phase.BETWEEN_MESSAGES || endReason != null || !responseArrived) {
            return false;
        }
        endReason = reason;
        return true;
    }

    /** Abandons a message that has been incomplete for longer than {@code maxDurationUs}; true if there was one. */
    boolean abandonMessage(long maxDurationUs, long nowUs) {
        return phase == Phase.RECEIVING && nowUs - messageStartUs > maxDurationUs && finish(nowUs);
    }

    /** Whether a message has been incomplete for too long. */
    boolean isMessageOverdue(long nowUs) {
        return phase == Phase.RECEIVING && nowUs - messageStartUs > MESSAGE_TIMEOUT_US;
    }

    /** Whether the connection was accepted longer than {@link #MESSAGE_TIMEOUT_US} ago and no message has begun. */
    boolean isUnused(long nowUs) {
        return !used && phase == Phase.BETWEEN_MESSAGES && nowUs - acceptedAtUs > MESSAGE_TIMEOUT_US;
    }

    /** Whether the connection is finished and its input has been read for long enough. */
    boolean isLingerOver(long nowUs) {
        return phase == Phase.FINISHED && nowUs - lastChangeUs > LINGER_US;
    }

    /**
     * Whether the connection was closed, or finished at {@code latestUs} or before, so that its last response has had
     * time since to arrive.
     */
    boolean isFinishedSince(long latestUs) {
        return phase == Phase.CLOSED || (phase == Phase.FINISHED && lastChangeUs <= latestUs);
    }
}
