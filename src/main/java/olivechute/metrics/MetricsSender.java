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
 * Sends the newest snapshot to the supervisor over one connection, on a thread of its own; who hands in snapshots never
 * waits. A newer one takes the place of one that waits. A supervisor that is not there, or does not read, is tried
 * again after a bounded while.
 */
final class MetricsSender {
    /** Small: what a supervisor that stands still has not read is old. */
    private static final int SEND_BUFFER_BYTES = 32 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 512;

    /** Milliseconds: how long a connection and a write may take, and the least and most wait between tries. */
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
    private SocketChannel channel; // null while there is no connection; the thread's, as the rest
    private SelectionKey selectionKey;

    MetricsSender(InetSocketAddress supervisor, MetricsSnapshot.Origin origin, Limits limits, RandomGenerator random)
            throws IOException {
        this.supervisor = supervisor;
        this.origin = origin;
        this.limits = limits;
        this.backoff = new Backoff(limits.minBackoffMs(), limits.maxBackoffMs(), random);
        this.selector = Selector.open();
    }

    /** Returns its thread, which lasts until {@link #end}. */
    Thread start() {
        return Threads.start("figures", this::run);
    }

    /** Takes a snapshot to send; never waits. */
    void offer(MetricsSnapshot snapshot) {
        pendingSnapshot.set(snapshot);
        selector.wakeup();
    }

    /** Sends what was handed in, if the supervisor is there, and then no more. */
    void shutDown() {
        shuttingDown = true;
        selector.wakeup();
    }

    private void run() {
        try (selector) {
            MetricsSnapshot unsent = null;
            for (; ; ) {
                boolean last = shuttingDown; // looked at before the slot: what came before the end is sent
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
            Logger.error(e, "figures end");
        } finally {
            closeConnection();
        }
    }

    /** The snapshot that waits, if one does. */
    private MetricsSnapshot takePendingOr(MetricsSnapshot unsent) {
        MetricsSnapshot pending = pendingSnapshot.getAndSet(null);
        return pending == null ? unsent : pending;
    }

    /** Until a snapshot is there or the connection ends: the supervisor says nothing on it. */
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

    /** Waits so long, through snapshots that come meanwhile, but not into the end. */
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

    /** True if there is a connection, or is one now. */
    private boolean ensureConnected() {
        try {
            return channel != null || closeIfTimedOut(connect());
        } catch (IOException e) {
            return handleFailure(e);
        }
    }

    private boolean closeIfTimedOut(boolean inTime) {
        if (!inTime) {
            Logger.warn("figures: {} does not take them in time", supervisor);
            closeConnection();
        }
        return inTime;
    }

    private boolean handleFailure(IOException e) {
        Logger.debug("figures: {}: {}", supervisor, e.getMessage());
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

    /** Waits for the connection, at most until then, as a new snapshot wakes too; false if the time is over. */
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
            Logger.debug("figures: {}", e.getMessage());
        }
        channel = null;
        selectionKey = null;
    }
}
