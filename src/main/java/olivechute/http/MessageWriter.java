package olivechute.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;

/** Encodes HTTP/1.1 messages. */
public final class MessageWriter {
    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(100, "Continue"),
            Map.entry(200, "OK"),
            Map.entry(204, "No Content"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(501, "Not Implemented"),
            Map.entry(502, "Bad Gateway"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(505, "HTTP Version Not Supported"));

    private MessageWriter() {}

    /** A response; {@code fields} are names and values in turn, a null value omits its field. */
    public static byte[] response(int status, byte[] body, boolean keepAlive, String... fields) {
        ByteBuilder head = new ByteBuilder(96 + (body == null ? 0 : body.length))
                .append("HTTP/1.1 ")
                .append(status)
                .append(" ")
                .append(REASON_PHRASES.getOrDefault(status, "Status"));
        if (!keepAlive) {
            head.append("\r\nConnection: close");
        }
        return finish(head, status == 204 || status < 200 ? null : body, fields);
    }

    /** A request; {@code fields} as in a response. */
    public static byte[] request(String method, String target, String host, byte[] body, String... fields) {
        return finish(
                new ByteBuilder(192)
                        .append(method)
                        .append(" ")
                        .append(target)
                        .append(" HTTP/1.1\r\nHost: ")
                        .append(host),
                body,
                fields);
    }

    private static byte[] finish(ByteBuilder head, byte[] body, String... fields) {
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                head.append("\r\n").append(fields[i]).append(": ").append(fields[i + 1]);
            }
        }
        if (body != null) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        head.append("\r\n\r\n");
        return body == null ? head.toByteArray() : head.append(body).toByteArray();
    }

    /** The head of a response whose body is sent separately. */
    public static ByteBuffer responseHead(int status, int contentLength, boolean keepAlive) {
        ByteBuilder head = new ByteBuilder(96)
                .append("HTTP/1.1 ")
                .append(status)
                .append(" ")
                .append(REASON_PHRASES.getOrDefault(status, "Status"));
        if (!keepAlive) {
            head.append("\r\nConnection: close");
        }
        return head.append("\r\nContent-Length: ")
                .append(contentLength)
                .append("\r\n\r\n")
                .toByteBuffer();
    }

    /**
     * The head of a request to an endpoint, whose body is sent separately; {@code remainingUs} is microseconds,
     * {@code idempotencyKey} may be null.
     */
    public static ByteBuffer upstreamRequestHead(
            String target, String host, String requestId, long remainingUs, String idempotencyKey, int contentLength) {
        ByteBuilder head = new ByteBuilder(
                        192 + target.length() + (idempotencyKey == null ? 0 : idempotencyKey.length()))
                .append("POST ")
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\nX-Txn: ")
                .append(requestId)
                .append("\r\nX-Remaining: ")
                .append(remainingUs)
                .append("u");
        if (idempotencyKey != null) {
            head.append("\r\nIdempotency-Key: ").append(idempotencyKey);
        }
        return head.append("\r\nContent-Length: ")
                .append(contentLength)
                .append("\r\n\r\n")
                .toByteBuffer();
    }

    /** Builds Latin-1 text as bytes, without an intermediate string. */
    private static final class ByteBuilder {
        private byte[] bytes;
        private int size;

        ByteBuilder(int capacity) {
            bytes = new byte[capacity];
        }

        private void ensureCapacity(int additional) {
            if (size + additional > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + additional));
            }
        }

        @SuppressWarnings("deprecation") // the only call that copies a string's bytes into an array in place
        ByteBuilder append(String text) {
            ensureCapacity(text.length());
            text.getBytes(0, text.length(), bytes, size);
            size += text.length();
            return this;
        }

        ByteBuilder append(byte[] additional) {
            ensureCapacity(additional.length);
            System.arraycopy(additional, 0, bytes, size, additional.length);
            size += additional.length;
            return this;
        }

        ByteBuilder append(long number) {
            int digits = 1;
            for (long quotient = number / 10; quotient > 0; quotient /= 10) {
                digits++;
            }
            ensureCapacity(digits);
            size += digits;
            long quotient = number;
            for (int i = 1; i <= digits; i++) {
                bytes[size - i] = (byte) ('0' + quotient % 10);
                quotient /= 10;
            }
            return this;
        }

        byte[] toByteArray() {
            return bytes.length == size ? bytes : Arrays.copyOf(bytes, size);
        }

        ByteBuffer toByteBuffer() {
            return ByteBuffer.wrap(bytes, 0, size);
        }
    }
}
