package olivechute.supervisor;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import olivechute.error.ErrorCode;
import olivechute.error.SupervisionException;
import olivechute.fleet.wire.NodeFigures;
import olivechute.net.ConnectionThreads;
import olivechute.net.Threads;
import olivechute.net.TimedReads;
import olivechute.supervisor.MetricsBuffer.UpdateResult;
import org.tinylog.Logger;

/**
 * Accepts connections on which the nodes send their metrics, and puts these into a {@link MetricsBuffer}. Runs a thread
 * that accepts and a thread per connection. A sender that is slow or sends an invalid message is disconnected. The
 * receiver never waits for the store.
 */
final class MetricsReceiver implements AutoCloseable {
    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    private static final int MAX_LENGTH_PREFIX_BYTES = 3;

    private final MetricsBuffer buffer;
    private final Consumer<String> output;
    private final int maxConnections;
    private final int messageTimeoutMs;
    private final ConnectionThreads threads;
    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /**
     * {@code maxConnections}: connections at once, served by {@code threads}; {@code messageTimeoutMs}: milliseconds
     * that a sender has for each message.
     */
    MetricsReceiver(
            InetSocketAddress address,
            MetricsBuffer buffer,
            int maxConnections,
            int messageTimeoutMs,
            ConnectionThreads threads,
            Consumer<String> output)
            throws SupervisionException {
        this.threads = threads;
        this.buffer = buffer;
        this.output = output;
        this.maxConnections = maxConnections;
        this.messageTimeoutMs = messageTimeoutMs;
        try {
            listener = new ServerSocket(address.getPort(), maxConnections, address.getAddress());
        } catch (IOException e) {
            throw new SupervisionException(ErrorCode.NOT_REACHED, "metrics: cannot listen on " + address + ": " + e, e);
        }
        Threads.start("figures", this::accept);
    }

    /** Returns the address that it listens on, as ADDRESS:PORT. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (openSockets.size() >= maxConnections) {
                    Logger.warn(
                            "metrics: connection from {} closed, {} connections are open",
                            socket.getRemoteSocketAddress(),
                            maxConnections);
                    socket.close();
                    continue;
                }
                serveOnThread(socket);
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    Logger.warn("metrics: cannot accept a connection: {}", e.toString());
                }
            }
        }
    }

    /**
     * Serves the connection on a thread. If the system grants no thread, the connection is closed, the sender connects
     * again, and the receiver goes on accepting.
     */
    private void serveOnThread(Socket socket) throws IOException {
        openSockets.add(socket);
        try {
            threads.run(() -> serve(socket));
        } catch (OutOfMemoryError noThread) {
            Logger.warn(
                    "metrics: connection from {} closed, the system grants no thread", socket.getRemoteSocketAddress());
            openSockets.remove(socket);
            socket.close();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (byte[] message = readMessage(socket, in); message != null; message = readMessage(socket, in)) {
                NodeFigures metrics = NodeFigures.parseFrom(message);
                UpdateResult result = buffer.update(metrics);
                if (result == UpdateResult.UNKNOWN_NODE) {
                    throw new SupervisionException(
                            ErrorCode.MALFORMED, "no node of this machine is named '" + metrics.getNode() + "'");
                }
                if (result == UpdateResult.NEW_INCARNATION) {
                    output.accept("figures from " + metrics.getNode());
                }
            }
        } catch (SocketTimeoutException e) {
            Logger.warn(
                    "metrics: connection from {} closed, no message within {} ms",
                    socket.getRemoteSocketAddress(),
                    messageTimeoutMs);
        } catch (InvalidProtocolBufferException | SupervisionException e) {
            Logger.warn("metrics: connection from {} closed: {}", socket.getRemoteSocketAddress(), e.getMessage());
        } catch (IOException e) {
            Logger.debug("metrics: connection from {} ended: {}", socket.getRemoteSocketAddress(), e.toString());
        } finally {
            openSockets.remove(socket);
        }
    }

    /**
     * Reads one message, which is preceded by its length as a varint (7 bits per byte); null at the end of the stream.
     * The timeout applies to the whole message, however many pieces it arrives in.
     */
    private byte[] readMessage(Socket socket, InputStream in) throws IOException, SupervisionException {
        long deadlineNanos = System.nanoTime() + messageTimeoutMs * 1_000_000L;
        int length = 0;
        int shift = 0;
        int nextByte;
        do {
            nextByte = readByte(socket, in, deadlineNanos);
            if (nextByte < 0 && shift == 0) {
                return null;
            }
            if (nextByte < 0 || shift == 7 * MAX_LENGTH_PREFIX_BYTES) {
                throw new SupervisionException(ErrorCode.MALFORMED, "message length is cut off or too long");
            }
            length |= (nextByte & 0x7f) << shift;
            shift += 7;
        } while (nextByte >= 0x80);
        if (length > MAX_MESSAGE_BYTES) {
            throw new SupervisionException(
                    ErrorCode.TOO_LARGE, "message of " + length + " bytes exceeds the limit of " + MAX_MESSAGE_BYTES);
        }
        byte[] message = new byte[length];
        for (int offset = 0; offset < length; ) {
            socket.setSoTimeout(remainingMillis(deadlineNanos));
            int count = TimedReads.read(in, message, offset, length - offset);
            if (count < 0) {
                throw new SupervisionException(ErrorCode.MALFORMED, "message is cut off");
            }
            offset += count;
        }
        return message;
    }

    private static int readByte(Socket socket, InputStream in, long deadlineNanos) throws IOException {
        socket.setSoTimeout(remainingMillis(deadlineNanos));
        byte[] oneByte = new byte[1];
        return TimedReads.read(in, oneByte, 0, 1) < 0 ? TimedReads.END_OF_STREAM : oneByte[0] & 0xff;
    }

    private static int remainingMillis(long deadlineNanos) throws SocketTimeoutException {
        long millis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (millis <= 0) {
            throw new SocketTimeoutException();
        }
        return (int) millis;
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : openSockets) {
                socket.close();
            }
        } catch (IOException e) {
            Logger.debug("metrics: cannot close a socket: {}", e.toString());
        }
    }
}
