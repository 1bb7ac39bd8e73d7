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
import olivechute.supervisor.NodeEvent.OrderReceived;
import olivechute.supervisor.SupervisorSettings.ManagedNode;
import org.tinylog.Logger;

/**
 * Watches the orders in the store, on a thread of its own and only while the lease is held. After each store error and
 * under each new lease it reads all orders before it delivers any; an order that was not accepted is delivered again.
 */
final class OrderWatcher {
    /** An order and the node that it is for. */
    record NodeOrder(String node, OrderReceived order) {}

    private static final String ORDER_PREFIX = "order/";
    private static final long RETRY_INTERVAL_MS = 250;

    private final Map<String, ManagedNode> nodes;
    private final Store store;
    private final LeaseRenewer leaseRenewer;
    private final LaunchSpecFactory launchSpecFactory;
    private final Duration watchTimeout;
    private final ToLongFunction<String> currentOrderNumber;
    private final Consumer<NodeOrder> orderSink;
    private final Map<String, Order> orders = new HashMap<>();
    private final Map<String, Long> missingVersionOrders = new HashMap<>(); // whose missing version was logged
    private long lastSession;
    private long sinceVersion = -1;
    private ErrorCode lastLoggedError;
    private volatile boolean closed;

    /** {@code currentOrderNumber}: number of the newest order that a node accepted, negative for none. */
    OrderWatcher(
            Map<String, ManagedNode> nodes,
            Store store,
            LeaseRenewer leaseRenewer,
            LaunchSpecFactory launchSpecFactory,
            Duration watchTimeout,
            ToLongFunction<String> currentOrderNumber,
            Consumer<NodeOrder> orderSink) {
        this.nodes = nodes;
        this.store = store;
        this.leaseRenewer = leaseRenewer;
        this.launchSpecFactory = launchSpecFactory;
        this.watchTimeout = watchTimeout;
        this.currentOrderNumber = currentOrderNumber;
        this.orderSink = orderSink;
    }

    void run() {
        try {
            while (!closed) {
                Store.Lease lease = leaseRenewer.validLease();
                if (lease == null) {
                    sinceVersion = -1;
                    leaseRenewer.awaitLease(RETRY_INTERVAL_MS);
                    continue;
                }
                try {
                    readOrders(lease);
                    lastLoggedError = null;
                } catch (StoreException e) {
                    sinceVersion = -1;
                    warnOnce(e);
                    synchronized (this) {
                        wait(RETRY_INTERVAL_MS);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void warnOnce(StoreException error) {
        if (error.code() != lastLoggedError) {
            lastLoggedError = error.code();
            Logger.warn("orders: {}", error.getMessage());
        }
    }

    private void readOrders(Store.Lease lease) throws StoreException {
        boolean readAll = sinceVersion < 0 || lease.session() != lastSession;
        Store.Changes changes =
                readAll ? store.list(ORDER_PREFIX) : store.watch(ORDER_PREFIX, sinceVersion, watchTimeout);
        if (readAll || changes.complete()) {
            orders.clear();
        }
        changes.removed().forEach(key -> orders.remove(key.substring(ORDER_PREFIX.length())));
        for (Store.Entry entry : changes.entries()) {
            storeOrder(entry);
        }
        sinceVersion = changes.version();
        lastSession = lease.session();
        for (ManagedNode node : nodes.values()) {
            deliver(node);
        }
    }

    private void storeOrder(Store.Entry entry) {
        String node = entry.key().substring(ORDER_PREFIX.length());
        try {
            if (nodes.containsKey(node)) {
                orders.put(node, Order.parseFrom(entry.value()));
            }
        } catch (InvalidProtocolBufferException e) {
            Logger.error(new StoreException(ErrorCode.MALFORMED, entry.key(), e).getMessage());
        }
    }

    private void deliver(ManagedNode node) throws StoreException {
        Order order = orders.get(node.name());
        String version = order == null ? node.initialVersion() : order.getVersion();
        long orderNumber = order == null ? 0 : order.getNumber();
        if (orderNumber <= currentOrderNumber.applyAsLong(node.name())) {
            return;
        }
        Optional<Store.Entry> entry = store.get("version/" + version);
        try {
            if (entry.isPresent()) {
                VersionSpec spec = VersionSpec.parseFrom(entry.get().value()).toBuilder()
                        .setId(version)
                        .build();
                orderSink.accept(new NodeOrder(node.name(), launchSpecFactory.createOrder(node, spec, orderNumber)));
            } else if (orderNumber == 0) {
                // An initial version that is not in the store has the default jar and no settings.
                orderSink.accept(new NodeOrder(
                        node.name(),
                        launchSpecFactory.createOrder(
                                node, VersionSpec.newBuilder().setId(version).build(), 0)));
            } else if (!Long.valueOf(orderNumber).equals(missingVersionOrders.put(node.name(), orderNumber))) {
                Logger.warn(
                        "node {}: order {} names the version {}, which the store does not contain",
                        node.name(),
                        orderNumber,
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
