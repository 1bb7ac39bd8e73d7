package olivechute.downstream;

/**
 * What a client's connection carries, and so whether it may end: a state machine without socket and thread. Its
 * connection guards it and tells it the time, in microseconds. A message belongs to it from its first byte; from the
 * moment at which it is taken it is owed an answer, and nothing but the client ends the connection before that is out.
 */
final class ConnectionState {
    /** A message is left so long before its connection may be closed to make room. */
    static final long SETTLE_TIME_US = 100_000;
    /** A message that takes longer is given up, and so is the wait for a connection's first: both hold a thread. */
    static final long MESSAGE_TIMEOUT_US = 2_000_000;
    /** How long an answer may need to arrive. */
    static final long RESPONSE_TRANSIT_US = 100_000;
    /** How long a finished connection is read on. */
    static final long LINGER_US = 1_500_000;

    private enum Phase {
        /** Between messages. */
        BETWEEN_MESSAGES,
        /** A message has begun and is not whole. */
        RECEIVING,
        /** A message was taken and its answer is not out. */
        AWAITING_RESPONSE,
        /** Its last answer is out; whatever still comes is thrown away. */
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

    /** When it was accepted. */
    long acceptedAtUs() {
        return acceptedAtUs;
    }

    /** When the message under way began. */
    long messageStartUs() {
        return messageStartUs;
    }

    /** When it changed last. */
    long lastChangeUs() {
        return lastChangeUs;
    }

    /** Whether a message has begun on it. */
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

    /** Whether messages may still be taken from it. */
    boolean isOpen() {
        return phase != Phase.FINISHED && phase != Phase.CLOSED;
    }

    /** Why its reader was asked to end it, or {@code null}. */
    CloseReason endReason() {
        return endReason;
    }

    /** Bytes of a message have come while none was taken. */
    void onMessageBytes(long nowUs) {
        if (phase == Phase.BETWEEN_MESSAGES) {
            phase = Phase.RECEIVING;
            messageStartUs = nowUs;
            used = true;
        }
        lastChangeUs = nowUs;
    }

    /** What came was no beginning of a message. */
    void onNoMessage() {
        if (phase == Phase.RECEIVING) {
            phase = Phase.BETWEEN_MESSAGES;
        }
    }

    /** The message is whole: false if nothing may be taken any more. */
    boolean acceptMessage(long nowUs) {
        if (!isOpen()) {
            return false;
        }
        phase = Phase.AWAITING_RESPONSE;
        lastChangeUs = nowUs;
        return true;
    }

    /** The answer to what was taken is out, and the connection goes on. */
    void onResponseSent(long nowUs) {
        if (phase == Phase.AWAITING_RESPONSE) {
            phase = Phase.BETWEEN_MESSAGES;
            lastChangeUs = nowUs;
        }
    }

    /** Nothing is taken from it any more; false if that was so before. */
    boolean finish(long nowUs) {
        if (!isOpen()) {
            return false;
        }
        phase = Phase.FINISHED;
        lastChangeUs = nowUs;
        return true;
    }

    /** False if it was closed before. */
    boolean close() {
        boolean first = phase != Phase.CLOSED;
        phase = Phase.CLOSED;
        return first;
    }

    /**
     * Asks its reader to end it, as only the reader knows that it has nothing in hand. True if that is to be done now:
     * it is between messages and, unless room is needed, its last answer has arrived.
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

    /** Gives up a message that has been under way for longer than this; true if there was one. */
    boolean abandonMessage(long maxDurationUs, long nowUs) {
        return phase == Phase.RECEIVING && nowUs - messageStartUs > maxDurationUs && finish(nowUs);
    }

    /** Whether a message has been under way for too long. */
    boolean isMessageOverdue(long nowUs) {
        return phase == Phase.RECEIVING && nowUs - messageStartUs > MESSAGE_TIMEOUT_US;
    }

    /** Whether no message came for too long since it was accepted. */
    boolean isUnused(long nowUs) {
        return !used && phase == Phase.BETWEEN_MESSAGES && nowUs - acceptedAtUs > MESSAGE_TIMEOUT_US;
    }

    /** Whether nothing more is to be expected of it. */
    boolean isLingerOver(long nowUs) {
        return phase == Phase.FINISHED && nowUs - lastChangeUs > LINGER_US;
    }

    /** Whether it has ended, and what went out on it had since that moment to arrive. */
    boolean isFinishedSince(long latestUs) {
        return phase == Phase.CLOSED || (phase == Phase.FINISHED && lastChangeUs <= latestUs);
    }
}
