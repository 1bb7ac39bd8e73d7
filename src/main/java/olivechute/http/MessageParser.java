package olivechute.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import olivechute.memory.MemoryAllowance;
import olivechute.memory.MemoryReservation;

/**
 * An incremental parser of HTTP/1.1 messages: a state machine without a socket. The caller reads into
 * {@link #inputBuffer}, reports the number of bytes with {@link #onBytesRead}, and gets a message that {@link #parse}
 * completed from {@link #take}; the bytes that follow it are kept for the next message. Bytes stay where they were
 * read: headers are stored as positions, and a body is received once at its final place and not written to again. Only
 * {@link #releaseMessage} allows a message's bytes to be reused, and only the caller knows when nobody needs them. All
 * memory beyond a buffer of {@value #INITIAL_BUFFER_BYTES} bytes is reserved from a {@link MemoryAllowance} before it
 * is allocated. Not thread-safe.
 */
@SuppressWarnings("ByteBufferBackingArray") // the connections allocate the buffers on the heap
public abstract class MessageParser<M> {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Bytes that may be buffered behind a message that is still being processed: the maximum size of one message. */
    public static final int MAX_READ_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES;
    /** Initial size of the buffer, enough for an ordinary message; longer ones are read in pieces. */
    public static final int INITIAL_BUFFER_BYTES = 2048;

    private static final int MAX_READ_BYTES = 8192; // of one read into a body
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_FIELDS = 100;

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
    private final boolean keepsBodies;
    private final MemoryAllowance memory;
    private int bufferReservation; // bytes reserved for buffer
    private int bodyReservation; // bytes reserved for body
    private int takenReservation; // bytes reserved for the message taken last
    private byte[] buffer; // received for the current message, and what may follow it
    private ByteBuffer bufferView; // of buffer, to read into
    private int position; // of the next byte to parse
    private int dataEnd; // end of the bytes received
    private int lineStart; // start of the current line
    private int headEnd; // 0 until the head is complete
    private int headSize; // bytes parsed so far of the head, or of the current chunk line
    private State state = State.START;
    private long remaining; // bytes of the body or of the current chunk that are still to come
    private byte[] body; // null while the body lies in buffer, or without a body
    private ByteBuffer bodyView; // of body while it is read into; null while chunks are appended
    private int bodyOffset;
    private int bodySize;
    private Headers headers = new Headers();
    private boolean isHttp10;
    private boolean closeDelimited;
    private boolean continueSent;
    private byte[] takenBuffer; // buffer and fields of the message taken last
    private Headers takenHeaders;
    private Headers reusableHeaders;

    /** For messages with a body of at most {@link #MAX_BODY_BYTES}, like requests and most of their responses. */
    MessageParser() {
        this(MAX_BODY_BYTES, true, MemoryAllowance.UNLIMITED);
    }

    /**
     * For messages with a body of at most {@code maxBodyBytes}. Without {@code keepsBodies} bodies are read and
     * discarded, and messages have none.
     */
    MessageParser(int maxBodyBytes, boolean keepsBodies, MemoryAllowance memory) {
        this.maxBodyBytes = maxBodyBytes;
        this.keepsBodies = keepsBodies;
        this.memory = memory;
    }

    /** Parses the start line in this range. */
    abstract void parseStartLine(byte[] in, int from, int end) throws HttpException;

    /** True if this message has no body, whatever its fields say. */
    abstract boolean hasNoBody();

    /** True if a message without a length lasts until the connection ends, rather than having no body. */
    abstract boolean mayBeCloseDelimited();

    abstract M createMessage(Headers fields, Body content, boolean keepAlive);

