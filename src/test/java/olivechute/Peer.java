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
final class Peer implements AutoCloseable {
    static final byte[] HANG_UP = new byte[0];

    interface Answer {
        byte[] to(HttpRequest request) throws Exception;
    }

    /** What is spoken over an accepted connection: TLS, or nothing beside HTTP. */
    interface Layer {
        Socket over(Socket accepted) throws IOException;
    }

    /** A request and when it had come, in milliseconds. */
    record Seen(HttpRequest request, long at) {}

    private static final int BACKLOG = 50;
    private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();
    private static final InetAddress LOOPBACK_OF_PROCESS =
            loopbackOf(ProcessHandle.current().pid());

    final List<Seen> seen = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger open = new AtomicInteger();
    final AtomicInteger idleEnds = new AtomicInteger(); // connections that the node closed between requests
    volatile Answer answer;
    private final ServerSocket server;
    private final Layer layer;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Thread acceptor;
    private Peer successor; // guarded by this

    Peer(Answer answer) throws IOException {
        this(answer, accepted -> accepted);
    }

    Peer(Answer answer, Layer layer) throws IOException {
        this.answer = answer;
        this.layer = layer;
        server = listen();
        acceptor = Threads.start("peer", this::accept);
    }

    /**
     * On a port that no earlier one of this process had, at an address that no other process has: the nodes of earlier
     * tests live on and dial theirs, discovery's each second, and whoever got such a port would be called by strangers.
     */
    private static ServerSocket listen() throws IOException {
        for (; ; ) {
            ServerSocket server = new ServerSocket(0, BACKLOG, LOOPBACK_OF_PROCESS);
            if (PORTS.add(server.getLocalPort())) {
                return server;
            }
            server.close();
        }
    }

    /** One of 127.64.0.0/10 for each process id, of which Linux has at most 2^22. */
    static InetAddress loopbackOf(long processId) {
        byte[] address = {
            127, (byte) (64 | ((processId >> 16) & 0x3f)), (byte) (processId >> 8), (byte) processId,
        };
        try {
            return InetAddress.getByAddress(address);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private Peer(Answer answer, Layer layer, Peer predecessor) {
        this.answer = answer;
        this.layer = layer;
        server = predecessor.server;
        acceptor = predecessor.acceptor;
    }

    private void accept() {
        try {
            for (; ; ) {
                take(server.accept());
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void take(Socket accepted) throws IOException {
        Peer next;
        synchronized (this) {
            next = successor;
            if (next == null) {
                connections.incrementAndGet();
                accepted.setTcpNoDelay(true);
                Socket socket = layer.over(accepted);
                sockets.add(socket);
                Threads.start("peer-connection", () -> serve(socket));
            }
        }
        if (next != null) {
            next.take(accepted);
        }
    }

    /**
     * The process ends and another stands at its address: connections from now on are the other's. The listener is not
     * closed between, as its port is free again only some time after that (the acceptor has to leave its call first),
     * and anybody's then. Returns once those who dialled the first have found its connections at their end and closed
     * them too.
     */
    Peer replacedBy(Answer answer, Layer layer) throws IOException, InterruptedException {
        Peer next = new Peer(answer, layer, this);
        synchronized (this) {
            successor = next;
        }
        for (Socket socket : sockets) {
            if (!socket.isClosed()) {
                socket.shutdownOutput();
            }
        }
        for (int i = 0; i < 300 && open.get() > 0; i++) {
            Thread.sleep(10);
        }
        if (open.get() > 0) {
            throw new IllegalStateException(open + " connections not closed from the other side");
        }
        closeConnections();
        return next;
    }

    private void serve(Socket socket) {
        open.incrementAndGet();
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
                        seen.add(new Seen(request, System.nanoTime() / 1_000_000));
                        byte[] reply = answer.to(request);
                        if (reply == HANG_UP) {
                            return;
                        }
                        if (reply != null) {
                            socket.getOutputStream().write(reply);
                        }
                    }
                }
            }
            idleEnds.incrementAndGet();
        } catch (IOException | HttpException e) {
            return;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        } finally {
            open.decrementAndGet();
        }
    }

    /** Says this on the connection that came as the one of this number, unasked. */
    void say(int connection, byte[] bytes) throws IOException {
        sockets.get(connection).getOutputStream().write(bytes);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String text() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** The requests in order of arrival. */
    List<HttpRequest> requests() {
        return seen.stream().map(Seen::request).toList();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(text())
                .append(", ")
                .append(connections)
                .append(" connections, ")
                .append(open)
                .append(" open, ")
                .append(idleEnds)
                .append(" closed by the node; now ")
                .append(System.nanoTime() / 1_000_000);
        for (Seen s : seen) {
            text.append("; at ")
                    .append(s.at())
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
