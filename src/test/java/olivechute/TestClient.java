package olivechute;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;

/** A client connection to a node, driven by a test over a blocking socket. */
final class TestClient implements AutoCloseable {
    final Socket socket;
    private final ResponseParser parser = new ResponseParser();

    TestClient(InetSocketAddress address) throws IOException {
        this(address, new Socket());
    }

    /** Connects over the given unconnected socket, which may be a TLS socket. */
    TestClient(InetSocketAddress address, Socket socket) throws IOException {
        this.socket = socket;
        socket.connect(address, 1000);
        socket.setSoTimeout(8000);
        socket.setTcpNoDelay(true);
    }

    static byte[] jobRequest(String requestClass, String id, int remainingMillis) {
        return MessageWriter.request(
                "POST",
                "/" + requestClass + "?user=u1",
                "backend.local",
                "doc".getBytes(StandardCharsets.UTF_8),
                "X-Txn",
                id,
                "X-Org",
                "acme",
                "X-Remaining",
                remainingMillis + "m",
                "Idempotency-Key",
                requestClass.equals("sign") ? "key-" + id : null);
    }

    static byte[] statusEventRequest(String id, String endpoint, String fields) {
        return MessageWriter.request(
                "POST",
                "/_jobs/news",
                "node",
                ("{\"id\":\"" + id + "\",\"from\":\"" + endpoint + "\"," + fields + "}")
                        .getBytes(StandardCharsets.UTF_8));
    }

    TestClient send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Returns the next response, or null if the connection was closed without one. */
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

    HttpResponse exchange(byte[] request) throws IOException, HttpException {
        return send(request).receive();
    }

    /** Blocks until the node closes this connection; returns false if it sends a byte instead. */
    boolean isClosedByServer() throws IOException {
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
