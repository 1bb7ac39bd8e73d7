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

/**
 * A server on a loopback socket that answers each request as the test says: a null response sends nothing,
 * {@code HANG_UP} closes the connection. One thread for each connection.
 */
final class TestServer implements AutoCloseable {
    static final byte[] HANG_UP = new byte[0];

    interface ResponseHandler {
        byte[] respond(HttpRequest request) throws Exception;
    }

    /** Wraps an accepted connection, for example in TLS. */
    interface SocketWrapper {
        Socket wrap(Socket accepted) throws IOException;
    }

    /** A request and the time at which it was complete, in ms of {@link System#nanoTime}. */
    record ReceivedRequest(HttpRequest request, long receivedAtMs) {}

    private static final int BACKLOG = 50;
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();
    private static final InetAddress PROCESS_LOOPBACK =
            loopbackAddressFor(ProcessHandle.current().pid());

    final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    final AtomicInteger connectionCount = new AtomicInteger();
    final AtomicInteger openConnections = new AtomicInteger();
    final AtomicInteger idleCloses = new AtomicInteger(); // connections that the node closed while idle
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
     * Listens on a port that no earlier server of this process had, at an address that no other process has: nodes of
     * earlier tests keep running and connect to their servers, to discovery every second, and would call whichever
     * server got such a port.
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

    /** Returns an address of 127.64.0.0/10 for each process id, of which Linux has at most 2^22. */
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
     * Replaces this server by another one at the same address, as when a process is restarted by another: new
     * connections go to the new server. The listener is not closed in between, as its port is only released some time
     * later (the acceptor must leave its call first) and could then be taken by any process. Returns once the clients
     * have seen the end of this server's connections and closed them too.
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
            throw new IllegalStateException(openConnections + " connections not closed by the client");
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

    /** Sends these bytes without a request on the connection that was accepted as number {@code connectionIndex}. */
    void sendUnsolicited(int connectionIndex, byte[] bytes) throws IOException {
        sockets.get(connectionIndex).getOutputStream().write(bytes);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostAndPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** Returns the requests in order of arrival. */
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
