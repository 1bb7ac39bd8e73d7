package olivechute.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import olivechute.net.Threads;

/**
 * One link: forwards TCP from a loopback address of its own to a target, each way with the faults of that way. Cut, it
 * says nothing: connections stay open, what is sent waits in bounded buffers, and new ones never come up, as its listen
 * queue is full; healed, what waited goes on. Two threads a way and connection, blocking sockets.
 */
public final class LinkProxy implements AutoCloseable {
    private static final int BACKLOG = 8; // of connections not accepted
    private static final int MAX_FILLERS = 4 * BACKLOG;
    private static final int FILLER_TIMEOUT_MILLIS = 40; // a connection to a queue with room comes up at once
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    /** The two ways of a link. */
    public enum Direction {
        TO_TARGET,
        FROM_TARGET
    }

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Map<Direction, LinkFaults> faults =
            new EnumMap<>(Map.of(Direction.TO_TARGET, new LinkFaults(), Direction.FROM_TARGET, new LinkFaults()));
    private final Set<ProxiedConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new CopyOnWriteArrayList<>();
    private final Set<Integer> fillerPorts = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private boolean acceptorPaused; // guarded by parking: nothing is accepted
    private final Object acceptorLock = new Object();

    /** A link to this address. */
    public LinkProxy(InetSocketAddress target) {
        this.target = target;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new TestSetupException("no listener for a link", e);
        }
        Threads.start("link-accept", this::accept);
    }

    /** Where what goes through the link connects to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** The same as settings write it. */
    public String hostAndPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** Silence on these ways, both where none is named; no connection comes up meanwhile. */
    public synchronized void partition(Direction... ways) {
        for (Direction way : ways.length == 0 ? Direction.values() : ways) {
            faults.get(way).partitioned(true);
        }
        fillBacklog();
    }

    /** All that passes this way comes so much later. */
    public void delay(Direction way, Duration by) {
        faults.get(way).delayNs(by.toNanos());
    }

    /** At most so many bytes a second pass this way on each connection. */
    public void limitRate(Direction way, int bytesPerSecond) {
        faults.get(way).rate(bytesPerSecond);
    }

    /** Resets all connections; new ones come up unless it is cut. */
    public void reset() {
        openConnections.forEach(ProxiedConnection::reset);
    }

    /** No fault any more; what waited goes on. */
    public synchronized void heal() {
        faults.values().forEach(LinkFaults::heal);
        drainBacklog();
    }

    /** Connections that are open now. */
    public int connections() {
        return openConnections.size();
    }

    /** Fills the listen queue with connections of our own, so that the next one's handshake is not answered. */
    private void fillBacklog() {
        for (int i = 0; i < MAX_FILLERS; i++) {
            Socket filler = new Socket();
            try {
                filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                fillerPorts.add(filler.getLocalPort());
                filler.connect(address(), FILLER_TIMEOUT_MILLIS);
                fillers.add(filler);
                awaitAcceptorPaused();
            } catch (SocketTimeoutException full) {
                closeQuietly(filler);
                return;
            } catch (IOException e) {
                closeQuietly(filler);
                throw new TestSetupException("the link cannot be cut", e);
            }
        }
        throw new TestSetupException("the link's listen queue does not fill");
    }

    private void waitWhilePartitioned() throws InterruptedException {
        synchronized (acceptorLock) {
            while (isCut()) {
                acceptorPaused = true;
                acceptorLock.notifyAll();
                acceptorLock.wait();
            }
            acceptorPaused = false;
        }
    }

    /** The first filler wakes the thread that accepts; only then does the queue stay as full as it is. */
    private void awaitAcceptorPaused() {
        synchronized (acceptorLock) {
            try {
                while (!acceptorPaused) {
                    acceptorLock.wait();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new TestSetupException("interrupted", e);
            }
        }
    }

    private boolean isCut() {
        return faults.values().stream().anyMatch(LinkFaults::isCut);
    }

    private void drainBacklog() {
        synchronized (acceptorLock) {
            acceptorLock.notifyAll();
        }
        fillers.forEach(LinkProxy::closeQuietly);
        fillers.clear();
    }

    private void accept() {
        try {
            while (!closed) {
                waitWhilePartitioned();
                Socket client = server.accept();
                if (fillerPorts.remove(client.getPort())) {
                    client.close();
                } else {
                    Threads.start("link-dial", () -> forward(client));
                }
            }
        } catch (IOException | InterruptedException e) {
            return; // closed
        }
    }

    private void forward(Socket client) {
        try {
            for (LinkFaults gate : faults.values()) {
                gate.awaitOpen(); // accepted in the moment of a cut: it stays silent
            }
            Socket dialled = new Socket();
            dialled.connect(target, CONNECT_TIMEOUT_MILLIS);
            ProxiedConnection forwarded = new ProxiedConnection(client, dialled, faults, openConnections);
            openConnections.add(forwarded);
            forwarded.start();
            if (closed) {
                forwarded.reset();
            }
        } catch (IOException refused) {
            ProxiedConnection.resetOne(client);
        } catch (InterruptedException e) {
            closeQuietly(client);
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // it is gone either way
        }
    }

    @Override
    public void close() {
        closed = true;
        closeServer();
        faults.values().forEach(LinkFaults::heal);
        drainBacklog();
        reset();
    }

    private void closeServer() {
        try {
            server.close();
        } catch (IOException e) {
            throw new TestSetupException("the link does not close", e);
        }
    }
}
