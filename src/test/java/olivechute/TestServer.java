package olivechute;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.RequestParser;
import olivechute.net.Threads;

/** A party on a loopback socket that answers each request as a test says; null says nothing, NO_BYTES hangs up. */
final class TestServer implements AutoCloseable {
    static final byte[] HANG_UP = new byte[0];

    interface ResponseHandler {
        byte[] respond(HttpRequest request) throws Exception;
    }

    /** What is spoken over an accepted connection: TLS, or nothing beside HTTP. */
    interface SocketWrapper {
        Socket wrap(Socket accepted) throws IOException;
    }

    /** A request and when it had come, in milliseconds. */
    record ReceivedRequest(HttpRequest request, long receivedAtMs) {}

    private static final int BACKLOG = 50;
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();
    private static final InetAddress PROCESS_LOOPBACK =
            loopbackAddressFor(ProcessHandle.current().pid());

    final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    final AtomicInteger connectionCount = new AtomicInteger();
    final AtomicInteger openConnections = new AtomicInteger();
    final AtomicInteger idleCloses = new AtomicInteger(); // connections that the node closed between requests
    volatile ResponseHandler handler;
    private final ServerSocket server;
    private final SocketWrapper socketWrapper;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Thread acceptor;
    private TestServer successor; // guarded by this

    TestServer(ResponseHandler answer) throws IOException {
        this(answer, accepted -> accepted);
    }

    TestServer(ResponseHandler answer, SocketWrapper layer) throws IOException {
        this.handler = answer;
        this.socketWrapper = layer;
        server = listen();
        acceptor = Threads.start("peer", this::accept);
    }

    /**
     * On a port that no earlier one of this process had, at an address that no other process has: the nodes of earlier
     * tests live on and dial theirs, discovery's each second, and whoever got such a port would be called by strangers.
     */
    private static ServerSocket listen() throws IOException {
        for (; ; ) {
            ServerSocket server = new ServerSocket(0, BACKLOG, PROCESS_LOOPBACK);
            if (USED_PORTS.add(server.getLocalPort())) {
                return server;
            }
            server.close();
        }
    }

    /** One of 127.64.0.0/10 for each process id, of which Linux has at most 2^22. */
    static InetAddress loopbackAddressFor(long processId) {
        byte[] address = {
            127, (byte) (64 | ((processId >> 16) & 0x3f)), (byte) (processId >> 8), (byte) processId,
        };
        try {
            return InetAddress.getByAddress(address);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private TestServer(ResponseHandler answer, SocketWrapper layer, TestServer predecessor) {
        this.handler = answer;
        this.socketWrapper = layer;
        server = predecessor.server;
        acceptor = predecessor.acceptor;
    }

    private void accept() {
        try {
            for (; ; ) {
                handleAccepted(server.accept());
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void handleAccepted(Socket accepted) throws IOException {
        TestServer next;
        synchronized (this) {
            next = successor;
            if (next == null) {
                connectionCount.incrementAndGet();
                accepted.setTcpNoDelay(true);
                Socket socket = socketWrapper.wrap(accepted);
                sockets.add(socket);
                Threads.start("peer-connection", () -> serve(socket));
            }
        }
        if (next != null) {
            next.handleAccepted(accepted);
        }
    }

    /**
     * The process ends and another stands at its address: connections from now on are the other's. The listener is not
     * closed between, as its port is free again only some time after that (the acceptor has to leave its call first),
     * and anybody's then. Returns once those who dialled the first have found its connections at their end and closed
     * them too.
     */
    TestServer replaceWith(ResponseHandler answer, SocketWrapper layer) throws IOException, InterruptedException {
        TestServer next = new TestServer(answer, layer, this);
        synchronized (this) {
            successor = next;
        }
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.shutdownOutput();
            }
        }
        for (int i = 0; i < 300 && openConnections.get() > 0; i++) {
            Thread.sleep(10);
        }
        if (openConnections.get() > 0) {
            throw new IllegalStateException(openConnections + " connections not closed from the other side");
        }
        closeConnections();
        return next;
    }

    private void serve(Socket socket) {
        openConnections.incrementAndGet();
        RequestParser parser = new RequestParser();
        byte[] buffer = new byte[4096];
        try (socket) {
            for (int n = socket.getInputStream().read(buffer);
                    n >= 0;
                    n = socket.getInputStream().read(buffer)) {
                for (int at = 0; at < n; ) {
                    at += parser.feed(buffer, at, n - at);
                    if (parser.isComplete()) {
                        HttpRequest request = parser.take();
                        received.add(new ReceivedRequest(request, System.nanoTime() / 1_000_000));
                        byte[] reply = handler.respond(request);
                        if (reply == HANG_UP) {
                            return;
                        }
                        if (reply != null) {
                            socket.getOutputStream().write(reply);
                        }
                    }
                }
            }
            idleCloses.incrementAndGet();
        } catch (IOException | HttpException e) {
            return;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        } finally {
            openConnections.decrementAndGet();
        }
    }

    /** Says this on the connection that came as the one of this number, unasked. */
    void sendUnsolicited(int connectionIndex, byte[] bytes) throws IOException {
        sockets.get(connectionIndex).getOutputStream().write(bytes);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostAndPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** The requests in order of arrival. */
    List<HttpRequest> requests() {
        return received.stream().map(ReceivedRequest::request).toList();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(hostAndPort())
                .append(", ")
                .append(connectionCount)
                .append(" connections, ")
                .append(openConnections)
                .append(" open, ")
                .append(idleCloses)
                .append(" closed by the node; now ")
                .append(System.nanoTime() / 1_000_000);
        for (ReceivedRequest s : received) {
            text.append("; at ")
                    .append(s.receivedAtMs())
                    .append(' ')
                    .append(s.request().method())
                    .append(' ')
                    .append(s.request().target())
                    .append(' ')
                    .append(s.request().headers().get("X-Txn"));
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }

    private void closeConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
