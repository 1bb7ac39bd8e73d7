package olivechute.upstream;

import java.nio.ByteBuffer;
import olivechute.http.MessageWriter;
import olivechute.proxy.Payload;
import olivechute.proxy.UpstreamRequest;

/**
 * What one connection carries at a time: an upstream request, or the word that gives one up. {@code ends}: its own end
 * is the upstream request's. {@code again}: should its connection break, it is said once more, on another one.
 */
record Exchange(UpstreamRequest request, boolean cancels, boolean ends, boolean again, long since) {
    private static final byte[] NOTHING = new byte[0];
    private static final long CANCEL_LIMIT = 1_000_000;
    private static final long WITHDRAW_LIMIT = 400_000;
    private static final long GRACE = 500_000;

    /** The upstream request itself. */
    static Exchange of(UpstreamRequest request, long now) {
        return new Exchange(request, false, true, false, now);
    }

    /** The word that gives it up; {@code ends} where the request waits for that to be heard. */
    static Exchange cancelling(UpstreamRequest request, boolean ends, long now) {
        return new Exchange(request, true, ends, ends, now);
    }

    /** The same for the last time. */
    Exchange last() {
        return new Exchange(request, cancels, ends, false, since);
    }

    /** When an answer is no longer waited for; the loop has given the request up by then. */
    long answerBy() {
        return since + (!cancels ? request.timeoutUs() + GRACE : ends ? WITHDRAW_LIMIT : CANCEL_LIMIT);
    }

    /** The head of its message, for {@link #body} to follow. */
    ByteBuffer head(String host, long now) {
        if (cancels) {
            return ByteBuffer.wrap(MessageWriter.request("DELETE", "/jobs/" + request.requestId(), host, NOTHING));
        }
        Payload payload = request.payload();
        return MessageWriter.jobHead(
                payload.requestTarget(),
                host,
                request.requestId(),
                Math.max(1, request.timeoutUs() - (now - since)),
                payload.idempotencyKey(),
                payload.length());
    }

    ByteBuffer body() {
        Payload payload = request.payload();
        return cancels ? ByteBuffer.wrap(NOTHING) : ByteBuffer.wrap(payload.bytes(), payload.offset(), payload.length());
    }
}
