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
    private static final int SEND_BUFFER = 32 * 1024;

    private static final int STRAY = 512;

    /** Milliseconds: how long a connection and a write may take, and the least and most wait between tries. */
    record Limits(long connect, long write, long leastWait, long mostWait) {
        static final Limits USUAL = new Limits(2000, 2000, 200, 5000);
    }

    private final InetSocketAddress supervisor;
    private final MetricsSnapshot.Origin origin;
    private final Limits limits;
    private final Backoff backoff;
    private final AtomicReference<MetricsSnapshot> newest = new AtomicReference<>();
    private final Selector selector;
    private final ByteBuffer stray = ByteBuffer.allocate(STRAY);
    private volatile boolean ending;
    private SocketChannel channel; // null while there is no connection; the thread's, as the rest
    private SelectionKey key;

    MetricsSender(InetSocketAddress supervisor, MetricsSnapshot.Origin origin, Limits limits, RandomGenerator random)
            throws IOException {
        this.supervisor = supervisor;
        this.origin = origin;
        this.limits = limits;
        this.backoff = new Backoff(limits.leastWait(), limits.mostWait(), random);
        this.selector = Selector.open();
    }

    /** Returns its thread, which lasts until {@link #end}. */
    Thread start() {
        return Threads.start("figures", this::run);
    }

    /** Takes a snapshot to send; never waits. */
    void offer(MetricsSnapshot snapshot) {
        newest.set(snapshot);
        selector.wakeup();
    }

    /** Sends what was handed in, if the supervisor is there, and then no more. */
    void end() {
        ending = true;
        selector.wakeup();
    }

    private void run() {
        try (selector) {
            MetricsSnapshot unsent = null;
            for (; ; ) {
                boolean last = ending; // looked at before the slot: what came before the end is sent
                unsent = newer(unsent);
                if (unsent == null && last) {
                    return;
                } else if (unsent == null) {
                    await();
                } else if (connected() && sent(unsent = newer(unsent))) {
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
            drop();
        }
    }

    /** The snapshot that waits, if one does. */
    private MetricsSnapshot newer(MetricsSnapshot unsent) {
        MetricsSnapshot next = newest.getAndSet(null);
        return next == null ? unsent : next;
    }

    /** Until a snapshot is there or the connection ends: the supervisor says nothing on it. */
    private void await() throws IOException {
        if (key != null) {
            key.interestOps(SelectionKey.OP_READ);
        }
        select(0);
        if (key == null || !key.isReadable()) {
            return;
        }
        try {
            stray.clear();
            if (channel.read(stray) < 0) {
                drop();
            }
        } catch (IOException e) {
            drop();
        }
    }

    private void select(long millis) throws IOException {
        selector.select(millis);
        selector.selectedKeys().clear();
    }

    /** Waits so long, through snapshots that come meanwhile, but not into the end. */
    private void pause(long millis) throws IOException {
        long end = System.nanoTime() + millis * 1_000_000;
        for (long left = millis; left > 0 && !ending; left = (end - System.nanoTime()) / 1_000_000) {
            select(left);
        }
    }

    private boolean sent(MetricsSnapshot snapshot) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            snapshot.message(origin).writeDelimitedTo(bytes);
            return within(written(ByteBuffer.wrap(bytes.toByteArray())));
        } catch (IOException e) {
            return failed(e);
        }
    }

    /** True if there is a connection, or is one now. */
    private boolean connected() {
        try {
            return channel != null || within(dialled());
        } catch (IOException e) {
            return failed(e);
        }
    }

    private boolean within(boolean time) {
        if (!time) {
            Logger.warn("figures: {} does not take them in time", supervisor);
            drop();
        }
        return time;
    }

    private boolean failed(IOException e) {
        Logger.debug("figures: {}: {}", supervisor, e.getMessage());
        drop();
        return false;
    }

    private boolean dialled() throws IOException {
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER);
        key = channel.register(selector, 0);
        long end = System.nanoTime() + limits.connect() * 1_000_000;
        for (boolean open = channel.connect(supervisor); !open; open = channel.finishConnect()) {
            if (!waited(SelectionKey.OP_CONNECT, end)) {
                return false;
            }
        }
        return true;
    }

    private boolean written(ByteBuffer bytes) throws IOException {
        long end = System.nanoTime() + limits.write() * 1_000_000;
        for (channel.write(bytes); bytes.hasRemaining(); channel.write(bytes)) {
            if (!waited(SelectionKey.OP_WRITE, end)) {
                return false;
            }
        }
        return true;
    }

    /** Waits for the connection, at most until then, as a new snapshot wakes too; false if the time is over. */
    private boolean waited(int operation, long end) throws IOException {
        key.interestOps(operation);
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            return false;
        }
        select(left);
        return true;
    }

    private void drop() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            Logger.debug("figures: {}", e.getMessage());
        }
        channel = null;
        key = null;
    }
}
