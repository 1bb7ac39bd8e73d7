package olivechute.downstream;

import olivechute.http.HttpRequest;

/**
 * An error response that this node makes itself, without an endpoint, to a request for which no stream can be opened.
 */
final class LocalReply extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;
    final String allowedMethod; // the method for the Allow header; null for other errors

    LocalReply(int status, String text) {
        super(text, null, false, false);
        this.status = status;
        this.allowedMethod = null;
    }

    private LocalReply(String allowedMethod) {
        super(allowedMethod + " only", null, false, false);
        this.status = 405;
        this.allowedMethod = allowedMethod;
    }

    static void requireMethod(HttpRequest message, String method) throws LocalReply {
        if (!message.method().equals(method)) {
            throw new LocalReply(method);
        }
    }
}
