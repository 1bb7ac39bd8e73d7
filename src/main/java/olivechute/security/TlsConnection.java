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
import olivechute.net.Connection;
import olivechute.net.TimedReads;
import olivechute.tls.TlsException;
import olivechute.tls.TlsStateMachine;

/**
 * A connection in TLS: the driver of a {@link TlsStateMachine}. One thread shakes hands and then reads, others may
 * write. The machine is guarded by itself; what it has to send leaves in its order under {@code writing}, and a reader
 * takes that only when it has something to send, so that it waits for no peer that does not read.
 */
@SuppressWarnings({"ReferenceEquality", "ByteBufferBackingArray"
}) // identity of the one message under way; the buffers are allocated on the heap here
final class TlsConnection extends Connection {
    /** Head and body up to this size leave as one record. */
    private static final int TOGETHER = 16 * 1024;

    /**
     * Settles with whom a connection is to be, once that is known; an {@link IOException} says why not with this one.
     */
    interface Wanted {
        void check(X509Svid peer) throws IOException;
    }

    private interface Said {
        void by() throws TlsException;
    }

    private final IdentityManager identities;
    private final IdentityManager.Own own;
    private final TlsStateMachine machine;
    private final Semaphore gate;
    private final Wanted wanted;
    private final Object writing = new Object();
    private ByteBuffer received = ByteBuffer.allocate(0); // the reader's
    private final int acceptMillis; // 0 for one that is dialled
    private volatile SvidManager.State judged; // under which the peer held last
    private volatile boolean lapsed;

    private TlsConnection(
            SocketChannel channel,
            IdentityManager identities,
            IdentityManager.Own own,
            TlsStateMachine machine,
            Semaphore gate,
            int acceptMillis,
            Wanted wanted) {
        super(channel);
        this.identities = identities;
        this.own = own;
        this.machine = machine;
        this.gate = gate;
        this.acceptMillis = acceptMillis;
        this.wanted = wanted;
    }

    /** For a connection that was accepted; its handshake must be over after so long. */
    static TlsConnection accepted(SocketChannel channel, IdentityManager identities, Semaphore gate, int millis)
            throws IOException {
        IdentityManager.Own own = identities.own();
        return new TlsConnection(channel, identities, own, own.context().accepted(), gate, millis, peer -> {});
    }

    /** For one to be dialled; sessions are resumed with the peer of the same name only. */
    static TlsConnection dialled(IdentityManager identities, Semaphore gate, String name, Wanted wanted)
            throws IOException {
        IdentityManager.Own own = identities.own();
        return new TlsConnection(
                SocketChannel.open(), identities, own, own.context().dialled(name, 1), gate, 0, wanted);
    }

    /** Dials and shakes hands, all within this time. */
    @Override
    public void connect(InetSocketAddress address, int millis) throws IOException {
        long end = System.nanoTime() + millis * 1_000_000L;
        super.connect(address, millis);
        super.initialize();
        handshake(end, millis);
    }

    @Override
    public void initialize() throws IOException {
        if (acceptMillis > 0) {
            super.initialize();
            handshake(System.nanoTime() + acceptMillis * 1_000_000L, acceptMillis);
        }
    }

    private void handshake(long end, int millis) throws IOException {
        SvidManager.State state = identities.state();
        try {
            InputStream in = socket().getInputStream();
            boolean first = acceptMillis == 0;
            while (first || !machine.open()) {
                if (!first) {
                    socket().setSoTimeout(left(end, millis));
                    ByteBuffer room = machine.room();
                    int n = TimedReads.read(in, room.array(), room.position(), room.remaining());
                    if (n < 0) {
                        throw new EOFException("ended within the handshake");
                    }
                    room.position(room.position() + n);
                }
                first = false;
                compute(end, millis);
            }
            wanted.check(machine.peer());
            judged = state;
        } catch (IOException e) {
            RejectionLog.log(socket().getRemoteSocketAddress(), e.getMessage());
            throw e;
        }
    }

