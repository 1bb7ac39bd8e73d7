package olivechute.downstream;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.memory.MemoryReservation;
import olivechute.proxy.ClientStream;
import olivechute.proxy.ProxyEvent;

/**
 * A request's stream to its client over HTTP/1.1. The event loop sends the response; the connection reports that the
 * client has gone.
 */
final class HttpClientStream implements ClientStream {
    private static final ByteBuffer EMPTY_BODY = ByteBuffer.allocate(0);

    private final DownstreamConnection connection;
    final String requestId;
    private final boolean keepAlive; // whether the client allows it
    private final AtomicInteger openStreams;
    private volatile boolean clientDisconnected;
    private volatile MemoryReservation responseMemory = MemoryReservation.NONE;

    HttpClientStream(DownstreamConnection connection, String requestId, boolean keepAlive, AtomicInteger openStreams) {
        this.connection = connection;
        this.requestId = requestId;
        this.keepAlive = keepAlive;
        this.openStreams = openStreams;
    }

    /** The client disconnected before the response; no response may be sent from now on. */
    void markClientDisconnected() {
        clientDisconnected = true;
    }

    /** Reports to the event loop that the client has gone. */
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

    /** An encoded rejection; {@code retryAfterUs} is microseconds, and 0 sends no Retry-After. */
    static byte[] rejection(long retryAfterUs, boolean keepOpen) {
        String retryAfterSeconds = retryAfterUs > 0 ? String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6) : null;
        return DownstreamServer.textResponse(503, "no room", keepOpen, "Retry-After", retryAfterSeconds);
    }

    private void send(ByteBuffer head, ByteBuffer body, boolean keepOpen) {
        connection.sendResponse(head, body, keepOpen);
    }

    /** Reserves memory for the body of the response, which is held until it is written. */
    void reserveResponse(int bodyBytes) {
        if (bodyBytes > RequestParser.INITIAL_BUFFER_BYTES) {
            connection.server.memory.add(bodyBytes);
            responseMemory = MemoryReservation.of(connection.server.memory::release, bodyBytes);
        }
    }

    /** The response is sent, or cannot be: the stream no longer counts as open. */
    void onResponseDone() {
        openStreams.decrementAndGet();
        responseMemory.release();
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
