package olivechute.downstream;

/** Why a downstream connection was closed. The names appear in the log. */
enum CloseReason {
    /** The client closed the connection. */
    ENDED_BY_CLIENT(true),
    /** A read failed. */
    READ_FAILED(true),
    /** A write failed. */
    WRITE_FAILED(true),
    /** The last response was sent, and the input that followed ended or was discarded up to a time or size limit. */
    AFTER_LAST_ANSWER(false),
    /** The client does not read its responses, so that a write does not complete. */
    PEER_READS_NOTHING(true),
    /** No message arrived after the connection was accepted. */
    UNUSED(false),
    /** The connection was idle for too long. */
    IDLE(false),
    /** The identity that the client presented is no longer valid. */
    IDENTITY_EXPIRED(false),
    /** This node is shutting down. */
    DRAINING(false),
    /** The connection was closed to make room for another one. */
    ROOM_NEEDED(false),
    /** The system had no thread to read the connection. */
    NO_THREAD(false),
    /** The reader failed with an unexpected exception. */
    READER_FAILED(false);

    private final boolean byClient;

    CloseReason(boolean byClient) {
        this.byClient = byClient;
    }

    /** Whether the client or the network ended the connection, rather than this node. */
    boolean isByClient() {
        return byClient;
    }
}
