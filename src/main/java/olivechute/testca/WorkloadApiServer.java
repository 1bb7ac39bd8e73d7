package olivechute.testca;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.grpc.GrpcConnection;
import olivechute.grpc.GrpcException;
import olivechute.net.Threads;
import olivechute.svid.WorkloadApiMessages;

/**
 * A test double of the agent that serves the SPIFFE Workload API on a Unix or loopback socket. Each call receives the
 * message published last and all later ones. For tests of faults it can reject calls, leave them unanswered or close
 * its connections.
 */
public final class WorkloadApiServer implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final ServerSocketChannel server;
    private final Path path; // null for a loopback socket
    private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
    private final Map<String, byte[]> published = new ConcurrentHashMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile int rejectStatus; // gRPC status with which calls are rejected; 0 for none
    private volatile boolean unresponsive;

    /** Listens on a Unix socket at this path, which must not exist yet. */
    public WorkloadApiServer(Path path) throws IOException {
        this.path = path;
        server = ServerSocketChannel.open(StandardProtocolFamily.UNIX).bind(UnixDomainSocketAddress.of(path));
        start();
    }

    /** Listens on this port of the loopback address; 0 takes any free port. */
    public WorkloadApiServer(int port) throws IOException {
        this.path = null;
        server = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        start();
    }

    private void start() {
        Threads.start("workload-agent", () -> {
            try {
                for (; ; ) {
                    Session session = new Session(server.accept());
                    sessions.add(session);
                    Threads.start("workload-agent-call", session::run);
                }
            } catch (IOException closed) {
                return;
            }
        });
    }

    /** Returns the address of the listening socket. */
    public SocketAddress address() throws IOException {
        return server.getLocalAddress();
    }

    /** Returns the number of calls received so far. */
    public int calls() {
        return calls.get();
    }

    /** Sends this message on all open calls of this method, and on each later call. */
    public void publish(String method, byte[] message) {
        published.put(method, message);
        sessions.forEach(s -> s.publish(method, message));
    }

    /**
     * Rejects calls at once with this gRPC status, such as 7 (permission denied) for an unknown caller; 0 serves them
     * again.
     */
    public void rejectCalls(int grpcStatus) {
        rejectStatus = grpcStatus;
    }

    /** Leaves calls unanswered while {@code enabled} is true. */
    public void unresponsive(boolean enabled) {
        unresponsive = enabled;
    }

    /** Closes all connections. */
    public void closeConnections() throws IOException {
        for (Session each : sessions) {
            each.channel.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
        if (path != null) {
            Files.deleteIfExists(path);
        }
    }

    private final class Session implements GrpcConnection.Listener {
        private final SocketChannel channel;
        private final GrpcConnection connection = GrpcConnection.server(this); // guarded by this
        private final Map<Integer, String> methodByStream = new HashMap<>(); // guarded by this; method names by stream

        Session(SocketChannel channel) {
            this.channel = channel;
        }

        void run() {
            ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
            try (channel) {
                for (int n = 0; n >= 0; n = channel.read(readBuffer.clear())) {
                    synchronized (this) {
                        connection.feed(readBuffer.array(), 0, n);
                        send();
                    }
                }
            } catch (IOException | GrpcException e) {
                return; // the client notices that the connection has ended
            } finally {
                sessions.remove(this);
            }
        }

        private void send() throws IOException {
            ByteBuffer output = ByteBuffer.wrap(connection.toSend());
            while (output.hasRemaining()) {
                channel.write(output);
            }
        }

        synchronized void publish(String method, byte[] message) {
            try {
                for (Map.Entry<Integer, String> each : methodByStream.entrySet()) {
                    if (each.getValue().equals(method) && !unresponsive) {
                        connection.sendMessage(each.getKey(), message);
                    }
                }
                send();
            } catch (IOException | GrpcException e) {
                sessions.remove(this);
            }
        }

        @Override
        public void onHeaders(int stream, Map<String, String> headers) {
            calls.incrementAndGet();
            String method = headers.get(":path");
            boolean hasRequiredMetadata = headers.entrySet().containsAll(WorkloadApiMessages.METADATA.entrySet());
            try {
                int grpcStatus = rejectStatus != 0 ? rejectStatus : !hasRequiredMetadata ? 3 : 0; // 3: invalid argument
                if (unresponsive) {
                    return;
                }
                connection.sendResponseHeaders(stream);
                if (grpcStatus != 0) {
                    connection.finish(
                            stream, Map.of("grpc-status", String.valueOf(grpcStatus), "grpc-message", "turned away"));
                    return;
                }
                methodByStream.put(stream, method);
                if (published.containsKey(method)) {
                    connection.sendMessage(stream, published.get(method));
                }
            } catch (GrpcException e) {
                sessions.remove(this);
            }
        }

        @Override
        public void onMessage(int stream, byte[] body) {
            // requests have no fields, so there is nothing to read
        }

        @Override
        public void onEnd(int stream, Map<String, String> trailers) {
            if (trailers.containsKey("reset")) {
                methodByStream.remove(stream);
            }
        }
    }
}
