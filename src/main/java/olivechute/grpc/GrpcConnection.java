package olivechute.grpc;

import static olivechute.grpc.Http2Frame.ACK;
import static olivechute.grpc.Http2Frame.CONTINUATION;
import static olivechute.grpc.Http2Frame.DATA;
import static olivechute.grpc.Http2Frame.END_HEADERS;
import static olivechute.grpc.Http2Frame.END_STREAM;
import static olivechute.grpc.Http2Frame.GOAWAY;
import static olivechute.grpc.Http2Frame.HEADERS;
import static olivechute.grpc.Http2Frame.HEADER_BYTES;
import static olivechute.grpc.Http2Frame.INITIAL_WINDOW;
import static olivechute.grpc.Http2Frame.MAX_PAYLOAD_BYTES;
import static olivechute.grpc.Http2Frame.PADDED;
import static olivechute.grpc.Http2Frame.PING;
import static olivechute.grpc.Http2Frame.PRIORITY;
import static olivechute.grpc.Http2Frame.PUSH_PROMISE;
import static olivechute.grpc.Http2Frame.RST_STREAM;
import static olivechute.grpc.Http2Frame.SETTINGS;
import static olivechute.grpc.Http2Frame.WINDOW_UPDATE;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http2.hpack.HPackDecoder;
import org.apache.hc.core5.http2.hpack.HPackEncoder;
import org.apache.hc.core5.http2.hpack.HPackException;
import org.apache.hc.core5.util.ByteArrayBuffer;

/**
 * One side of a gRPC connection over HTTP/2, as a state machine without I/O. The driver passes received bytes to
 * {@link #feed} and sends {@link #toSend}; calls, messages and stream ends are reported to a {@link Listener}. Frames,
 * header blocks, messages and pending output are bounded. Not safe for concurrent use.
 */
public final class GrpcConnection {
    private static final byte[] PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Initial window of the connection and of each stream, RFC 9113. */
    private static final int DEFAULT_WINDOW_BYTES = 65_535;

    /** Receive window of this side, for the connection and for each stream. */
    private static final int RECEIVE_WINDOW_BYTES = 1 << 20;

    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    private static final int MAX_HEADER_BLOCK_BYTES = 32 * 1024; // of an encoded header block
    private static final int MAX_HEADER_LIST_BYTES = 64 * 1024; // of a decoded header list
    private static final int MAX_STREAMS = 64;
    private static final int MAX_PENDING_BYTES = 4 << 20;
    /** Prefix of a gRPC message: one byte for compression, four for the length. */
    private static final int MESSAGE_PREFIX_BYTES = 5;

    /** Receives the peer's events; called within {@link #feed}. */
    public interface Listener {
        /** The headers of an incoming call or of a response. */
        void onHeaders(int stream, Map<String, String> headers);

        /** A complete message. */
        void onMessage(int stream, byte[] body);

        /**
         * The peer sends no more on this stream. The trailers are empty if it sent none, and hold the key {@code reset}
         * with the error code if it reset the stream.
         */
        void onEnd(int stream, Map<String, String> trailers);
    }

    private final Listener listener;
    private final boolean client;
    private final HPackEncoder encoder = new HPackEncoder(4096, StandardCharsets.US_ASCII);
    private final HPackDecoder decoder = new HPackDecoder(4096, StandardCharsets.US_ASCII);
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Map<Integer, Stream> streams = new TreeMap<>();
    private byte[] in = new byte[2 * (HEADER_BYTES + MAX_PAYLOAD_BYTES)];
    private int bufferedBytes;
    private int prefaceBytesLeft; // bytes of the client's connection preface that the server has not received yet
    private int nextStream = 1;
    private int headerBlockStream; // the stream whose header block is incomplete, 0 for none
    private boolean headerBlockEndsStream;
    private final ByteArrayOutputStream headerBlock = new ByteArrayOutputStream();
    private long sendWindow = DEFAULT_WINDOW_BYTES; // bytes that may be sent on the connection
    private int initialSendWindow = DEFAULT_WINDOW_BYTES; // bytes that may be sent on a new stream
    private int pendingBytes;

