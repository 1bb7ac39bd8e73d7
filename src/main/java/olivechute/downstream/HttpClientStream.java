package olivechute.downstream;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.MessageWriter;
import olivechute.proxy.ClientStream;
import olivechute.proxy.ProxyEvent;

/** The client's side of one stream, as HTTP. */
final class HttpClientStream implements ClientStream {
    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final DownstreamConnection connection;
    final String id;
    private final boolean keepAlive; // as the client wants it
    private final AtomicInteger open;
    private volatile boolean gone;

    HttpClientStream(DownstreamConnection connection, String id, boolean keepAlive, AtomicInteger open) {
        this.connection = connection;
        this.id = id;
        this.keepAlive = keepAlive;
        this.open = open;
    }

    /** The client went away before the answer: nothing may go out for it from now on. */
    void left() {
        gone = true;
    }

    /** Tells of a client that has left. */
    void gone() {
        open.decrementAndGet();
        connection.post(new ProxyEvent.ClientDisconnected(id, this));
    }

    @Override
    public boolean isPresent() {
        return !gone;
    }

    private boolean keep() {
        return keepAlive && connection.keeps();
    }

    private void reply(byte[] bytes, boolean keep) {
        reply(ByteBuffer.wrap(bytes), NOTHING, keep);
    }

    /** A refusal's bytes; advice in microseconds, none where it is 0. */
    static byte[] refusal(long retryAfter, boolean keep) {
        String advice = retryAfter > 0 ? String.format(Locale.ROOT, "%.3f", retryAfter / 1e6) : null;
        return DownstreamServer.text(503, "no room", keep, "Retry-After", advice);
    }

    private void reply(ByteBuffer head, ByteBuffer body, boolean keep) {
        connection.reply(head, body, keep);
    }

    /** The answer is out, or cannot be: nothing is owed any more. */
    void out() {
        open.decrementAndGet();
    }

    @Override
    public void sendResult(byte[] result) {
        boolean keep = keep();
        reply(MessageWriter.responseHead(200, result.length, keep), ByteBuffer.wrap(result), keep);
    }

    @Override
    public void sendRejection(long retryAfter) {
        boolean keep = keep();
        reply(refusal(retryAfter, keep), keep);
    }

    @Override
    public void sendFailure() {
        boolean keep = keep();
        reply(DownstreamServer.text(502, "not served", keep), keep);
    }

    @Override
    public void sendDuplicateId() {
        reply(DownstreamServer.text(409, "a live request has this X-Txn, or one had it lately", false), false);
    }
}
