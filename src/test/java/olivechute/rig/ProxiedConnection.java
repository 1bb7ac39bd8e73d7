package olivechute.rig;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.net.Threads;

/**
 * One connection through a {@link LinkProxy}. Each direction has a reader thread, a bounded queue and a writer thread.
 */
final class ProxiedConnection {
    private static final int CHUNK_BYTES = 8 * 1024;
    private static final int MAX_QUEUED_CHUNKS = 32;
    private static final Chunk END = new Chunk(new byte[0], 0, false);

    private final Socket client;
    private final Socket target;
    private final Map<LinkProxy.Direction, LinkFaults> faults;
    private final Set<ProxiedConnection> openConnections;
    private final AtomicInteger openDirections = new AtomicInteger(2);

    /**
     * Bytes and the time at which they were read ({@link System#nanoTime}); an empty chunk is the end of the stream,
     * {@code reset} if it ended with an error.
     */
    private record Chunk(byte[] bytes, long receivedAtNs, boolean reset) {}

    ProxiedConnection(
            Socket client,
            Socket target,
            Map<LinkProxy.Direction, LinkFaults> faults,
            Set<ProxiedConnection> openConnections)
            throws IOException {
        this.client = client;
        this.target = target;
        this.faults = faults;
        this.openConnections = openConnections;
        client.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
    }

    void start() {
        forward(client, target, faults.get(LinkProxy.Direction.TO_TARGET));
        forward(target, client, faults.get(LinkProxy.Direction.FROM_TARGET));
    }

    private void forward(Socket from, Socket to, LinkFaults directionFaults) {
        ArrayBlockingQueue<Chunk> queue = new ArrayBlockingQueue<>(MAX_QUEUED_CHUNKS);
        Thread writer = Threads.start("link-write", () -> write(queue, to, directionFaults));
        Threads.start("link-read", () -> read(from, queue, writer));
    }

    private void read(Socket from, ArrayBlockingQueue<Chunk> queue, Thread writer) {
        byte[] buffer = new byte[CHUNK_BYTES];
        try {
            Chunk last = END;
            try {
                for (int n = from.getInputStream().read(buffer);
                        n >= 0;
                        n = from.getInputStream().read(buffer)) {
                    put(queue, new Chunk(Arrays.copyOf(buffer, n), System.nanoTime(), false), writer);
                }
            } catch (IOException broken) {
                last = new Chunk(END.bytes(), System.nanoTime(), true);
            }
            put(queue, last, writer);
        } catch (InterruptedException e) {
            reset();
        }
    }

    /** Enqueues a chunk; gives up once the writer has ended. */
    private static void put(ArrayBlockingQueue<Chunk> queue, Chunk chunk, Thread writer) throws InterruptedException {
        while (!queue.offer(chunk, 1, java.util.concurrent.TimeUnit.SECONDS)) {
            if (!writer.isAlive()) {
                return;
            }
        }
    }

    private void write(ArrayBlockingQueue<Chunk> queue, Socket to, LinkFaults directionFaults) {
        long lastForwardedNs = System.nanoTime();
        int bytes = 0;
        try {
            for (Chunk chunk = queue.take(); ; chunk = queue.take()) {
                for (int at = 0; at < chunk.bytes().length; at += bytes) {
                    directionFaults.awaitPass(chunk.receivedAtNs(), lastForwardedNs, bytes);
                    bytes = directionFaults.maxChunk(chunk.bytes().length - at);
                    to.getOutputStream().write(chunk.bytes(), at, bytes);
                    lastForwardedNs = System.nanoTime();
                }
                if (chunk.bytes().length == 0) {
                    directionFaults.awaitPass(chunk.receivedAtNs(), lastForwardedNs, bytes);
                    end(to, chunk.reset());
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            reset();
        }
    }

    private void end(Socket to, boolean broken) throws IOException {
        if (broken) {
            reset();
            return;
        }
        to.shutdownOutput();
        if (openDirections.decrementAndGet() == 0) {
            openConnections.remove(this);
            LinkProxy.closeQuietly(client);
            LinkProxy.closeQuietly(target);
        }
    }

    /** Resets the connections on both sides. */
    void reset() {
        openConnections.remove(this);
        resetOne(client);
        resetOne(target);
    }

    static void resetOne(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            return; // already closed
        } finally {
            LinkProxy.closeQuietly(socket);
        }
    }
}