    private static final class Stream {
        final ByteArrayOutputStream partialMessage = new ByteArrayOutputStream();
        final ByteArrayOutputStream pending = new ByteArrayOutputStream();
        boolean endPending; // the stream ends after the pending bytes
        Map<String, String> trailers; // sent at the end, null for none
        long sendWindow;
    }

    private GrpcConnection(boolean client, Listener listener) {
        this.client = client;
        this.listener = listener;
        this.prefaceBytesLeft = client ? 0 : PREFACE.length;
        decoder.setMaxListSize(MAX_HEADER_LIST_BYTES);
        if (client) {
            out.writeBytes(PREFACE);
        }
        writeFrame(
                SETTINGS,
                0,
                0,
                ByteBuffer.allocate(6)
                        .putShort((short) INITIAL_WINDOW)
                        .putInt(RECEIVE_WINDOW_BYTES)
                        .array());
        writeFrame(WINDOW_UPDATE, 0, 0, int32(RECEIVE_WINDOW_BYTES - DEFAULT_WINDOW_BYTES));
    }

    /** Creates the side that makes calls. */
    public static GrpcConnection client(Listener listener) {
        return new GrpcConnection(true, listener);
    }

    /** Creates the side that serves calls. */
    public static GrpcConnection server(Listener listener) {
        return new GrpcConnection(false, listener);
    }

    /** Returns and removes the bytes to be sent to the peer. */
    public byte[] toSend() {
        byte[] ready = out.toByteArray();
        out.reset();
        return ready;
    }

    // ---- sending --------------------------------------------------------------------------------------------

    /** Calls a method with one request message and this metadata; returns the id of the stream. */
    public int call(String authority, String path, Map<String, String> metadata, byte[] request) throws GrpcException {
        int stream = nextStream;
        nextStream += 2;
        addStream(stream);
        Map<String, String> headers = new LinkedHashMap<>(Map.of());
        headers.put(":method", "POST");
        headers.put(":scheme", "http");
        headers.put(":path", path);
        headers.put(":authority", authority);
        headers.put("te", "trailers");
        headers.put("content-type", "application/grpc");
        headers.putAll(metadata);
        writeHeaders(stream, headers, false);
        sendMessage(stream, request);
        finish(stream, null);
        return stream;
    }

