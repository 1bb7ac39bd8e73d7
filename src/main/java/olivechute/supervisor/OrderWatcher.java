package olivechute.supervisor;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.VersionSpec;
import olivechute.store.Store;
import olivechute.supervisor.NodeEvent.Ordered;
import olivechute.supervisor.SupervisorSettings.Supervised;
import org.tinylog.Logger;

/**
 * Watches the orders, on a thread of its own and only while the lease is held. After each cut and under each new lease
 * it reads all of them before it gives any; one that was not taken up is given again.
 */
final class OrderWatcher {
    /** An order for a node. */
    record Given(String node, Ordered order) {}

    private static final String ORDERS = "order/";
    private static final long PAUSE = 250;

    private final Map<String, Supervised> nodes;
    private final Store store;
    private final LeaseRenewer lease;
    private final LaunchSpecFactory launches;
    private final Duration wait;
    private final ToLongFunction<String> taken;
    private final Consumer<Given> give;
    private final Map<String, Order> orders = new HashMap<>();
    private final Map<String, Long> absent = new HashMap<>();
    private long session;
    private long since = -1;
    private ErrorCode told;
    private volatile boolean closed;

    /** {@code taken}: number of the newest order that a node took up, below 0 for none. */
    OrderWatcher(
            Map<String, Supervised> nodes,
            Store store,
            LeaseRenewer lease,
            LaunchSpecFactory launches,
            Duration wait,
            ToLongFunction<String> taken,
            Consumer<Given> give) {
        this.nodes = nodes;
        this.store = store;
        this.lease = lease;
        this.launches = launches;
        this.wait = wait;
        this.taken = taken;
        this.give = give;
    }

    void run() {
        try {
            while (!closed) {
                Store.Lease held = lease.held();
                if (held == null) {
                    since = -1;
                    lease.await(PAUSE);
                    continue;
                }
                try {
                    read(held);
                    told = null;
                } catch (StoreException e) {
                    since = -1;
                    tellOnce(e);
                    synchronized (this) {
                        wait(PAUSE);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tellOnce(StoreException fault) {
        if (fault.kind() != told) {
            told = fault.kind();
            Logger.warn("orders: {}", fault.getMessage());
        }
    }

    private void read(Store.Lease held) throws StoreException {
        boolean all = since < 0 || held.session() != session;
        Store.Changes changes = all ? store.list(ORDERS) : store.watch(ORDERS, since, wait);
        if (all || changes.complete()) {
            orders.clear();
        }
        changes.removed().forEach(key -> orders.remove(key.substring(ORDERS.length())));
        for (Store.Entry entry : changes.entries()) {
            note(entry);
        }
        since = changes.version();
        session = held.session();
        for (Supervised node : nodes.values()) {
            give(node);
        }
    }

    private void note(Store.Entry entry) {
        String node = entry.key().substring(ORDERS.length());
        try {
            if (nodes.containsKey(node)) {
                orders.put(node, Order.parseFrom(entry.value()));
            }
        } catch (InvalidProtocolBufferException e) {
            Logger.error(new StoreException(ErrorCode.MALFORMED, entry.key(), e).getMessage());
        }
    }

    private void give(Supervised node) throws StoreException {
        Order order = orders.get(node.name());
        String version = order == null ? node.version() : order.getVersion();
        long number = order == null ? 0 : order.getNumber();
        if (number <= taken.applyAsLong(node.name())) {
            return;
        }
        Optional<Store.Entry> entry = store.get("version/" + version);
        try {
            if (entry.isPresent()) {
                VersionSpec spec = VersionSpec.parseFrom(entry.get().value()).toBuilder()
                        .setId(version)
                        .build();
                give.accept(new Given(node.name(), launches.ordered(node, spec, number)));
            } else if (number == 0) {
                give.accept(new Given(
                        node.name(),
                        launches.ordered(
                                node, VersionSpec.newBuilder().setId(version).build(), 0)));
            } else if (!Long.valueOf(number).equals(absent.put(node.name(), number))) {
                Logger.warn(
                        "node {}: order {} names the version {}, which the store does not hold",
                        node.name(),
                        number,
                        version);
            }
        } catch (InvalidProtocolBufferException e) {
            Logger.error(new StoreException(ErrorCode.MALFORMED, "version/" + version, e).getMessage());
        }
    }

    void close() {
        closed = true;
    }
}
