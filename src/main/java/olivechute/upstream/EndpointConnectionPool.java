package olivechute.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import olivechute.health.IdleReusePolicy;
import olivechute.loadbalancing.EndpointState;

/** The connections to one upstream host, and what the newest list says of it. */
final class EndpointConnectionPool {
    /**
     * Where a host's process listens, and the address as a Host field has it. The next process has another one, be it
     * at the same address.
     */
    record Location(InetSocketAddress address, String hostHeader, long startedAtUs) {}

    /**
     * A host that is sent more than so many in {@link UpstreamConnection#SETTLING} gets no more connections for that
     * where dials are quick.
     */
    static final int MAX_SETTLING = 8;

    final String name;
    private volatile Location location;
    private volatile boolean acceptsRequests = true;
    boolean listed = true; // on the event loop only
    private final IdleReusePolicy reusePolicy = new IdleReusePolicy();
    private final Set<UpstreamConnection> connections = new HashSet<>();
    private final List<UpstreamConnection> idleConnections = new ArrayList<>(); // the one used last comes last

    EndpointConnectionPool(String name, InetSocketAddress address, long startedAtUs) {
        this.name = name;
        this.location = location(address, startedAtUs);
    }

    private static Location location(InetSocketAddress address, long startedAtUs) {
        return new Location(address, address.getAddress().getHostAddress() + ":" + address.getPort(), startedAtUs);
    }

    /** Takes where it is and when it started from the list; true if either is new. */
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
     * The list has it in this state; {@code goneBinds}: nothing new may go to one that is gone, else only if it drained
     * before.
     */
    void updateState(EndpointState state, boolean removalBlocksRequests) {
        switch (state) {
            case ACTIVE -> acceptsRequests = true;
            case DRAINING -> acceptsRequests = false;
            default -> acceptsRequests &= !removalBlocksRequests;
        }
    }

    /** False while nothing new may go there; on any thread. */
    boolean acceptsRequests() {
        return acceptsRequests;
    }

    /** The longest idle time after which a connection there is worth another request, in microseconds. */
    synchronized long maxReuseIdleUs(long nowUs) {
        return reusePolicy.maxIdleUs(nowUs);
    }

    /** One that had stood idle for so long was used again, and broke or did not. */
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
                index--; // it was held back: its host saw it idle all the while
            }
            idleConnections.add(index, connection);
        }
    }

    /**
     * The idle connection used last of those that have settled, if it was used since then. Otherwise the next to
     * settle, if it will have within {@code wait}, or if it is one of {@link #MOST_SETTLING}. Null if there is none of
     * these.
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

    /** Closes those that have waited too long for their peer. */
    void closeStalled(long nowUs) {
        List<UpstreamConnection> snapshot;
        synchronized (this) {
            snapshot = new ArrayList<>(connections);
        }
        snapshot.forEach(connection -> connection.closeIfStalled(nowUs));
    }

    /** Closes the idle ones whose host is no longer to be spoken with on them. */
    void closeIdleWithInvalidIdentity() {
        List<UpstreamConnection> invalid = new ArrayList<>(0);
        synchronized (this) {
            idleConnections.removeIf(connection -> !connection.isPeerIdentityValid() && invalid.add(connection));
        }
        invalid.forEach(UpstreamConnection::close);
    }

    /** Closes those idle since before a moment; 0 for all idle ones. */
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
