package olivechute.tls;

import java.nio.ByteBuffer;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;
import javax.net.ssl.SSLException;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.X509Svid;

/**
 * One side of a TLS connection, as a state machine without I/O. The driver reads from the network into
 * {@link #receiveBuffer}, calls {@link #advance}, sends {@link #toSend} and takes plaintext from {@link #received};
 * {@link #send} encrypts plaintext. No plaintext is received or sent before the peer's identity has been verified.
 * Buffers are bounded by the record size of the protocol. Not safe for concurrent use.
 */
public final class TlsStateMachine {
    private static final byte HANDSHAKE_RECORD = 22;
    /** Records that a peer may send in a handshake: more than any handshake needs, too few to keep a core busy. */
    private static final int MAX_HANDSHAKE_RECORDS = 64;

    /**
     * Initial size of a buffer in bytes: enough for ordinary messages, and for all of a handshake except certificates.
     */
    private static final int INITIAL_BUFFER_BYTES = 2048;
    /**
     * Output buffer for one record. The JDK requires room for a record of maximum size; the buffer is kept per thread
     * rather than per connection to save memory.
     */
    private static final ThreadLocal<ByteBuffer> RECORD_BUFFER = new ThreadLocal<>();

    private final SSLEngine engine;
    private final TlsContext context;
    private ByteBuffer inbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // encrypted, from the peer; in write mode
    private ByteBuffer outbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // encrypted, for the peer; in write mode
    private ByteBuffer plaintext = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // decrypted, from the peer; in write mode
    private boolean handshakeStarted;
    private boolean firstByteChecked;
    private boolean closed;
    private int handshakeRecords;
    private X509Svid peer;

    TlsStateMachine(SSLEngine engine, TlsContext context) {
        this.engine = engine;
        this.context = context;
    }

    /** Returns the buffer into which the driver reads the peer's bytes. */
    public ByteBuffer receiveBuffer() {
        return inbound;
    }

    /** Returns true if the receive buffer has space; if not, the driver must first take {@link #received}. */
    public boolean hasReceiveSpace() {
        return inbound.hasRemaining();
    }

    /**
     * Returns true if the state machine holds more for input than its initial buffers, or will with the next call of
     * {@link #advance}: a handshake is in progress, or a record does not fit the initial buffer.
     */
    public boolean needsLargeBuffers() {
        return (!isOpen() && inbound.position() > 0)
                || inbound.capacity() > INITIAL_BUFFER_BYTES
                || plaintext.capacity() > INITIAL_BUFFER_BYTES
                || !inbound.hasRemaining();
    }

    /** Drops all input; {@link #advance} must not be called afterwards. Output can still be sent. */
    public void discardInput() {
        inbound = ByteBuffer.allocate(0);
        plaintext = ByteBuffer.allocate(0);
    }

    /**
     * Processes the bytes in {@link #receiveBuffer} as far as possible. After a {@link TlsException} the driver must
     * send {@link #toSend} and close the connection.
     */
    public void advance() throws TlsException {
        try {
            beginHandshake();
            inbound.flip();
            try {
                if (!firstByteChecked && inbound.hasRemaining()) {
                    firstByteChecked = true;
                    if (inbound.get(0) != HANDSHAKE_RECORD) {
                        closed = true;
                        throw new TlsException("not TLS: the first byte is " + (inbound.get(0) & 0xff));
                    }
                }
                while (step()) {
                    // each step handles one record or one delegated task
                }
            } finally {
                inbound.compact();
                if (plaintext.position() == 0 && plaintext.capacity() > INITIAL_BUFFER_BYTES) {
                    plaintext = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
                }
                if (inbound.position() == 0 && inbound.capacity() > INITIAL_BUFFER_BYTES) {
                    inbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
                } else if (!inbound.hasRemaining()) {
                    inbound = enlarge(
                            inbound,
                            engine.getSession().getPacketBufferSize()); // the rest of a record is still to come
                }
            }
        } catch (SSLException e) {
            closed = true;
            wrapAlerts();
            throw new TlsException(reason(e));
        }
    }

    private static String reason(SSLException e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return String.valueOf(cause.getMessage());
    }

    private void beginHandshake() throws SSLException {
        if (!handshakeStarted) {
            handshakeStarted = true;
            engine.beginHandshake();
        }
    }

    /** Handles one record or delegated task; returns false if no progress is possible. */
    private boolean step() throws SSLException, TlsException {
        HandshakeStatus status = engine.getHandshakeStatus();
        switch (status) {
            case NEED_TASK -> {
                Runnable task = engine.getDelegatedTask();
                if (task != null) {
                    task.run(); // on the connection's own thread, which cannot proceed without it
                }
                return true;
            }
            case NEED_WRAP -> {
                return wrap(ByteBuffer.allocate(0));
            }
            default -> {
                return !closed && inbound.hasRemaining() && unwrap();
            }
        }
    }

