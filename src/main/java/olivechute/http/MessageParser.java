package olivechute.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * HTTP/1.1 messages out of bytes as they come: a state machine that knows no socket. Its driver reads into
 * {@link #room}, says how much with {@link #filled}, and has what {@link #whole} finds by {@link #take}; what follows a
 * message stays for the next. Bytes stay where they were read: heads are kept as places, a body is received into its
 * place, once, and is not touched again. {@link #reuse} alone gives a message's bytes back, and only its driver knows
 * when nobody needs them.
 */
@SuppressWarnings("ByteBufferBackingArray") // the buffers are allocated on the heap by the connections
public abstract class MessageParser<M> {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Bytes that may wait behind a message that is not done with: as many as one message takes at most. */
    public static final int MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES;
    /** Room for an ordinary message, and how much of a longer one is read at a time. */
    private static final int INITIAL_BUFFER_BYTES = 2048;

    private static final int MAX_READ_BYTES = 8192;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_FIELDS = 100;
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final boolean[] IS_TOKEN_CHAR = new boolean[128];

    static {
        for (char c = 0; c < IS_TOKEN_CHAR.length; c++) {
            IS_TOKEN_CHAR[c] = (c >= '0' && c <= '9')
                    || (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || TOKEN_PUNCTUATION.indexOf(c) >= 0;
        }
    }

    private enum State {
        START,
        FIELDS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        DONE
    }

    private final int maxBodyBytes;
    private byte[] buffer; // what came of the message under way, and what may follow it
    private ByteBuffer bufferView; // of bytes, for reading into
    private int position;
    private int dataEnd;
    private int lineStart; // where the line under way begins
    private int headEnd; // 0 until it is there
    private int headSize;
    private State state = State.START;
    private long remaining;
    private byte[] body; // null while the body lies in bytes, or for none
    private ByteBuffer bodyView; // of body while it is read into, null where its parts are copied together
    private int bodyOffset;
    private int bodySize;
    private Headers headers = new Headers();
    private boolean isHttp10;
    private boolean closeDelimited;
    private boolean continueSent;
    private byte[] takenBuffer; // the bytes and fields of the message handed out last
    private Headers takenHeaders;
    private Headers reusableHeaders;

    /** For messages with a body of at most {@link #MAX_BODY} bytes, as requests and the answers to them have. */
    MessageParser() {
        this(MAX_BODY_BYTES);
    }

    /** For messages with a body of at most so many bytes. */
    MessageParser(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Reads a start line, which lies at these places. */
    abstract void parseStartLine(byte[] in, int from, int end) throws HttpException;

    /** True if this message has no body whatever its fields say. */
    abstract boolean hasNoBody();

    /** True if a message without a length lasts until the connection ends, rather than having no body. */
    abstract boolean mayBeCloseDelimited();

    abstract M createMessage(Headers fields, Body content, boolean keepAlive);

    /** Where the next bytes are to be read to: at least one fits. */
    public final ByteBuffer inputBuffer() {
        if (bodyView != null) {
            return bodyView.limit(Math.min(body.length, bodySize + MAX_READ_BYTES))
                    .position(bodySize);
        }
        if (buffer == null) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
            bufferView = null;
        } else if (dataEnd == buffer.length) {
            ensureSpace();
        }
        if (bufferView == null || bufferView.array() != buffer) {
            bufferView = ByteBuffer.wrap(buffer);
        }
        return bufferView.limit(buffer.length).position(dataEnd);
    }

    /**
     * Drops what is read of a body in parts; where that is nothing, moves all to a larger array. The head stays in
     * place.
     */
    private void ensureSpace() {
        int keep = headEnd == 0 ? dataEnd : headEnd;
        int from = headEnd == 0 ? dataEnd : state == State.CHUNK || state == State.UNTIL_CLOSE ? position : lineStart;
        System.arraycopy(buffer, from, buffer, keep, dataEnd - from);
        position -= from - keep;
        lineStart -= from - keep;
        dataEnd -= from - keep;
        if (dataEnd == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * dataEnd);
            headers.setBuffer(buffer);
        }
    }

    /** So many bytes were read to {@link #room}. */
    public final void onBytesRead(int count) {
        if (bodyView != null) {
            bodySize += count;
            remaining -= count;
        } else {
            dataEnd += count;
        }
    }

    /** Reads on in what came; true once a whole message is there. */
    public final boolean parse() throws HttpException {
        if (bodyView != null && remaining == 0) {
            bodyView = null;
            state = State.DONE;
        }
        while (position < dataEnd && state != State.DONE && bodyView == null) {
            switch (state) {
                case BODY -> consumeBody();
                case CHUNK, UNTIL_CLOSE -> appendBody();
                default -> parseLine();
            }
        }
        return state == State.DONE;
    }

    /** True if bytes have come that belong to no message yet. */
    public final boolean hasUnparsedBytes() {
        return position < dataEnd;
    }

    /** How many bytes have come that belong to no message yet. */
    public final int unparsedBytes() {
        return dataEnd - position;
    }

    /** Takes bytes up to the end of the message and tells how many: for a driver with bytes of its own. */
    public final int feed(byte[] source, int offset, int length) throws HttpException {
        int consumed = 0;
        while (consumed < length && !parse()) {
            ByteBuffer target = inputBuffer();
            int count = Math.min(target.remaining(), length - consumed);
            target.put(source, offset + consumed, count);
            onBytesRead(count);
            consumed += count;
        }
        if (parse()) {
            consumed -= dataEnd - position;
            dataEnd = position;
        }
        return consumed;
    }

    /** True once a whole message is there. */
    public final boolean isComplete() {
        return state == State.DONE;
    }

    /** True once for a message whose sender waits to be told to go on before it sends the body. */
    public final boolean shouldSendContinue() {
        boolean awaitsContinue = state == State.BODY
                && bodySize == 0
                && position == dataEnd
                && !continueSent
                && headers.containsToken("Expect", "100-continue");
        continueSent |= awaitsContinue;
        return awaitsContinue;
    }

    /** True while a message has begun and not ended. */
    public final boolean isInMessage() {
        return state != State.DONE && (state != State.START || headSize > 0);
    }

    /** The connection ended: true if that completes the message. */
    public final boolean onEndOfInput() {
        if (state == State.UNTIL_CLOSE) {
            state = State.DONE;
            return true;
        }
        return false;
    }

    /**
     * Hands out the whole message and makes ready for the next. It keeps the bytes that it lies in, unless its driver
     * gives them back.
     */
    public final M take() {
        boolean keepAlive = !headers.containsToken("Connection", "close")
                && (!isHttp10 || headers.containsToken("Connection", "keep-alive"))
                && !closeDelimited;
        Body content = bodySize == 0
                ? Body.NONE
                : body == null ? new Body(buffer, bodyOffset, bodySize) : new Body(body, 0, bodySize);
        M message = createMessage(headers, content, keepAlive);
        byte[] messageBuffer = buffer;
        // What follows must not lie in the message's bytes: those are its own from now on.
        buffer = position < dataEnd
                ? Arrays.copyOfRange(messageBuffer, position, Math.max(position + INITIAL_BUFFER_BYTES, dataEnd))
                : null;
        dataEnd = buffer == null ? 0 : dataEnd - position;
        position = 0;
        takenBuffer = messageBuffer;
        takenHeaders = headers;
        headers = reusableHeaders == null ? new Headers() : reusableHeaders;
        reusableHeaders = null;
        headers.clear();
        reset();
        return message;
    }

    /** Nobody needs the message handed out last any more; {@code bodyToo}: nor its body. */
    public final void releaseMessage(boolean includingBody) {
        if (includingBody && buffer == null) {
            buffer = takenBuffer;
        }
        reusableHeaders = takenHeaders;
        takenBuffer = null;
        takenHeaders = null;
    }

    private void reset() {
        state = State.START;
        lineStart = 0;
        headEnd = 0;
        headSize = 0;
        body = null;
        bodyView = null;
        bodySize = 0;
        closeDelimited = false;
        continueSent = false;
    }

    /** Reads lines until one needs more bytes or the body begins. */
    private void parseLine() throws HttpException {
        boolean chunked = state == State.CHUNK_SIZE || state == State.CHUNK_END;
        int maxBytes = chunked ? MAX_CHUNK_LINE_BYTES : MAX_HEAD_BYTES;
        for (int i = position; i < dataEnd; i++) {
            byte b = buffer[i];
            if (++headSize > maxBytes) {
                throw new HttpException(chunked ? 400 : 431, "head or line too long");
            }
            if (i > lineStart && buffer[i - 1] == '\r') {
                if (b != '\n') {
                    throw new HttpException(400, "CR without LF");
                }
                position = i + 1;
                int from = lineStart;
                lineStart = position;
                onLine(from, i - 1);
                return;
            }
            if ((b >= 0 && b < ' ' && b != '\t' && b != '\r') || b == 127) {
                throw new HttpException(400, "control character in head");
            }
        }
        position = dataEnd;
    }

    private void onLine(int from, int end) throws HttpException {
        switch (state) {
            case START -> {
                if (from == end && headSize <= 4) {
                    break; // a stray empty line before a message
                }
                headers.setBuffer(buffer);
                parseStartLine(buffer, from, end);
                state = State.FIELDS;
            }
            case FIELDS -> {
                if (from == end) {
                    parseFraming();
                } else {
                    parseField(from, end);
                }
            }
            case CHUNK_SIZE -> parseChunkSize(from, end);
            case CHUNK_END -> {
                if (from != end) {
                    throw new HttpException(400, "chunk longer than its size");
                }
                beginChunk();
            }
            case TRAILERS -> {
                if (from == end) {
                    state = State.DONE;
                }
            }
            default -> throw new IllegalStateException(state.toString());
        }
    }

    private void parseField(int from, int end) throws HttpException {
        if (headers.count() == MAX_FIELDS) {
            throw new HttpException(431, "too many fields");
        }
        int colon = from;
        while (colon < end && isTokenChar(buffer[colon])) {
            colon++;
        }
        if (colon == from || colon == end || buffer[colon] != ':') {
            throw new HttpException(400, "bad field line");
        }
        int valueStart = colon + 1;
        while (valueStart < end && Headers.isBlank(buffer[valueStart])) {
            valueStart++;
        }
        int valueEnd = end;
        while (valueEnd > valueStart && Headers.isBlank(buffer[valueEnd - 1])) {
            valueEnd--;
        }
        headers.add(from, colon, valueStart, valueEnd);
    }

    static boolean isTokenChar(byte b) {
        return b >= 0 && IS_TOKEN_CHAR[b];
    }

    /** HTTP/1.0 and 1.1 are understood. */
    final void parseVersion(byte[] bytes, int from, int end) throws HttpException {
        boolean wellFormed = end - from == 8
                && bytes[from] == 'H'
                && bytes[from + 1] == 'T'
                && bytes[from + 2] == 'T'
                && bytes[from + 3] == 'P'
                && bytes[from + 4] == '/'
                && isDigit(bytes[from + 5])
                && bytes[from + 6] == '.'
                && isDigit(bytes[from + 7]);
        if (!wellFormed) {
            throw new HttpException(400, "bad version");
        }
        if (bytes[from + 5] != '1') {
            throw new HttpException(505, "unknown version");
        }
        isHttp10 = bytes[from + 7] == '0';
    }

    static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    static String decodeLatin1(byte[] bytes, int from, int end) {
        return new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
    }

    /** After the last field: how long the body is. Two ways to tell would let two readers see two messages. */
    private void parseFraming() throws HttpException {
        headEnd = position;
        boolean hasTransferEncoding = headers.contains("Transfer-Encoding");
        if (hasTransferEncoding && (headers.contains("Content-Length") || isHttp10)) {
            throw new HttpException(400, "length and transfer coding");
        }
        long length = headers.parseNumber("Content-Length");
        if (hasTransferEncoding
                && (headers.hasSeveral("Transfer-Encoding")
                        || !headers.firstValueEquals("Transfer-Encoding", "chunked"))) {
            throw new HttpException(501, "unknown transfer coding");
        }
        if (hasNoBody()) {
            state = State.DONE;
        } else if (hasTransferEncoding) {
            beginChunk();
        } else if (length > maxBodyBytes) {
            throw new HttpException(413, "body over " + maxBodyBytes + " bytes");
        } else if (length > 0) {
            remaining = length;
            bodyOffset = position;
            state = State.BODY;
            if (position + length > buffer.length) {
                allocateBody((int) length);
            }
        } else if (length < 0 && mayBeCloseDelimited()) {
            closeDelimited = true;
            state = State.UNTIL_CLOSE;
        } else {
            state = State.DONE;
        }
    }

    /** A body that has no place behind its head gets one of its own; what of it is there already moves there. */
    private void allocateBody(int length) {
        body = new byte[length];
        bodySize = dataEnd - position;
        System.arraycopy(buffer, position, body, 0, bodySize);
        remaining -= bodySize;
        position = dataEnd;
        bodyView = ByteBuffer.wrap(body);
    }

    private void consumeBody() {
        int count = (int) Math.min(remaining, dataEnd - position);
        position += count;
        remaining -= count;
        bodySize += count;
        if (remaining == 0) {
            state = State.DONE;
        }
    }

    /** A part of a body that comes in parts of its own goes to the others. */
    private void appendBody() throws HttpException {
        int count = state == State.UNTIL_CLOSE ? dataEnd - position : (int) Math.min(remaining, dataEnd - position);
        if (bodySize + count > maxBodyBytes) {
            throw new HttpException(413, "body over " + maxBodyBytes + " bytes");
        }
        if (body == null || body.length < bodySize + count) {
            byte[] larger = new byte[Math.max(INITIAL_BUFFER_BYTES, Math.min(maxBodyBytes, 2 * (bodySize + count)))];
            if (body != null) {
                System.arraycopy(body, 0, larger, 0, bodySize);
            }
            body = larger;
        }
        System.arraycopy(buffer, position, body, bodySize, count);
        bodySize += count;
        position += count;
        if (state != State.UNTIL_CLOSE) {
            remaining -= count;
            if (remaining == 0) {
                lineStart = position;
                state = State.CHUNK_END;
            }
        }
    }

    private void beginChunk() {
        headSize = 0;
        lineStart = position;
        state = State.CHUNK_SIZE;
    }

    private void parseChunkSize(int from, int lineEnd) throws HttpException {
        int end = from;
        while (end < lineEnd && buffer[end] != ';') {
            end++;
        }
        int start = from;
        while (start < end && Headers.isBlank(buffer[start])) {
            start++;
        }
        while (end > start && Headers.isBlank(buffer[end - 1])) {
            end--;
        }
        if (end == start || end - start > 8) {
            throw new HttpException(400, "bad chunk size");
        }
        long size = 0;
        for (int i = start; i < end; i++) {
            int digit = Character.digit(buffer[i], 16);
            if (buffer[i] < 0 || digit < 0) {
                throw new HttpException(400, "bad chunk size");
            }
            size = 16 * size + digit;
        }
        remaining = size;
        headSize = 0;
        if (bodySize + remaining > maxBodyBytes) {
            throw new HttpException(413, "body over " + maxBodyBytes + " bytes");
        }
        state = remaining == 0 ? State.TRAILERS : State.CHUNK;
    }
}
