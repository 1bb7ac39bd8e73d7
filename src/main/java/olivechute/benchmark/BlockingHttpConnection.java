package olivechute.benchmark;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One blocking HTTP/1.1 connection of a simulated client or endpoint: one message at a time, with a Content-Length or
 * without a body.
 */
final class BlockingHttpConnection implements AutoCloseable {
    /** A readiness request to a node. */
    static final byte[] READINESS_REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    static final int TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final InputStream in;
    private final byte[] buffer = new byte[96 * 1024];
    private int readPosition;
    private int readLimit;

    /** A message: its start line and fields as received, and the length of its body. */
    record Message(String head, int bodyLength) {
        /** Returns the value of a field, or null if it is absent. */
        String field(String name) {
            String key = "\r\n" + name.toLowerCase(Locale.ROOT) + ":";
            int at = head.toLowerCase(Locale.ROOT).indexOf(key);
            if (at < 0) {
                return null;
            }
            int end = head.indexOf("\r\n", at + key.length());
            return head.substring(at + key.length(), end < 0 ? head.length() : end)
                    .strip();
        }

        /** Returns the status code of a response. */
        int status() {
            return Integer.parseInt(head.substring(9, 12));
        }
    }

    BlockingHttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = socket.getInputStream();
    }

    static BlockingHttpConnection connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, TIMEOUT_MILLIS);
        return new BlockingHttpConnection(socket);
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    void write(byte[] bytes, int at, int length) throws IOException {
        socket.getOutputStream().write(bytes, at, length);
    }

    /** Reads the next message to its end; returns null if the connection ended between two messages. */
    Message read() throws IOException {
        int end = headEnd();
        if (end < 0) {
            return null;
        }
        String head = new String(buffer, readPosition, end - readPosition, StandardCharsets.ISO_8859_1);
        readPosition = end + 4;
        Message withoutBody = new Message(head, 0);
        String length = withoutBody.field("Content-Length");
        int body = length == null ? 0 : Integer.parseInt(length);
        for (int remaining = body; remaining > 0; ) {
            if (readPosition == readLimit) {
                fill();
            }
            int n = Math.min(remaining, readLimit - readPosition);
            readPosition += n;
            remaining -= n;
        }
        return new Message(head, body);
    }

    Socket socket() {
        return socket;
    }

    /** Closes the sending direction. */
    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Waits for the next byte; returns true if the peer has ended the connection instead. */
    boolean awaitEnd() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException | javax.net.ssl.SSLException reset) {
            return true;
        }
    }

    /** Returns the offset at which the blank line begins; negative if the connection ended between two messages. */
    private int headEnd() throws IOException {
        if (readPosition == readLimit && !refill()) {
            return -1;
        }
        for (int length = 0; ; length++) {
            while (readPosition + length + 4 > readLimit) {
                fill();
            }
            int at = readPosition + length;
            if (buffer[at] == '\r' && buffer[at + 1] == '\n' && buffer[at + 2] == '\r' && buffer[at + 3] == '\n') {
                return at;
            }
        }
    }

    /**
     * Discards the buffer, which has been read completely, and reads into it; returns false at the end of the stream.
     */
    private boolean refill() throws IOException {
        readPosition = 0;
        readLimit = 0;
        int n = in.read(buffer);
        readLimit = Math.max(0, n);
        return n >= 0;
    }

    /** Reads more bytes behind those not consumed yet; fails at the end of the stream. */
    private void fill() throws IOException {
        if (readPosition > 0) {
            System.arraycopy(buffer, readPosition, buffer, 0, readLimit - readPosition);
            readLimit -= readPosition;
            readPosition = 0;
        }
        int n = in.read(buffer, readLimit, buffer.length - readLimit);
        if (n < 0) {
            throw new EOFException("connection ended within a message");
        }
        readLimit += n;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
