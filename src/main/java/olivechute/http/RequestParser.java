package olivechute.http;

/** Parses HTTP requests. */
public final class RequestParser extends MessageParser<HttpRequest> {
    private String method;
    private String target;

    @Override
    void parseStartLine(byte[] bytes, int from, int end) throws HttpException {
        int methodEnd = from;
        while (methodEnd < end && isTokenChar(bytes[methodEnd])) {
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
                : decodeLatin1(bytes, from, methodEnd);
        target = decodeLatin1(bytes, targetStart, targetEnd);
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