    /** Sends the headers of a response. */
    public void sendResponseHeaders(int stream) throws GrpcException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(":status", "200");
        headers.put("content-type", "application/grpc");
        writeHeaders(stream, headers, false);
    }

    private void writeHeaders(int stream, Map<String, String> headers, boolean ends) throws GrpcException {
        try {
            ByteArrayBuffer encoded = new ByteArrayBuffer(256);
            for (Map.Entry<String, String> each : headers.entrySet()) {
                encoder.encodeHeader(encoded, each.getKey(), each.getValue(), false);
            }
            if (encoded.length() > MAX_PAYLOAD_BYTES) {
                throw new GrpcException("headers over " + MAX_PAYLOAD_BYTES + " bytes");
            }
            writeFrame(HEADERS, END_HEADERS | (ends ? END_STREAM : 0), stream, encoded.toByteArray());
        } catch (CharacterCodingException e) {
            throw new GrpcException("headers: " + e.getMessage());
        }
    }

    /** Sends a message as far as the peer's window allows; the rest follows when the window grows. */
    public void sendMessage(int stream, byte[] body) throws GrpcException {
        Stream s = streams.get(stream);
        if (s == null || s.endPending) {
            return; // the stream was reset or has ended
        }
        pendingBytes += MESSAGE_PREFIX_BYTES + body.length;
        if (pendingBytes > MAX_PENDING_BYTES) {
            throw new GrpcException("over " + MAX_PENDING_BYTES + " bytes are pending for the peer");
        }
        s.pending.write(0);
        s.pending.writeBytes(int32(body.length));
        s.pending.writeBytes(body);
        flush(stream, s);
    }

    /** Ends the stream from this side after the pending bytes, with these trailers; null for none. */
    public void finish(int stream, Map<String, String> trailers) throws GrpcException {
        Stream s = streams.get(stream);
        if (s != null && !s.endPending) {
            s.endPending = true;
            s.trailers = trailers;
            flush(stream, s);
        }
    }

    private void flush(int stream, Stream s) throws GrpcException {
        byte[] bytes = s.pending.toByteArray();
        int at = 0;
        for (int n = sendableBytes(s, bytes.length); n > 0; n = sendableBytes(s, bytes.length - at)) {
            boolean last = s.endPending && s.trailers == null && at + n == bytes.length;
            writeFrame(DATA, last ? END_STREAM : 0, stream, Arrays.copyOfRange(bytes, at, at + n));
            s.endPending &= !last;
            at += n;
            s.sendWindow -= n;
            sendWindow -= n;
            pendingBytes -= n;
        }
        if (at > 0) {
            s.pending.reset();
            s.pending.write(bytes, at, bytes.length - at);
        }
        if (s.endPending && at == bytes.length) {
            s.endPending = false;
            if (s.trailers == null) {
                writeFrame(DATA, END_STREAM, stream, new byte[0]);
            } else {
                writeHeaders(stream, s.trailers, true);
                streams.remove(stream);
            }
        }
    }

    private int sendableBytes(Stream s, int limit) {
        return (int) Math.max(0, Math.min(Math.min(limit, MAX_PAYLOAD_BYTES), Math.min(s.sendWindow, sendWindow)));
    }

    private void writeFrame(int type, int flags, int stream, byte[] payload) {
        out.write(payload.length >> 16);
        out.write(payload.length >> 8);
        out.write(payload.length);
        out.write(type);
        out.write(flags);
        out.writeBytes(int32(stream));
        out.writeBytes(payload);
    }

    private static byte[] int32(int value) {
        return ByteBuffer.allocate(4).putInt(value).array();
    }

    // ---- receiving ------------------------------------------------------------------------------------------

    /** Processes received bytes; a {@link GrpcException} means that the connection must be closed. */
    public void feed(byte[] bytes, int from, int length) throws GrpcException {
        int at = from;
        int end = from + length;
        while (prefaceBytesLeft > 0 && at < end) {
            if (bytes[at++] != PREFACE[PREFACE.length - prefaceBytesLeft--]) {
                throw new GrpcException("the peer did not send the HTTP/2 connection preface");
            }
        }
        while (at < end) {
            int n = Math.min(end - at, in.length - bufferedBytes);
            System.arraycopy(bytes, at, in, bufferedBytes, n);
            at += n;
            bufferedBytes += n;
            handleFrames();
        }
        if (out.size() > MAX_PENDING_BYTES) {
            throw new GrpcException("the peer requests more responses than it reads");
        }
    }

    private void handleFrames() throws GrpcException {
        int from = 0;
        while (bufferedBytes - from >= HEADER_BYTES) {
            int length = (in[from] & 0xff) << 16 | (in[from + 1] & 0xff) << 8 | (in[from + 2] & 0xff);
            if (length > MAX_PAYLOAD_BYTES) {
                throw new GrpcException("a frame of " + length + " bytes, " + MAX_PAYLOAD_BYTES + " at most");
            }
            if (bufferedBytes - from < HEADER_BYTES + length) {
                break;
            }
            int stream = ByteBuffer.wrap(in, from + 5, 4).getInt() & Integer.MAX_VALUE;
            handleFrame(
                    in[from + 3] & 0xff,
                    in[from + 4] & 0xff,
                    stream,
                    ByteBuffer.wrap(in, from + HEADER_BYTES, length).slice());
            from += HEADER_BYTES + length;
        }
        bufferedBytes -= from;
        System.arraycopy(in, from, in, 0, bufferedBytes);
    }

    private void handleFrame(int type, int flags, int stream, ByteBuffer payload) throws GrpcException {
        if (headerBlockStream != 0 && (type != CONTINUATION || stream != headerBlockStream)) {
            throw new GrpcException("a header block is interrupted by another frame");
        }
        switch (type) {
            case DATA -> handleData(flags, stream, payload);
            case HEADERS -> {
                removePadding(flags, payload);
                if ((flags & PRIORITY) != 0) {
                    skip(payload, 5); // stream dependency and weight
                }
                acceptStream(stream);
                headerBlockStream = stream;
                headerBlockEndsStream = (flags & END_STREAM) != 0;
                handleHeaderFragment(flags, payload);
            }
            case CONTINUATION -> {
                if (headerBlockStream == 0) {
                    throw new GrpcException("a CONTINUATION frame without an open header block");
                }
                handleHeaderFragment(flags, payload);
            }
            case SETTINGS -> handleSettings(flags, payload);
            case PING -> {
                if ((flags & ACK) == 0) {
                    byte[] opaqueData = new byte[payload.remaining()];
                    payload.get(opaqueData);
                    writeFrame(PING, ACK, 0, opaqueData);
                }
            }
            case WINDOW_UPDATE -> handleWindowUpdate(stream, payload);
            case RST_STREAM -> {
                if (streams.containsKey(stream)) {
                    closeStream(
                            stream, Map.of("reset", payload.remaining() == 4 ? String.valueOf(payload.getInt()) : "?"));
                }
            }
            case GOAWAY -> throw new GrpcException("the peer sent GOAWAY");
            case PUSH_PROMISE -> throw new GrpcException("a push promise that was not requested");
            default -> {} // unknown frame types are ignored, as RFC 9113 requires
        }
    }

    private static void skip(ByteBuffer payload, int n) throws GrpcException {
        if (payload.remaining() < n) {
            throw new GrpcException("a frame that is too short");
        }
        payload.position(payload.position() + n);
    }

    private static void removePadding(int flags, ByteBuffer payload) throws GrpcException {
        if ((flags & PADDED) != 0) {
            int paddingBytes = payload.hasRemaining() ? payload.get() & 0xff : 1;
            if (payload.remaining() < paddingBytes) {
                throw new GrpcException("more padding than payload");
            }
            payload.limit(payload.limit() - paddingBytes);
        }
    }

    private void acceptStream(int stream) throws GrpcException {
        if (streams.containsKey(stream)) {
            return;
        }
        if (client || stream % 2 == 0 || stream < nextStream) {
            throw new GrpcException("headers on stream " + stream + ", which is not open");
        }
        if (streams.size() >= MAX_STREAMS) {
            throw new GrpcException("over " + MAX_STREAMS + " streams");
        }
        nextStream = stream + 1;
        addStream(stream);
    }

    private void addStream(int stream) {
        Stream s = new Stream();
        s.sendWindow = initialSendWindow;
        streams.put(stream, s);
    }

    private void handleHeaderFragment(int flags, ByteBuffer payload) throws GrpcException {
        headerBlock.write(payload.array(), payload.arrayOffset() + payload.position(), payload.remaining());
        if (headerBlock.size() > MAX_HEADER_BLOCK_BYTES) {
            throw new GrpcException("headers over " + MAX_HEADER_BLOCK_BYTES + " bytes");
        }
        if ((flags & END_HEADERS) == 0) {
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        try {
            for (Header each : decoder.decodeHeaders(ByteBuffer.wrap(headerBlock.toByteArray()))) {
                headers.put(each.getName(), each.getValue());
            }
        } catch (HPackException | RuntimeException e) {
            throw new GrpcException(
                    "headers that cannot be read: " + e.getMessage()); // the library also throws undeclared exceptions
        }
        headerBlock.reset();
        int stream = headerBlockStream;
        headerBlockStream = 0;
        // A response may consist of trailers only.
        if (client && headerBlockEndsStream) {
            closeStream(stream, headers);
        } else {
            listener.onHeaders(stream, headers);
            if (headerBlockEndsStream) {
                listener.onEnd(stream, Map.of());
            }
        }
    }

    private void closeStream(int stream, Map<String, String> trailers) {
        Stream s = streams.remove(stream);
        pendingBytes -= s == null ? 0 : s.pending.size();
        listener.onEnd(stream, trailers);
    }

    private void handleData(int flags, int stream, ByteBuffer payload) throws GrpcException {
        int length = payload.remaining();
        if (length > 0) {
            writeFrame(WINDOW_UPDATE, 0, 0, int32(length));
        }
        Stream s = streams.get(stream);
        if (s == null) {
            return; // the stream has ended meanwhile
        }
        removePadding(flags, payload);
        if (length > 0) {
            writeFrame(WINDOW_UPDATE, 0, stream, int32(length));
        }
        s.partialMessage.write(payload.array(), payload.arrayOffset() + payload.position(), payload.remaining());
        deliverMessages(stream, s);
        if ((flags & END_STREAM) != 0) {
            if (client) {
                closeStream(stream, Map.of());
            } else {
                listener.onEnd(stream, Map.of());
            }
        }
    }

    private void deliverMessages(int stream, Stream s) throws GrpcException {
        byte[] all = s.partialMessage.toByteArray();
        int at = 0;
        while (all.length - at >= MESSAGE_PREFIX_BYTES) {
            int length = ByteBuffer.wrap(all, at + 1, 4).getInt();
            if (all[at] != 0) {
                throw new GrpcException("a compressed message, but compression was not negotiated");
            }
            if (length < 0 || length > MAX_MESSAGE_BYTES) {
                throw new GrpcException(
                        "a message of " + (length & 0xffffffffL) + " bytes, " + MAX_MESSAGE_BYTES + " at most");
            }
            if (all.length - at < MESSAGE_PREFIX_BYTES + length) {
                break;
            }
            listener.onMessage(
                    stream, Arrays.copyOfRange(all, at + MESSAGE_PREFIX_BYTES, at + MESSAGE_PREFIX_BYTES + length));
            at += MESSAGE_PREFIX_BYTES + length;
        }
        if (at > 0) {
            s.partialMessage.reset();
            s.partialMessage.write(all, at, all.length - at);
        }
    }

    private void handleSettings(int flags, ByteBuffer payload) throws GrpcException {
        if ((flags & ACK) != 0) {
            return;
        }
        while (payload.remaining() >= 6) {
            int key = payload.getShort() & 0xffff;
            int value = payload.getInt();
            if (key == INITIAL_WINDOW) {
                if (value < 0) {
                    throw new GrpcException("a window over 2^31 - 1");
                }
                for (Stream s : streams.values()) {
                    s.sendWindow += value - initialSendWindow;
                }
                initialSendWindow = value;
            }
        }
        writeFrame(SETTINGS, ACK, 0, new byte[0]);
        flushAll();
    }

    private void handleWindowUpdate(int stream, ByteBuffer payload) throws GrpcException {
        if (payload.remaining() != 4) {
            throw new GrpcException("a WINDOW_UPDATE frame whose payload is not 4 bytes");
        }
        int increment = payload.getInt() & Integer.MAX_VALUE;
        if (stream == 0) {
            sendWindow = Math.min(Integer.MAX_VALUE, sendWindow + increment);
        } else if (streams.containsKey(stream)) {
            Stream s = streams.get(stream);
            s.sendWindow = Math.min(Integer.MAX_VALUE, s.sendWindow + increment);
        }
        flushAll();
    }

    private void flushAll() throws GrpcException {
        for (Map.Entry<Integer, Stream> each : Map.copyOf(streams).entrySet()) {
            flush(each.getKey(), each.getValue());
        }
    }
}
