package olivechute.http;

/** Requests out of bytes. */
public final class RequestParser extends MessageParser<HttpRequest> {
    private String method;
    private String target;

    @Override
    void start(String text) throws HttpException {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !parts[1].startsWith("/")
            || !parts[1].chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new HttpException(400, "bad request line");
        }
        version(parts[2]);
        method = parts[0];
        target = parts[1];
    }

    @Override
    boolean bodyless() {
        return false;
    }

    @Override
    boolean untilClose() {
        return false;
    }

    @Override
    HttpRequest message(Headers headers, byte[] body, boolean keepAlive) {
        // The answer to a HEAD must have no body; one that has ends with its connection, so it misleads nobody.
        return new HttpRequest(method, target, headers, body, keepAlive && !method.equals("HEAD"));
    }
}
