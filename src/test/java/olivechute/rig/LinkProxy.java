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
 * A TCP proxy that simulates one network link with faults: it forwards connections from a loopback address of its own
 * to a target, with separate faults for each direction. While partitioned it sends nothing: connections stay open, data
 * waits in bounded buffers, and new connections are not established because the listen backlog is full; after healing,
 * waiting data is forwarded. Uses blocking sockets with two threads for each direction of a connection.
 */
public final class LinkProxy implements AutoCloseable {
    private static final int BACKLOG = 8; // connections that are not accepted yet
    private static final int MAX_FILLERS = 4 * BACKLOG;
    private static final int FILLER_TIMEOUT_MILLIS =
            40; // a connection is established at once while the backlog has space
    private static final int CONNECT_TIMEOUT_MILLIS = 2000;

    /** The directions of a link. */
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
    private boolean acceptorPaused; // guarded by acceptorLock; true while no connection is accepted
    private final Object acceptorLock = new Object();

    /** Starts a proxy to this address. */
    public LinkProxy(InetSocketAddress target) {
        this.target = target;
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new TestSetupException("cannot listen for a link", e);
        }
        Threads.start("link-accept", this::accept);
    }

    /** Returns the address on which the proxy listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Returns the address in the form used in settings. */
    public String hostAndPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** Stops forwarding in these directions, in both if none is given; no connection is established meanwhile. */
    public synchronized void partition(Direction... directions) {
        for (Direction direction : directions.length == 0 ? Direction.values() : directions) {
            faults.get(direction).partitioned(true);
        }
        fillBacklog();
    }

    /** Delays all data in this direction. */
    public void delay(Direction direction, Duration delay) {
        faults.get(direction).delayNs(delay.toNanos());
    }

    /** Limits the bytes per second of each connection in this direction. */
    public void limitRate(Direction direction, int bytesPerSecond) {
        faults.get(direction).maxBytesPerSecond(bytesPerSecond);
    }

    /** Resets all connections; new ones are established unless the link is partitioned. */
    public void reset() {
        openConnections.forEach(ProxiedConnection::reset);
    }

    /** Removes all faults; waiting data is forwarded. */
    public synchronized void heal() {
        faults.values().forEach(LinkFaults::heal);
        drainBacklog();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return openConnections.size();
    }

    /** Fills the listen backlog with own connections, so that the next connection's handshake is not answered. */
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
                throw new TestSetupException("cannot partition the link", e);
            }
        }
        throw new TestSetupException("the listen backlog of the link does not fill");
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

    /**
     * Waits until the accepting thread, which the first filler wakes, has paused; only then does the backlog stay full.
     */
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
            for (LinkFaults directionFaults : faults.values()) {
                directionFaults.awaitOpen(); // accepted just as the link was partitioned: stays silent
            }
            Socket targetSocket = new Socket();
            targetSocket.connect(target, CONNECT_TIMEOUT_MILLIS);
            ProxiedConnection forwarded = new ProxiedConnection(client, targetSocket, faults, openConnections);
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
            return; // the socket is unusable either way
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
            throw new TestSetupException("cannot close the link", e);
        }
    }
}
