package olivechute.metrics;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import olivechute.net.Backoff;
import olivechute.net.Threads;
import org.tinylog.Logger;

/**
 * Sends the newest snapshot to the supervisor over one connection, on a thread of its own, so that the event loop,
 * which offers the snapshots, never waits. A newer snapshot replaces one that is still waiting. If the supervisor is
 * absent or does not read, sending is retried after a bounded backoff.
 */
final class MetricsSender {
    /** Kept small, because data that a stalled supervisor has not read is outdated. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 512;

    /** Timeouts of a connection and of a write, and bounds of the backoff between attempts, in milliseconds. */
    record Limits(long connectTimeoutMs, long writeTimeoutMs, long minBackoffMs, long maxBackoffMs) {
        static final Limits DEFAULT = new Limits(2000, 2000, 200, 5000);
    }

    private final InetSocketAddress supervisor;
    private final MetricsSnapshot.Origin origin;
    private final Limits limits;
    private final Backoff backoff;
    private final AtomicReference<MetricsSnapshot> pendingSnapshot = new AtomicReference<>();
    private final Selector selector;
    private final ByteBuffer discardBuffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
    private volatile boolean shuttingDown;
    private SocketChannel channel; // null while disconnected; used by the sender's thread only, as is the rest
    private SelectionKey selectionKey;

    MetricsSender(InetSocketAddress supervisor, MetricsSnapshot.Origin origin, Limits limits, RandomGenerator random)
            throws IOException {
        this.supervisor = supervisor;
        this.origin = origin;
        this.limits = limits;
        this.backoff = new Backoff(limits.minBackoffMs(), limits.maxBackoffMs(), random);
        this.selector = Selector.open();
    }

    /** Starts the sender's thread and returns it; it runs until {@link #shutDown}. */
    Thread start() {
        return Threads.start("figures", this::run);
    }

    /** Sets the next snapshot to send; never waits. */
    void offer(MetricsSnapshot snapshot) {
        pendingSnapshot.set(snapshot);
        selector.wakeup();
    }

    /** Makes the thread send the waiting snapshot, if the supervisor is reachable, and then end. */
    void shutDown() {
        shuttingDown = true;
        selector.wakeup();
    }

    private void run() {
        try (selector) {
            MetricsSnapshot unsent = null;
            for (; ; ) {
                boolean last = shuttingDown; // read first, so that a snapshot offered before shutDown is sent
                unsent = takePendingOr(unsent);
                if (unsent == null && last) {
                    return;
                } else if (unsent == null) {
                    awaitSnapshotOrClose();
                } else if (ensureConnected() && send(unsent = takePendingOr(unsent))) {
                    unsent = null;
                    backoff.reset();
                } else if (last) {
                    return;
                } else {
                    pause(backoff.nextDelayMillis());
                }
            }
        } catch (IOException e) {
            Logger.error(e, "metrics: sender failed");
        } finally {
            closeConnection();
        }
    }

    /** Returns the pending snapshot, or the given one if there is none. */
    private MetricsSnapshot takePendingOr(MetricsSnapshot unsent) {
        MetricsSnapshot pending = pendingSnapshot.getAndSet(null);
        return pending == null ? unsent : pending;
    }

    /**
     * Waits until there is a snapshot or the connection ends. The supervisor sends nothing, so anything it does send is
     * discarded.
     */
    private void awaitSnapshotOrClose() throws IOException {
        if (selectionKey != null) {
            selectionKey.interestOps(SelectionKey.OP_READ);
        }
        select(0);
        if (selectionKey == null || !selectionKey.isReadable()) {
            return;
        }
        try {
            discardBuffer.clear();
            if (channel.read(discardBuffer) < 0) {
                closeConnection();
            }
        } catch (IOException e) {
            closeConnection();
        }
    }

    private void select(long millis) throws IOException {
        selector.select(millis);
        selector.selectedKeys().clear();
    }

    /** Waits for the given time even if snapshots arrive meanwhile, but stops at shutdown. */
    private void pause(long millis) throws IOException {
        long deadlineNanos = System.nanoTime() + millis * 1_000_000;
        for (long remainingMillis = millis;
                remainingMillis > 0 && !shuttingDown;
                remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000) {
            select(remainingMillis);
        }
    }

    private boolean send(MetricsSnapshot snapshot) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            snapshot.toMessage(origin).writeDelimitedTo(bytes);
            return closeIfTimedOut(write(ByteBuffer.wrap(bytes.toByteArray())));
        } catch (IOException e) {
            return handleFailure(e);
        }
    }

    /** Connects if there is no connection; false if that fails or times out. */
    private boolean ensureConnected() {
        try {
            return channel != null || closeIfTimedOut(connect());
        } catch (IOException e) {
            return handleFailure(e);
        }
    }

    private boolean closeIfTimedOut(boolean inTime) {
        if (!inTime) {
            Logger.warn("metrics: connecting or writing to {} timed out", supervisor);
            closeConnection();
        }
        return inTime;
    }

    private boolean handleFailure(IOException e) {
        Logger.debug("metrics: {}: {}", supervisor, e.getMessage());
        closeConnection();
        return false;
    }

    private boolean connect() throws IOException {
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        selectionKey = channel.register(selector, 0);
        long deadlineNanos = System.nanoTime() + limits.connectTimeoutMs() * 1_000_000;
        for (boolean connected = channel.connect(supervisor); !connected; connected = channel.finishConnect()) {
            if (!awaitOperation(SelectionKey.OP_CONNECT, deadlineNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean write(ByteBuffer bytes) throws IOException {
        long deadlineNanos = System.nanoTime() + limits.writeTimeoutMs() * 1_000_000;
        for (channel.write(bytes); bytes.hasRemaining(); channel.write(bytes)) {
            if (!awaitOperation(SelectionKey.OP_WRITE, deadlineNanos)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Waits for the operation until the deadline or until a new snapshot wakes the selector; false if the deadline has
     * passed.
     */
    private boolean awaitOperation(int operation, long deadlineNanos) throws IOException {
        selectionKey.interestOps(operation);
        long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (remainingMillis <= 0) {
            return false;
        }
        select(remainingMillis);
        return true;
    }

    private void closeConnection() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            Logger.debug("metrics: {}", e.getMessage());
        }
        channel = null;
        selectionKey = null;
    }
}
