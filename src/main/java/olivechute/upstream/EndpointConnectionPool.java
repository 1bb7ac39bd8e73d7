package olivechute.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import olivechute.health.IdleReusePolicy;
import olivechute.loadbalancing.EndpointState;

/**
 * The connections to one endpoint, and its state in the latest endpoint list. Thread-safe, except for {@code listed}
 * and the two update methods, which are for the event loop.
 */
final class EndpointConnectionPool {
    /**
     * Where a process of the endpoint listens, and its address as in the Host header. The next process has another
     * location, even at the same address.
     */
    record Location(InetSocketAddress address, String hostHeader, long startedAtUs) {}

    /**
     * While at least this many connections are settling, see {@link UpstreamConnection#SETTLE_TIME_US}, a request waits
     * for the first of them, even if a new connection would be quicker.
     */
    static final int MAX_SETTLING = 8;

    final String name;
    private volatile Location location;
    private volatile boolean acceptsRequests = true;
    boolean listed = true; // only used on the event loop
    private final IdleReusePolicy reusePolicy = new IdleReusePolicy();
    private final Set<UpstreamConnection> connections = new HashSet<>();
    private final List<UpstreamConnection> idleConnections = new ArrayList<>(); // the most recently used one is last

    EndpointConnectionPool(String name, InetSocketAddress address, long startedAtUs) {
        this.name = name;
        this.location = location(address, startedAtUs);
    }

    private static Location location(InetSocketAddress address, long startedAtUs) {
        return new Location(address, address.getAddress().getHostAddress() + ":" + address.getPort(), startedAtUs);
    }

    /** Takes the address and start time from the endpoint list; true if either has changed. */
    boolean updateLocation(InetSocketAddress address, long startedAtUs) {
        boolean changed = !location.address().equals(address) || location.startedAtUs() != startedAtUs;
        if (changed) {
            location = location(address, startedAtUs);
        }
        return changed;
    }

    Location location() {
        return location;
    }

    /**
     * Takes the state from the endpoint list. With {@code removalBlocksRequests} no new request may be sent to a
     * removed endpoint; without it, only if the endpoint drained before.
     */
    void updateState(EndpointState state, boolean removalBlocksRequests) {
        switch (state) {
            case ACTIVE -> acceptsRequests = true;
            case DRAINING -> acceptsRequests = false;
            default -> acceptsRequests &= !removalBlocksRequests;
        }
    }

    /** False while no new request may be sent to the endpoint; on any thread. */
    boolean acceptsRequests() {
        return acceptsRequests;
    }

    /** The longest idle time after which a connection to the endpoint is worth another request, in microseconds. */
    synchronized long maxReuseIdleUs(long nowUs) {
        return reusePolicy.maxIdleUs(nowUs);
    }

    /** Records the reuse of a connection after this idle time, and whether it broke. */
    synchronized void onReuse(long nowUs, long idleUs, boolean broken) {
        reusePolicy.onReuse(nowUs, idleUs, broken);
    }

    synchronized int openConnections() {
        return connections.size();
    }

    synchronized void add(UpstreamConnection connection) {
        connections.add(connection);
    }

    synchronized void remove(UpstreamConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
    }

    synchronized void release(UpstreamConnection connection) {
        if (connections.contains(connection)) {
            int index = idleConnections.size();
            while (index > 0 && idleConnections.get(index - 1).idleSinceUs() > connection.idleSinceUs()) {
                index--; // after a withdrawn exchange: for the endpoint the connection was idle all the time
            }
            idleConnections.add(index, connection);
        }
    }

    /**
     * The most recently used of the settled idle connections, if it was last used at or after {@code idleAfterUs}.
     * Otherwise the connection that settles next, if it does so within {@code maxWaitUs} or if at least
     * {@link #MAX_SETTLING} are settling. Null if there is none of these.
     */
    synchronized UpstreamConnection takeIdle(long nowUs, long idleAfterUs, long maxWaitUs) {
        int firstSettling = idleConnections.size();
        while (firstSettling > 0 && idleConnections.get(firstSettling - 1).settledAtUs() > nowUs) {
            firstSettling--;
        }
        if (firstSettling > 0 && idleConnections.get(firstSettling - 1).idleSinceUs() >= idleAfterUs) {
            return idleConnections.remove(firstSettling - 1);
        }
        boolean settlingIsRecent = firstSettling < idleConnections.size()
                && idleConnections.get(firstSettling).idleSinceUs() >= idleAfterUs;
        return settlingIsRecent
                        && (idleConnections.size() - firstSettling >= MAX_SETTLING
                                || idleConnections.get(firstSettling).settledAtUs() <= nowUs + maxWaitUs)
                ? idleConnections.remove(firstSettling)
                : null;
    }

    boolean closeOldestIdle() {
        UpstreamConnection oldest;
        synchronized (this) {
            oldest = idleConnections.isEmpty() ? null : idleConnections.remove(0);
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** Closes connections whose endpoint does not respond in time. */
    void closeStalled(long nowUs) {
        List<UpstreamConnection> snapshot;
        synchronized (this) {
            snapshot = new ArrayList<>(connections);
        }
        snapshot.forEach(connection -> connection.closeIfStalled(nowUs));
    }

    /** Closes idle connections on which the endpoint's identity is no longer valid. */
    void closeIdleWithInvalidIdentity() {
        List<UpstreamConnection> invalid = new ArrayList<>(0);
        synchronized (this) {
            idleConnections.removeIf(connection -> !connection.isPeerIdentityValid() && invalid.add(connection));
        }
        invalid.forEach(UpstreamConnection::close);
    }

    /** Closes the connections that have been idle since before a time; 0 for all idle ones. */
    void closeIdle(long beforeUs) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        synchronized (this) {
            while (!idleConnections.isEmpty()
                    && (beforeUs == 0 || idleConnections.get(0).idleSinceUs() < beforeUs)) {
                expired.add(idleConnections.remove(0));
            }
        }
        expired.forEach(UpstreamConnection::close);
    }
}
