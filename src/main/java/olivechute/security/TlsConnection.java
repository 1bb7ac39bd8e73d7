package olivechute.security;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SvidManager;
import olivechute.identity.X509Check;
import olivechute.identity.X509Svid;
import olivechute.memory.MemoryAllowance;
import olivechute.memory.MemoryExhaustedException;
import olivechute.net.Connection;
import olivechute.net.TimedReads;
import olivechute.tls.TlsException;
import olivechute.tls.TlsStateMachine;

/**
 * A blocking TLS connection that drives a {@link TlsStateMachine}. One thread performs the handshake and then reads;
 * others may write. The state machine is guarded by its own monitor. Its output is sent in order under
 * {@code writeLock}; the reader takes that lock only when there is output, so that it does not block on a peer that
 * does not read.
 */
@SuppressWarnings({"ReferenceEquality", "ByteBufferBackingArray"
}) // states are compared by reference to detect a change; the buffers are allocated on the heap here
final class TlsConnection extends Connection {
    /** A head and a body of up to this many bytes together are sent as one TLS record; more is encrypted in parts. */
    private static final int MAX_JOINED_BYTES = 16 * 1024;
    /**
     * Memory for input beyond the initial buffers: a handshake message of the maximum size that the JDK accepts, or one
     * record as received and as plaintext.
     */
    private static final int LARGE_BUFFERS_BYTES = 48 * 1024;

    private static final int NO_TIMEOUT = 0;

    /**
     * Checks whether a connection may be used with its authenticated peer; throws an {@link IOException} with the
     * reason if not.
     */
    interface PeerCheck {
        void check(X509Svid peer) throws IOException;
    }

    private interface TlsAction {
        void run() throws TlsException;
    }

    private final IdentityManager identities;
    private final IdentityManager.ActiveIdentity ownIdentity;
    private final TlsStateMachine stateMachine;
    private final Semaphore handshakePermits;
    private final PeerCheck peerCheck;
    private final Object writeLock = new Object();
    private MemoryAllowance memory = MemoryAllowance.UNLIMITED;
    private int reservedBytes; // for input; used by the reading thread only
    private ByteBuffer plaintext = ByteBuffer.allocate(0); // used by the reading thread only
    private final int acceptTimeoutMillis; // 0 for an outgoing connection
    private volatile SvidManager.State checkedState; // the state against which the peer was last accepted
    private volatile boolean peerRejected;

    private TlsConnection(
            SocketChannel channel,
            IdentityManager identities,
            IdentityManager.ActiveIdentity ownIdentity,
            TlsStateMachine stateMachine,
            Semaphore handshakePermits,
            int acceptTimeoutMillis,
            PeerCheck peerCheck) {
        super(channel);
        this.identities = identities;
        this.ownIdentity = ownIdentity;
        this.stateMachine = stateMachine;
        this.handshakePermits = handshakePermits;
        this.acceptTimeoutMillis = acceptTimeoutMillis;
        this.peerCheck = peerCheck;
    }

    /** Wraps an accepted connection, whose handshake must complete within {@code handshakeTimeoutMillis}. */
    static TlsConnection server(
            SocketChannel channel, IdentityManager identities, Semaphore handshakePermits, int handshakeTimeoutMillis)
            throws IOException {
        IdentityManager.ActiveIdentity own = identities.active();
        return new TlsConnection(
                channel, identities, own, own.context().server(), handshakePermits, handshakeTimeoutMillis, peer -> {});
    }

    /**
     * Creates an unconnected connection for the peer of this name. Sessions are resumed only with a peer of the same
     * name.
     */
    static TlsConnection client(
            IdentityManager identities, Semaphore handshakePermits, String name, PeerCheck peerCheck)
            throws IOException {
        IdentityManager.ActiveIdentity own = identities.active();
        // The JDK caches sessions by name and port; the name alone identifies the peer, so the port is the same for
        // all.
        return new TlsConnection(
                SocketChannel.open(), identities, own, own.context().client(name, 1), handshakePermits, 0, peerCheck);
    }

