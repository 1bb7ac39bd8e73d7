package olivechute.upstream;

import java.nio.ByteBuffer;
import olivechute.http.MessageWriter;
import olivechute.proxy.Payload;
import olivechute.proxy.UpstreamRequest;

/**
 * One exchange on an upstream connection: an upstream request, or the cancellation of one. {@code reportsEnd}: the end
 * of this exchange is reported as the end of the upstream request. {@code retriesIfBroken}: if its connection breaks,
 * it is sent once more on another one.
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

    /** The exchange that sends the upstream request. */
    static Exchange of(UpstreamRequest request, long nowUs) {
        return new Exchange(request, false, true, false, nowUs);
    }

    /** The exchange that cancels the upstream request; {@code reportsEnd} if the request waits for the confirmation. */
    static Exchange cancellationOf(UpstreamRequest request, boolean reportsEnd, long nowUs) {
        return new Exchange(request, true, reportsEnd, reportsEnd, nowUs);
    }

    /** The same exchange, without another retry. */
    Exchange withoutRetry() {
        return new Exchange(request, isCancellation, reportsEnd, false, createdAtUs);
    }

    /** Until when a response is waited for; the event loop has given up the request by then. */
    long responseDeadlineUs() {
        return createdAtUs
                + (!isCancellation
                        ? request.timeoutUs() + RESPONSE_GRACE_US
                        : reportsEnd ? CONFIRMED_CANCEL_TIMEOUT_US : CANCEL_TIMEOUT_US);
    }

    /** The head of the message; {@link #body} follows it. */
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
