package olivechute.downstream;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.MessageWriter;
import olivechute.proxy.ClientStream;
import olivechute.proxy.ProxyEvent;

/** The client's side of one stream, as HTTP. */
final class HttpClientStream implements ClientStream {
    private static final ByteBuffer EMPTY_BODY = ByteBuffer.allocate(0);

    private final DownstreamConnection connection;
    final String requestId;
    private final boolean keepAlive; // as the client wants it
    private final AtomicInteger openStreams;
    private volatile boolean clientDisconnected;

    HttpClientStream(DownstreamConnection connection, String requestId, boolean keepAlive, AtomicInteger openStreams) {
        this.connection = connection;
        this.requestId = requestId;
        this.keepAlive = keepAlive;
        this.openStreams = openStreams;
    }

    /** The client went away before the answer: nothing may go out for it from now on. */
    void markClientDisconnected() {
        clientDisconnected = true;
    }

    /** Tells of a client that has left. */
    void clientDisconnected() {
        openStreams.decrementAndGet();
        connection.post(new ProxyEvent.ClientDisconnected(requestId, this));
    }

    @Override
    public boolean isPresent() {
        return !clientDisconnected;
    }

    private boolean allowsKeepAlive() {
        return keepAlive && connection.allowsKeepAlive();
    }

    private void send(byte[] bytes, boolean keepOpen) {
        send(ByteBuffer.wrap(bytes), EMPTY_BODY, keepOpen);
    }

    /** A refusal's bytes; advice in microseconds, none where it is 0. */
    static byte[] rejection(long retryAfterUs, boolean keepOpen) {
        String retryAfterSeconds = retryAfterUs > 0 ? String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6) : null;
        return DownstreamServer.textResponse(503, "no room", keepOpen, "Retry-After", retryAfterSeconds);
    }

    private void send(ByteBuffer head, ByteBuffer body, boolean keepOpen) {
        connection.sendResponse(head, body, keepOpen);
    }

    /** The answer is out, or cannot be: nothing is owed any more. */
    void onResponseDone() {
        openStreams.decrementAndGet();
    }

    @Override
    public void sendResult(byte[] result) {
        boolean keepOpen = allowsKeepAlive();
        send(MessageWriter.responseHead(200, result.length, keepOpen), ByteBuffer.wrap(result), keepOpen);
    }

    @Override
    public void sendRejection(long retryAfterUs) {
        boolean keepOpen = allowsKeepAlive();
        send(rejection(retryAfterUs, keepOpen), keepOpen);
    }

    @Override
    public void sendFailure() {
        boolean keepOpen = allowsKeepAlive();
        send(DownstreamServer.textResponse(502, "not served", keepOpen), keepOpen);
    }

    @Override
    public void sendDuplicateId() {
        send(DownstreamServer.textResponse(409, "a live request has this X-Txn, or one had it lately", false), false);
    }
}
