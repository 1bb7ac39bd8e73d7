package olivechute;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;

/** One downstream connection as a test drives it. */
final class Client implements AutoCloseable {
    final Socket socket;
    private final ResponseParser parser = new ResponseParser();

    Client(InetSocketAddress node) throws IOException {
        this(node, new Socket());
    }

    /** On a socket that is not connected yet and may speak TLS. */
    Client(InetSocketAddress node, Socket socket) throws IOException {
        this.socket = socket;
        socket.connect(node, 1000);
        socket.setSoTimeout(8000);
        socket.setTcpNoDelay(true);
    }

    static byte[] job(String kind, String id, int remainingMillis) {
        return MessageWriter.request(
                "POST",
                "/" + kind + "?user=u1",
                "backend.local",
                "doc".getBytes(StandardCharsets.UTF_8),
                "X-Txn",
                id,
                "X-Org",
                "acme",
                "X-Remaining",
                remainingMillis + "m",
                "Idempotency-Key",
                kind.equals("sign") ? "key-" + id : null);
    }

    static byte[] news(String id, String from, String rest) {
        return MessageWriter.request(
                "POST",
                "/_jobs/news",
                "node",
                ("{\"id\":\"" + id + "\",\"from\":\"" + from + "\"," + rest + "}").getBytes(StandardCharsets.UTF_8));
    }

    Client send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** The next answer; null if the connection ended without one. */
    HttpResponse receive() throws IOException, HttpException {
        byte[] buffer = new byte[1];
        while (!parser.isComplete()) {
            if (socket.getInputStream().read(buffer) < 0) {
                return parser.onEndOfInput() ? parser.take() : null;
            }
            parser.feed(buffer, 0, 1);
        }
        return parser.take();
    }

    HttpResponse call(byte[] bytes) throws IOException, HttpException {
        return send(bytes).receive();
    }

    /** True once the node has closed this connection. */
    boolean ended() throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketException reset) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