    /** Connects and performs the handshake, both together within {@code timeoutMillis}. */
    @Override
    public void connect(InetSocketAddress address, int timeoutMillis) throws IOException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        super.connect(address, timeoutMillis);
        super.initialize();
        handshake(deadlineNanos, timeoutMillis);
    }

    @Override
    public void initialize() throws IOException {
        if (acceptTimeoutMillis > 0) {
            super.initialize();
            handshake(System.nanoTime() + acceptTimeoutMillis * 1_000_000L, acceptTimeoutMillis);
        }
    }

    private void handshake(long deadlineNanos, int timeoutMillis) throws IOException {
        // Read before the handshake, so that the next check of the peer notices a change of the bundles during it.
        SvidManager.State state = identities.state();
        try {
            InputStream in = socket().getInputStream();
            boolean sendsFirst = acceptTimeoutMillis == 0; // the client sends before it reads
            while (sendsFirst || !stateMachine.isOpen()) {
                if (!sendsFirst) {
                    socket().setSoTimeout(remainingMillis(deadlineNanos, timeoutMillis));
                    ByteBuffer buffer = stateMachine.receiveBuffer();
                    int n = TimedReads.read(in, buffer.array(), buffer.position(), buffer.remaining());
                    if (n < 0) {
                        throw new EOFException("connection closed during the handshake");
                    }
                    buffer.position(buffer.position() + n);
                    reserveLargeBuffers();
                }
                sendsFirst = false;
                advanceWithPermit(deadlineNanos, timeoutMillis);
            }
            peerCheck.check(stateMachine.peer());
            checkedState = state;
        } catch (IOException e) {
            RejectionLog.log(socket().getRemoteSocketAddress(), e.getMessage());
            throw e;
        }
    }

    @Override
    public void limitMemory(MemoryAllowance allowance) {
        memory = allowance;
    }

    /**
     * Reserves memory before the state machine allocates its large buffers, and releases it once it has none. Called by
     * the reading thread, which holds no lock, as this may wait.
     */
    private void reserveLargeBuffers() throws MemoryExhaustedException {
        boolean needed;
        synchronized (stateMachine) {
            needed = stateMachine.needsLargeBuffers();
        }
        if (needed && reservedBytes == 0) {
            if (!memory.tryReserve(LARGE_BUFFERS_BYTES)) {
                throw new MemoryExhaustedException("a TLS record");
            }
            reservedBytes = LARGE_BUFFERS_BYTES;
        } else if (!needed && reservedBytes > 0) {
            releaseReserved();
        }
    }

    private void releaseReserved() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    @Override
    public void discardReceived() {
        plaintext = ByteBuffer.allocate(0);
        synchronized (stateMachine) {
            stateMachine.discardInput();
        }
        releaseReserved();
    }

    private static int remainingMillis(long deadlineNanos, int timeoutMillis) throws IOException {
        long remaining = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remaining <= 0) {
            throw new SocketTimeoutException("no handshake within " + timeoutMillis + " ms");
        }
        return (int) remaining;
    }

    /** Performs one step of the handshake once a permit is free, which bounds how many run at once. */
    private void advanceWithPermit(long deadlineNanos, int timeoutMillis) throws IOException {
        try {
            if (!handshakePermits.tryAcquire(remainingMillis(deadlineNanos, timeoutMillis), TimeUnit.MILLISECONDS)) {
                throw new SocketTimeoutException("too many handshakes at once for " + timeoutMillis + " ms");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        try {
            advance();
        } finally {
            handshakePermits.release();
        }
    }

    /** Advances the state machine and sends its output, also a final alert when it has failed. */
    private void advance() throws IOException {
        boolean hasOutput;
        TlsException failure = null;
        synchronized (stateMachine) {
            try {
                stateMachine.advance();
            } catch (TlsException e) {
                failure = e;
            }
            hasOutput = stateMachine.hasToSend();
        }
        if (hasOutput) {
            send(() -> {});
        }
        if (failure != null) {
            throw new IOException(failure.getMessage());
        }
    }

    /** Has the state machine produce output and sends it after all earlier output. */
    private void send(TlsAction action) throws IOException {
        synchronized (writeLock) {
            ByteBuffer out;
            synchronized (stateMachine) {
                try {
                    action.run();
                } catch (TlsException e) {
                    throw new IOException(e.getMessage());
                }
                out = stateMachine.toSend();
            }
            super.write(out);
        }
    }

    /** Returns the peer's identity; valid only after the handshake. */
    X509Svid peer() {
        return stateMachine.peer();
    }

    /** Returns true if the node's identity under which this connection was made has expired. */
    boolean isOwnIdentityExpired() {
        return identities.now().isAfter(ownIdentity.identity().svid().notAfter());
    }

    /**
     * Returns false once the peer's identity or this node's has expired, or once the current trust bundles no longer
     * accept the peer. The chain is checked again only when the bundles have changed; a peer that was rejected stays
     * rejected.
     */
    @Override
    public boolean isPeerIdentityValid() {
        SvidManager.State checked = checkedState;
        if (checked == null) {
            return true; // the handshake is in progress and has its own timeout
        }
        Instant now = identities.now();
        if (peerRejected
                || isOwnIdentityExpired()
                || now.isAfter(stateMachine.peer().notAfter())) {
            return false;
        }
        SvidManager.State state = identities.state();
        if (state != checked) {
            try {
                X509Check.check(stateMachine.peer().chain(), state.bundles(), now);
                checkedState = state;
            } catch (IdentityRejectedException e) {
                peerRejected = true;
                RejectionLog.log(
                        socket().getRemoteSocketAddress(),
                        stateMachine.peer().id() + " is no longer valid: " + e.getMessage());
                return false;
            }
        }
        return true;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        return read(into, NO_TIMEOUT);
    }

    @Override
    public int readWithin(ByteBuffer into, int timeoutMillis) throws IOException {
        return read(into, timeoutMillis);
    }

    private int read(ByteBuffer into, int timeoutMillis) throws IOException {
        while (!plaintext.hasRemaining()) {
            reserveLargeBuffers();
            advance();
            synchronized (stateMachine) {
                plaintext = stateMachine.received();
                if (!plaintext.hasRemaining() && stateMachine.closed()) {
                    return -1;
                }
            }
            if (!plaintext.hasRemaining()) {
                int n = timeoutMillis == NO_TIMEOUT
                        ? super.read(stateMachine.receiveBuffer())
                        : super.readWithin(stateMachine.receiveBuffer(), timeoutMillis);
                if (n < 0) {
                    throw new EOFException("connection closed without a TLS close_notify");
                }
                if (n == 0 && timeoutMillis != NO_TIMEOUT) {
                    return 0;
                }
            }
        }
        int n = Math.min(into.remaining(), plaintext.remaining());
        into.put(plaintext.slice().limit(n));
        plaintext.position(plaintext.position() + n);
        return n;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
        int end = bytes.limit();
        synchronized (writeLock) {
            while (bytes.position() < end) {
                bytes.limit(Math.min(end, bytes.position() + MAX_JOINED_BYTES));
                send(() -> stateMachine.send(bytes));
            }
        }
    }

    @Override
    public void write(ByteBuffer head, ByteBuffer body) throws IOException {
        if (head.remaining() + body.remaining() <= MAX_JOINED_BYTES) {
            write(ByteBuffer.allocate(head.remaining() + body.remaining())
                    .put(head)
                    .put(body)
                    .flip());
            return;
        }
        synchronized (writeLock) {
            write(head);
            write(body);
        }
    }

    @Override
    public boolean hasUnreadInput() {
        return plaintext.hasRemaining() || super.hasUnreadInput();
    }

    @Override
    public void shutdownOutput() throws IOException {
        send(stateMachine::closeOutbound);
        super.shutdownOutput();
    }
}
