package olivechute.http;

import olivechute.memory.MemoryAllowance;

/** Parses HTTP responses; interim ones (1xx) are returned like the others. */
public final class ResponseParser extends MessageParser<HttpResponse> {
    private static final int STATUS_OFFSET = 9; // offset in the status line

    private int status;

    /** For responses with a body of at most 64 KiB. */
    public ResponseParser() {}

    /** For responses with a body of at most {@code maxBodyBytes}. */
    public ResponseParser(int maxBodyBytes) {
        super(maxBodyBytes, true, MemoryAllowance.UNLIMITED);
    }

    private ResponseParser(MemoryAllowance memory) {
        super(MAX_BODY_BYTES, false, memory);
    }

    /** For responses of which only the head is needed: their bodies, of at most 64 KiB, are read and discarded. */
    public static ResponseParser discardingBodies(MemoryAllowance memory) {
        return new ResponseParser(memory);
    }

    @Override
    void parseStartLine(byte[] bytes, int from, int end) throws HttpException {
        int statusStart = from + STATUS_OFFSET;
        boolean wellFormed = end - from >= STATUS_OFFSET + 3
                && bytes[statusStart - 1] == ' '
                && bytes[statusStart] >= '1'
                && bytes[statusStart] <= '5'
                && HttpSyntax.isDigit(bytes[statusStart + 1])
                && HttpSyntax.isDigit(bytes[statusStart + 2])
                && (statusStart + 3 == end || bytes[statusStart + 3] == ' ');
        if (!wellFormed) {
            throw new HttpException(400, "bad status line");
        }
        parseVersion(bytes, from, statusStart - 1);
        status = (bytes[statusStart] - '0') * 100 + (bytes[statusStart + 1] - '0') * 10 + bytes[statusStart + 2] - '0';
    }

    @Override
    boolean hasNoBody() {
        return status < 200 || status == 204 || status == 304;
    }

    @Override
    boolean mayBeCloseDelimited() {
        return true;
    }

    @Override
    HttpResponse createMessage(Headers fields, Body content, boolean keepAlive) {
        return new HttpResponse(status, fields, content, keepAlive);
    }
}