    private boolean unwrap() throws SSLException, TlsException {
        SSLEngineResult result = engine.unwrap(inbound, plaintext);
        if (result.getStatus() == Status.BUFFER_OVERFLOW && plaintext.capacity() <= INITIAL_BUFFER_BYTES) {
            plaintext = enlarge(
                    plaintext, INITIAL_BUFFER_BYTES + engine.getSession().getApplicationBufferSize());
            result = engine.unwrap(inbound, plaintext);
        }
        if (result.getStatus() == Status.BUFFER_OVERFLOW || result.getStatus() == Status.BUFFER_UNDERFLOW) {
            return false; // plaintext must be taken first, or more bytes must arrive
        }
        if (peer == null && ++handshakeRecords > MAX_HANDSHAKE_RECORDS) {
            closed = true;
            throw new TlsException("over " + MAX_HANDSHAKE_RECORDS + " records in a handshake");
        }
        checkPeerIfFinished(result);
        if (result.getStatus() == Status.CLOSED) {
            closed = true;
            return engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP;
        }
        return true;
    }

    private boolean wrap(ByteBuffer from) throws SSLException, TlsException {
        SSLEngineResult result = wrapRecord(from);
        checkPeerIfFinished(result);
        return result.getStatus() == Status.OK && (result.bytesProduced() > 0 || result.bytesConsumed() > 0);
    }

    /** Has the engine write one record and appends it to the output. */
    private SSLEngineResult wrapRecord(ByteBuffer from) throws SSLException {
        int maxRecordBytes = engine.getSession().getPacketBufferSize();
        ByteBuffer record = RECORD_BUFFER.get();
        if (record == null || record.capacity() < maxRecordBytes) {
            record = ByteBuffer.allocate(maxRecordBytes);
            RECORD_BUFFER.set(record);
        }
        SSLEngineResult result = engine.wrap(from, record.clear());
        record.flip();
        if (outbound.remaining() < record.remaining()) {
            outbound = enlarge(outbound, Math.max(2 * outbound.capacity(), outbound.position() + record.remaining()));
        }
        outbound.put(record);
        return result;
    }

    private static ByteBuffer enlarge(ByteBuffer buffer, int capacity) {
        return buffer.capacity() >= capacity
                ? buffer
                : ByteBuffer.allocate(capacity).put(buffer.flip());
    }

    /**
     * At the end of each handshake, checks the peer's identity, also in a resumed session, where the JDK does not check
     * it.
     */
    private void checkPeerIfFinished(SSLEngineResult result) throws TlsException, SSLException {
        if (result.getHandshakeStatus() != HandshakeStatus.FINISHED) {
            return;
        }
        try {
            peer = context.checkPeer(engine.getSession());
        } catch (IdentityRejectedException e) {
            closed = true;
            engine.getSession().invalidate();
            engine.closeOutbound();
            wrapAlerts();
            throw new TlsException(e.getMessage());
        }
    }

    /** Writes the engine's remaining output, such as an alert, before the connection ends. */
    private void wrapAlerts() {
        try {
            while (engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP
                    && wrapRecord(ByteBuffer.allocate(0)).bytesProduced() > 0) {
                // an alert takes one record
            }
        } catch (SSLException e) {
            return; // no more output can be produced
        }
    }

    /** Encrypts all of these bytes for sending; allowed only while {@link #isOpen}. */
    public void send(ByteBuffer bytes) throws TlsException {
        if (!isOpen()) {
            throw new TlsException("the connection is not open");
        }
        try {
            while (bytes.hasRemaining()) {
                wrap(bytes);
            }
        } catch (SSLException e) {
            closed = true;
            throw new TlsException(reason(e));
        }
    }

    /** Closes the outbound side with a close_notify alert. */
    public void closeOutbound() {
        engine.closeOutbound();
        closed = true;
        wrapAlerts();
    }

    /** Returns true if there is output to send. */
    public boolean hasToSend() {
        return outbound.position() > 0;
    }

    /** Returns and removes the output for the peer, which the driver must send or copy before the next call. */
    public ByteBuffer toSend() {
        ByteBuffer ready = ByteBuffer.wrap(outbound.array(), 0, outbound.position());
        outbound = outbound.position() == 0 ? outbound : ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        return ready;
    }

    /** Returns and removes the received plaintext; empty until the peer's identity has been verified. */
    public ByteBuffer received() {
        if (peer == null || plaintext.position() == 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer ready = plaintext.flip();
        plaintext = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        return ready;
    }

    /**
     * Returns true from the end of the handshake, with the peer's identity verified, until the connection is closed.
     */
    public boolean isOpen() {
        return peer != null && !closed;
    }

    /** Returns true once no more input is processed. */
    public boolean closed() {
        return closed;
    }

    /** Returns the peer's identity, null until it has been verified. */
    public X509Svid peer() {
        return peer;
    }
}