    private static int left(long end, int millis) throws IOException {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            throw new SocketTimeoutException("no handshake within " + millis + " ms");
        }
        return (int) left;
    }

    /** One step of a handshake, among as many at once as the gate lets through. */
    private void compute(long end, int millis) throws IOException {
        try {
            if (!gate.tryAcquire(left(end, millis), TimeUnit.MILLISECONDS)) {
                throw new SocketTimeoutException("too many handshakes at once for " + millis + " ms");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        try {
            work();
        } finally {
            gate.release();
        }
    }

    /** Has the machine go on, and sends what it has to say, also where that is an alert and the end. */
    private void work() throws IOException {
        boolean speaks;
        TlsException fault = null;
        synchronized (machine) {
            try {
                machine.work();
            } catch (TlsException e) {
                fault = e;
            }
            speaks = machine.hasToSend();
        }
        if (speaks) {
            send(() -> {});
        }
        if (fault != null) {
            throw new IOException(fault.getMessage());
        }
    }

    /** Has the machine say something, and sends it behind all that was to be sent before. */
    private void send(Said said) throws IOException {
        synchronized (writing) {
            ByteBuffer out;
            synchronized (machine) {
                try {
                    said.by();
                } catch (TlsException e) {
                    throw new IOException(e.getMessage());
                }
                out = machine.toSend();
            }
            super.write(out);
        }
    }

    /** Who the peer is; to be asked once the handshake is over. */
    X509Svid peer() {
        return machine.peer();
    }

    /** True if our own identity, under which this connection was made, has run out. */
    boolean ownLapsed() {
        return identities.now().isAfter(own.identity().svid().notAfter());
    }

    /**
     * False once the peer's identity or ours has run out, or the bundles in force vouch for it no more. Bundles are
     * looked at when they have changed; a withdrawn peer stays so.
     */
    @Override
    public boolean isPeerIdentityValid() {
        SvidManager.State under = judged;
        if (under == null) {
            return true; // its handshake is under way, and has its own time
        }
        Instant now = identities.now();
        if (lapsed || ownLapsed() || now.isAfter(machine.peer().notAfter())) {
            return false;
        }
        SvidManager.State state = identities.state();
        if (state != under) {
            try {
                X509Check.check(machine.peer().chain(), state.bundles(), now);
                judged = state;
            } catch (IdentityRejectedException e) {
                lapsed = true;
                RejectionLog.log(
                        socket().getRemoteSocketAddress(), machine.peer().id() + " holds no more: " + e.getMessage());
                return false;
            }
        }
        return true;
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
        return read(into, true);
    }

    @Override
    public int readAvailable(ByteBuffer into) throws IOException {
        return read(into, false);
    }

    private int read(ByteBuffer into, boolean waits) throws IOException {
        while (!received.hasRemaining()) {
            work();
            synchronized (machine) {
                received = machine.received();
                if (!received.hasRemaining() && machine.closed()) {
                    return -1;
                }
            }
            if (!received.hasRemaining()) {
                int n = waits ? super.read(machine.room()) : super.readAvailable(machine.room());
                if (n < 0) {
                    throw new EOFException("ended without a word of leave");
                }
                if (n == 0 && !waits) {
                    return 0;
                }
            }
        }
        int n = Math.min(into.remaining(), received.remaining());
        into.put(received.slice().limit(n));
        received.position(received.position() + n);
        return n;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
        send(() -> machine.send(bytes));
    }

    @Override
    public void write(ByteBuffer head, ByteBuffer body) throws IOException {
        if (head.remaining() + body.remaining() <= TOGETHER) {
            write(ByteBuffer.allocate(head.remaining() + body.remaining())
                    .put(head)
                    .put(body)
                    .flip());
            return;
        }
        synchronized (writing) {
            write(head);
            write(body);
        }
    }

    @Override
    public boolean hasUnreadInput() {
        return received.hasRemaining() || super.hasUnreadInput();
    }

    @Override
    public void shutdownOutput() throws IOException {
        send(machine::finish);
        super.shutdownOutput();
    }
}