    /**
     * The buffer to read the next bytes into, with room for at least one. Throws an exception with status 503 if the
     * memory for it is not available.
     */
    public final ByteBuffer inputBuffer() throws HttpException {
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
     * Discards the parsed part of a chunked, close-delimited or discarded body; if there is none, copies everything to
     * a larger array. The head stays at its position.
     */
    private void ensureSpace() throws HttpException {
        int keptEnd = headEnd == 0 ? dataEnd : headEnd;
        boolean inBody = state == State.CHUNK || state == State.UNTIL_CLOSE || (state == State.BODY && !keepsBodies);
        int unparsedStart = headEnd == 0 ? dataEnd : inBody ? position : lineStart;
        System.arraycopy(buffer, unparsedStart, buffer, keptEnd, dataEnd - unparsedStart);
        position -= unparsedStart - keptEnd;
        lineStart -= unparsedStart - keptEnd;
        dataEnd -= unparsedStart - keptEnd;
        if (dataEnd == buffer.length) {
            reserve(dataEnd);
            bufferReservation += dataEnd;
            buffer = Arrays.copyOf(buffer, 2 * dataEnd);
            headers.setBuffer(buffer);
        }
    }

    private void reserve(int bytes) throws HttpException {
        if (!memory.tryReserve(bytes)) {
            throw new HttpException(HttpException.MEMORY_EXHAUSTED_STATUS, "no memory for the message");
        }
    }

    /** Reports that {@code count} bytes were read into {@link #inputBuffer}. */
    public final void onBytesRead(int count) {
        if (bodyView != null) {
            bodySize += count;
            remaining -= count;
        } else {
            dataEnd += count;
        }
    }

    /** Parses the bytes received; true once a message is complete. */
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

    /** True if bytes were received that belong to no message yet. */
    public final boolean hasUnparsedBytes() {
        return position < dataEnd;
    }

    /** The number of bytes received that belong to no message yet. */
    public final int unparsedBytes() {
        return dataEnd - position;
    }

    /** Takes bytes up to the end of the message and returns how many: for a caller that has a buffer of its own. */
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

    /** True once a message is complete. */
    public final boolean isComplete() {
        return state == State.DONE;
    }

    /** True once for a message whose sender waits for a 100 Continue before it sends the body. */
    public final boolean shouldSendContinue() {
        boolean awaitsContinue = state == State.BODY
                && bodySize == 0
                && position == dataEnd
                && !continueSent
                && headers.containsToken("Expect", "100-continue");
        continueSent |= awaitsContinue;
        return awaitsContinue;
    }

    /** True while a message has begun and is incomplete. */
    public final boolean isInMessage() {
        return state != State.DONE && (state != State.START || headSize > 0);
    }

    /** The connection ended; true if that completes the message. */
    public final boolean onEndOfInput() {
        if (state == State.UNTIL_CLOSE) {
            state = State.DONE;
            return true;
        }
        return false;
    }

    /**
     * Returns the complete message and prepares for the next one. The message keeps its bytes unless the caller
     * releases it.
     */
    public final M take() {
        boolean keepAlive = !headers.containsToken("Connection", "close")
                && (!isHttp10 || headers.containsToken("Connection", "keep-alive"))
                && !closeDelimited;
        Body content = bodySize == 0 || !keepsBodies
                ? Body.NONE
                : body == null ? new Body(buffer, bodyOffset, bodySize) : new Body(body, 0, bodySize);
        M message = createMessage(headers, content, keepAlive);
        takenBuffer = buffer;
        memory.release(takenReservation);
        takenReservation = bufferReservation + bodyReservation;
        bodyReservation = 0;
        // The next message must not use the bytes of this one, which now belong to it.
        buffer = position < dataEnd
                ? Arrays.copyOfRange(takenBuffer, position, Math.max(position + INITIAL_BUFFER_BYTES, dataEnd))
                : null;
        bufferReservation = buffer == null ? 0 : buffer.length - INITIAL_BUFFER_BYTES;
        memory.add(bufferReservation); // for bytes that were received with the message
        dataEnd = buffer == null ? 0 : dataEnd - position;
        position = 0;
        takenHeaders = headers;
        headers = reusableHeaders == null ? new Headers() : reusableHeaders;
        reusableHeaders = null;
        headers.clear();
        reset();
        return message;
    }

    /**
     * Allows the header fields of the message taken last to be reused, and with {@code includingBody} its buffer too;
     * called once nobody needs them any more. Without {@code includingBody} the caller takes over the memory that is
     * reserved for the message, and releases it once nobody needs the body.
     */
    public final MemoryReservation releaseMessage(boolean includingBody) {
        if (includingBody && buffer == null && takenBuffer.length == INITIAL_BUFFER_BYTES) {
            buffer = takenBuffer;
        }
        takenHeaders.setBuffer(null);
        reusableHeaders = takenHeaders;
        takenBuffer = null;
        takenHeaders = null;
        MemoryReservation reservation = MemoryReservation.of(memory, takenReservation);
        takenReservation = 0;
        if (includingBody) {
            reservation.release();
        }
        return reservation;
    }

    /** Whether the message that is being received holds memory beyond the initial buffer. */
    public final boolean holdsReservedMemory() {
        return bufferReservation + bodyReservation > 0;
    }

    /** Drops all bytes and releases their memory; the parser must not be used afterwards, except to drop it again. */
    public final void discard() {
        memory.release(bufferReservation + bodyReservation + takenReservation);
        bufferReservation = 0;
        bodyReservation = 0;
        takenReservation = 0;
        buffer = null;
        bufferView = null;
        body = null;
        bodyView = null;
        takenBuffer = null;
        takenHeaders = null;
        headers.setBuffer(null);
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

    /** Parses one line, up to its end or to the end of the bytes received. */
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
                    break; // an empty line before a message is ignored
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
        while (colon < end && HttpSyntax.isTokenChar(buffer[colon])) {
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

    /** Accepts HTTP/1.0 and 1.1. */
    final void parseVersion(byte[] bytes, int from, int end) throws HttpException {
        isHttp10 = HttpSyntax.parseMinorVersion(bytes, from, end) == 0;
    }

    /**
     * Determines the length of the body after the last field. Two conflicting ways to state it are rejected, as two
     * readers could see two different messages.
     */
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
            if (keepsBodies && position + length > buffer.length) {
                allocateBody((int) length);
            }
        } else if (length < 0 && mayBeCloseDelimited()) {
            closeDelimited = true;
            state = State.UNTIL_CLOSE;
        } else {
            state = State.DONE;
        }
    }

    /** Allocates an array for a body that does not fit behind its head, and moves there what was received of it. */
    private void allocateBody(int length) throws HttpException {
        reserve(length);
        bodyReservation = length;
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

    /** Appends the bytes received to a chunked or close-delimited body. */
    private void appendBody() throws HttpException {
        int count = state == State.UNTIL_CLOSE ? dataEnd - position : (int) Math.min(remaining, dataEnd - position);
        if (bodySize + count > maxBodyBytes) {
            throw new HttpException(413, "body over " + maxBodyBytes + " bytes");
        }
        if (keepsBodies && (body == null || body.length < bodySize + count)) {
            int capacity = Math.max(INITIAL_BUFFER_BYTES, Math.min(maxBodyBytes, 2 * (bodySize + count)));
            reserve(capacity - INITIAL_BUFFER_BYTES - bodyReservation);
            bodyReservation = capacity - INITIAL_BUFFER_BYTES;
            byte[] larger = new byte[capacity];
            if (body != null) {
                System.arraycopy(body, 0, larger, 0, bodySize);
            }
            body = larger;
        }
        if (keepsBodies) {
            System.arraycopy(buffer, position, body, bodySize, count);
        }
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
        long size = HttpSyntax.parseChunkSize(buffer, from, lineEnd);
        remaining = size;
        headSize = 0;
        if (bodySize + remaining > maxBodyBytes) {
            throw new HttpException(413, "body over " + maxBodyBytes + " bytes");
        }
        state = remaining == 0 ? State.TRAILERS : State.CHUNK;
    }
}
