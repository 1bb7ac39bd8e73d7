package olivechute.downstream;

import olivechute.http.HttpRequest;

/** A reply that this node makes itself, without an upstream host, to a request that no stream can come of. */
final class LocalReply extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;
    final String allowedMethod; // the method that would do, null where that is not the fault

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
