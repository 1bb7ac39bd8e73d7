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
import olivechute.supervisor.MetricsBuffer.Taken;
import org.tinylog.Logger;

/** Takes what nodes tell of their counts; a sender that is slow or odd is dropped. It never waits for the store. */
final class MetricsReceiver implements AutoCloseable {
    private static final int MOST_BYTES = 64 * 1024;
    private static final int MOST_LENGTH_BYTES = 3;

    private final MetricsBuffer book;
    private final Consumer<String> tell;
    private final int most;
    private final int within;
    private final ConnectionThreads threads;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /**
     * {@code most}: connections at once, run by {@code threads}; {@code within}: ms that a sender has for each message.
     */
    MetricsReceiver(
            InetSocketAddress address,
            MetricsBuffer book,
            int most,
            int within,
            ConnectionThreads threads,
            Consumer<String> tell)
            throws SupervisionException {
        this.threads = threads;
        this.book = book;
        this.tell = tell;
        this.most = most;
        this.within = within;
        try {
            listener = new ServerSocket(address.getPort(), most, address.getAddress());
        } catch (IOException e) {
            throw new SupervisionException(ErrorCode.NOT_REACHED, "figures: cannot listen on " + address + ": " + e, e);
        }
        Threads.start("figures", this::accept);
    }

    /** Where it listens. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (open.size() >= most) {
                    Logger.warn("figures: {} dropped, {} connections are open", socket.getRemoteSocketAddress(), most);
                    socket.close();
                    continue;
                }
                take(socket);
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    Logger.warn("figures: {}", e.toString());
                }
            }
        }
    }

    /** Gives it a thread. Where the system grants none the sender comes again; the intake goes on. */
    private void take(Socket socket) throws IOException {
        open.add(socket);
        try {
            threads.run(() -> serve(socket));
        } catch (OutOfMemoryError noThread) {
            Logger.warn("figures: {} dropped, the system grants no thread", socket.getRemoteSocketAddress());
            open.remove(socket);
            socket.close();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (byte[] frame = frame(socket, in); frame != null; frame = frame(socket, in)) {
                NodeFigures told = NodeFigures.parseFrom(frame);
                Taken taken = book.take(told);
                if (taken == Taken.UNKNOWN) {
                    throw new SupervisionException(
                            ErrorCode.MALFORMED, "no node of this machine is called '" + told.getNode() + "'");
                }
                if (taken == Taken.FIRST) {
                    tell.accept("figures from " + told.getNode());
                }
            }
        } catch (SocketTimeoutException e) {
            Logger.warn("figures: {} dropped, no message within {} ms", socket.getRemoteSocketAddress(), within);
        } catch (InvalidProtocolBufferException | SupervisionException e) {
            Logger.warn("figures: {} dropped: {}", socket.getRemoteSocketAddress(), e.getMessage());
        } catch (IOException e) {
            Logger.debug("figures: {} ended: {}", socket.getRemoteSocketAddress(), e.toString());
        } finally {
            open.remove(socket);
        }
    }

    /**
     * One message, its length before it in 7 bits a byte; null at the end. The whole of it has its time, however it
     * comes.
     */
    private byte[] frame(Socket socket, InputStream in) throws IOException, SupervisionException {
        long end = System.nanoTime() + within * 1_000_000L;
        int length = 0;
        int shift = 0;
        int next;
        do {
            next = read(socket, in, end);
            if (next < 0 && shift == 0) {
                return null;
            }
            if (next < 0 || shift == 7 * MOST_LENGTH_BYTES) {
                throw new SupervisionException(ErrorCode.MALFORMED, "no length of a message");
            }
            length |= (next & 0x7f) << shift;
            shift += 7;
        } while (next >= 0x80);
        if (length > MOST_BYTES) {
            throw new SupervisionException(
                    ErrorCode.TOO_LARGE, "a message of " + length + " bytes, most is " + MOST_BYTES);
        }
        byte[] frame = new byte[length];
        for (int at = 0; at < length; ) {
            socket.setSoTimeout(left(end));
            int read = TimedReads.read(in, frame, at, length - at);
            if (read < 0) {
                throw new SupervisionException(ErrorCode.MALFORMED, "a message that is cut off");
            }
            at += read;
        }
        return frame;
    }

    private static int read(Socket socket, InputStream in, long end) throws IOException {
        socket.setSoTimeout(left(end));
        byte[] one = new byte[1];
        return TimedReads.read(in, one, 0, 1) < 0 ? TimedReads.END_OF_STREAM : one[0] & 0xff;
    }

    private static int left(long end) throws SocketTimeoutException {
        long millis = (end - System.nanoTime()) / 1_000_000;
        if (millis <= 0) {
            throw new SocketTimeoutException();
        }
        return (int) millis;
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket each : open) {
                each.close();
            }
        } catch (IOException e) {
            Logger.debug("figures: {}", e.toString());
        }
    }
}
