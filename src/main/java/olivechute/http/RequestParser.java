package olivechute.http;

import olivechute.memory.MemoryAllowance;

/** Parses HTTP requests. */
public final class RequestParser extends MessageParser<HttpRequest> {
    private String method;
    private String target;

    /** For requests of any number and kind, as in tests and tools. */
    public RequestParser() {}

    /** For requests of a peer, whose memory is reserved from an allowance. */
    public RequestParser(MemoryAllowance memory) {
        super(MAX_BODY_BYTES, true, memory);
    }

    /** Whether the message that is being received, whose start line is complete, has this target. */
    public boolean isReceiving(String path) {
        return path.equals(target);
    }

    @Override
    void parseStartLine(byte[] bytes, int from, int end) throws HttpException {
        int methodEnd = from;
        while (methodEnd < end && HttpSyntax.isTokenChar(bytes[methodEnd])) {
            methodEnd++;
        }
        int targetStart = methodEnd + 1;
        int targetEnd = targetStart;
        while (targetEnd < end && bytes[targetEnd] > ' ' && bytes[targetEnd] < 127) {
            targetEnd++;
        }
        if (methodEnd == from
                || methodEnd >= end
                || bytes[methodEnd] != ' '
                || targetEnd >= end
                || bytes[targetEnd] != ' '
                || bytes[targetStart] != '/') {
            throw new HttpException(400, "bad request line");
        }
        parseVersion(bytes, targetEnd + 1, end);
        method = methodEnd - from == 4
                        && bytes[from] == 'P'
                        && bytes[from + 1] == 'O'
                        && bytes[from + 2] == 'S'
                        && bytes[from + 3] == 'T'
                ? "POST"
                : HttpSyntax.decodeLatin1(bytes, from, methodEnd);
        target = HttpSyntax.decodeLatin1(bytes, targetStart, targetEnd);
    }

    @Override
    boolean hasNoBody() {
        return false;
    }

    @Override
    boolean mayBeCloseDelimited() {
        return false;
    }

    @Override
    HttpRequest createMessage(Headers fields, Body content, boolean keepAlive) {
        // The response to a HEAD request must have no body. As the responses sent here may have one, the connection is
        // closed after it, so that the client does not read the body as the next response.
        return new HttpRequest(method, target, fields, content, keepAlive && !method.equals("HEAD"));
    }
}
