package olivechute.grpc;

/** Types, flags and sizes of the HTTP/2 frames in use, with the numbers of RFC 9113, section 6. */
final class Http2Frame {
    // Frame types
    static final int DATA = 0;
    static final int HEADERS = 1;
    static final int RST_STREAM = 3;
    static final int SETTINGS = 4;
    static final int PUSH_PROMISE = 5;
    static final int PING = 6;
    static final int GOAWAY = 7;
    static final int WINDOW_UPDATE = 8;
    static final int CONTINUATION = 9;

    // Flags
    static final int END_STREAM = 1;
    static final int ACK = 1;
    static final int END_HEADERS = 4;
    static final int PADDED = 8;
    static final int PRIORITY = 32;

    static final int INITIAL_WINDOW = 4; // identifier in a SETTINGS frame
    static final int HEADER_BYTES = 9; // size of the frame header
    static final int MAX_PAYLOAD_BYTES = 16_384; // default payload limit in bytes for either side

    private Http2Frame() {}
}
