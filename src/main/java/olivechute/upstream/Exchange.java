package olivechute.upstream;

import java.nio.ByteBuffer;
import olivechute.http.MessageWriter;
import olivechute.proxy.Payload;
import olivechute.proxy.UpstreamRequest;

/**
 * What one connection carries at a time: an upstream request, or the word that gives one up. {@code ends}: its own end
 * is the upstream request's. {@code again}: should its connection break, it is said once more, on another one.
 */
record Exchange(
        UpstreamRequest request,
        boolean isCancellation,
        boolean reportsEnd,
        boolean retriesIfBroken,
        long createdAtUs) {
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final long CANCEL_TIMEOUT_US = 1_000_000;
    private static final long CONFIRMED_CANCEL_TIMEOUT_US = 400_000;
    private static final long RESPONSE_GRACE_US = 500_000;

    /** The upstream request itself. */
    static Exchange of(UpstreamRequest request, long nowUs) {
        return new Exchange(request, false, true, false, nowUs);
    }

    /** The word that gives it up; {@code ends} where the request waits for that to be heard. */
    static Exchange cancellationOf(UpstreamRequest request, boolean reportsEnd, long nowUs) {
        return new Exchange(request, true, reportsEnd, reportsEnd, nowUs);
    }

    /** The same for the last time. */
    Exchange withoutRetry() {
        return new Exchange(request, isCancellation, reportsEnd, false, createdAtUs);
    }

    /** When an answer is no longer waited for; the loop has given the request up by then. */
    long responseDeadlineUs() {
        return createdAtUs
                + (!isCancellation
                        ? request.timeoutUs() + RESPONSE_GRACE_US
                        : reportsEnd ? CONFIRMED_CANCEL_TIMEOUT_US : CANCEL_TIMEOUT_US);
    }

    /** The head of its message, for {@link #body} to follow. */
    ByteBuffer head(String hostHeader, long nowUs) {
        if (isCancellation) {
            return ByteBuffer.wrap(
                    MessageWriter.request("DELETE", "/jobs/" + request.requestId(), hostHeader, EMPTY_BODY));
        }
        Payload payload = request.payload();
        return MessageWriter.upstreamRequestHead(
                payload.requestTarget(),
                hostHeader,
                request.requestId(),
                Math.max(1, request.timeoutUs() - (nowUs - createdAtUs)),
                payload.idempotencyKey(),
                payload.length());
    }

    ByteBuffer body() {
        Payload payload = request.payload();
        return isCancellation
                ? ByteBuffer.wrap(EMPTY_BODY)
                : ByteBuffer.wrap(payload.bytes(), payload.offset(), payload.length());
    }
}
