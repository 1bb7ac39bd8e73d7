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
 * One side of a TLS connection, fed bytes. Its driver reads into {@link #room}, has {@link #work} make something of it,
 * sends {@link #toSend} and takes {@link #received}; {@link #send} makes plain bytes ready to be sent. Nothing is
 * received or sent before the peer's identity holds. Buffers are bounded by the protocol's records. For one thread at a
 * time.
 */
public final class TlsStateMachine {
    private static final byte HANDSHAKE_RECORD = 22;
    /** Records of a handshake that a peer may send: more than any needs, fewer than would keep a core busy. */
    private static final int MAX_HANDSHAKE_RECORDS = 64;

    /** What a buffer holds at first: ordinary messages, and all of a handshake but certificates. */
    private static final int INITIAL_BUFFER_BYTES = 2048;
    /**
     * The platform writes no record to less than a whole one's room: each thread has that once, not each connection.
     */
    private static final ThreadLocal<ByteBuffer> RECORD_BUFFER = new ThreadLocal<>();

    private final SSLEngine engine;
    private final TlsContext context;
    private ByteBuffer inbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // from the peer, to be written to
    private ByteBuffer outbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // for the peer, to be written to
    private ByteBuffer plaintext = ByteBuffer.allocate(INITIAL_BUFFER_BYTES); // from the peer, to be written to
    private boolean handshakeStarted;
    private boolean firstByteChecked;
    private boolean closed;
    private int handshakeRecords;
    private X509Svid peer;

    TlsStateMachine(SSLEngine engine, TlsContext context) {
        this.engine = engine;
        this.context = context;
    }

    /** Where the peer's bytes are to be read to. */
    public ByteBuffer receiveBuffer() {
        return inbound;
    }

    /** True if bytes can be read; if not, what is received is to be taken first. */
    public boolean hasReceiveSpace() {
        return inbound.hasRemaining();
    }

    /**
     * Goes on as far as it can with what was read to {@link #room}. A {@link TlsException} ends the connection, once
     * what is to be sent is sent.
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
                        throw new TlsException("no TLS: its first byte is " + (inbound.get(0) & 0xff));
                    }
                }
                while (step()) {
                    // one record or one task after the other
                }
            } finally {
                inbound.compact();
                if (inbound.position() == 0 && inbound.capacity() > INITIAL_BUFFER_BYTES) {
                    inbound = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
                } else if (!inbound.hasRemaining()) {
                    inbound = enlarge(
                            inbound, engine.getSession().getPacketBufferSize()); // the rest of a record is to come
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

    /** One record or task; false if there is nothing to go on with. */
    private boolean step() throws SSLException, TlsException {
        HandshakeStatus status = engine.getHandshakeStatus();
        switch (status) {
            case NEED_TASK -> {
                Runnable task = engine.getDelegatedTask();
                if (task != null) {
                    task.run(); // on the connection's own thread: it has nothing else to do until then
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
            return false; // what is received must be taken, or more must come
        }
        if (peer == null && ++handshakeRecords > MAX_HANDSHAKE_RECORDS) {
            closed = true;
            throw new TlsException("over " + MAX_HANDSHAKE_RECORDS + " records of a handshake");
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

    /** Has the engine write one record, and adds it to what is to be sent. */
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
     * At the end of each handshake the peer's identity is judged, whether the platform asked for it or took it from a
     * former session.
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

    /** What the engine still has to say to a peer that is let go. */
    private void wrapAlerts() {
        try {
            while (engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP
                    && wrapRecord(ByteBuffer.allocate(0)).bytesProduced() > 0) {
                // an alert takes one record
            }
        } catch (SSLException e) {
            return; // nothing more to say
        }
    }

    /** Makes plain bytes ready to be sent, all of them; only once {@link #open}. */
    public void send(ByteBuffer bytes) throws TlsException {
        if (!isOpen()) {
            throw new TlsException("not open");
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

    /** Says that no more will come from this side. */
    public void closeOutbound() {
        engine.closeOutbound();
        closed = true;
        wrapAlerts();
    }

    /** True if something is to be sent. */
    public boolean hasToSend() {
        return outbound.position() > 0;
    }

    /** Hands out what is to be sent to the peer, which the driver must send or copy before it goes on. */
    public ByteBuffer toSend() {
        ByteBuffer ready = ByteBuffer.wrap(outbound.array(), 0, outbound.position());
        outbound = outbound.position() == 0 ? outbound : ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        return ready;
    }

    /** Hands out what the peer said, in plain bytes; empty until its identity holds. */
    public ByteBuffer received() {
        if (peer == null || plaintext.position() == 0) {
            return ByteBuffer.allocate(0);
        }
        ByteBuffer ready = plaintext.flip();
        plaintext = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        return ready;
    }

    /** True from the end of the handshake, its identity judged, to the connection's end. */
    public boolean isOpen() {
        return peer != null && !closed;
    }

    /** True once nothing more is read. */
    public boolean closed() {
        return closed;
    }

    /** Who the peer is, null until that is settled. */
    public X509Svid peer() {
        return peer;
    }
}
