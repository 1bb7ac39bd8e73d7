package olivechute.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import olivechute.error.StoreException;
import olivechute.fleet.wire.Order;
import olivechute.store.Store;

/**
 * A store as one controller sees it, which intercepts its writes: a hook may run before or after a write, or the fences
 * be dropped. Records every order written, and violations of the rule that a node's order numbers only grow.
 */
class InterceptingStore implements Store {
    /** Runs before or after a write. */
    interface WriteHook {
        void run() throws StoreException;
    }

    /** The orders that all controllers of a store wrote. */
    static final class OrderLog {
        final Map<String, List<Order>> ordersByNode = new TreeMap<>();
        final List<String> violations = new ArrayList<>();

        void add(Order order) {
            List<Order> before = ordersByNode.computeIfAbsent(order.getNode(), n -> new ArrayList<>());
            if (!before.isEmpty() && before.get(before.size() - 1).getNumber() >= order.getNumber()) {
                violations.add(order.getNode() + ": " + order.getNumber() + " after "
                        + before.get(before.size() - 1).getNumber());
            }
            before.add(order);
        }

        /** Versions ordered to each node, in order. */
        Map<String, List<String>> versions() {
            Map<String, List<String>> all = new HashMap<>();
            ordersByNode.forEach((node, orders) ->
                    all.put(node, orders.stream().map(Order::getVersion).toList()));
            return all;
        }
    }

    private final Store store;
    private final OrderLog orderLog;
    private WriteHook beforeNextWrite;
    private WriteHook afterNextWrite;
    private boolean fenced = true;

    InterceptingStore(Store store, OrderLog orderLog) {
        this.store = store;
        this.orderLog = orderLog;
    }

    /** Runs the hook once, before the next write reaches the store. */
    void beforeNextWrite(WriteHook hook) {
        beforeNextWrite = hook;
    }

    /** Runs the hook once, after the next write took effect and before its writer gets the response. */
    void afterNextWrite(WriteHook hook) {
        afterNextWrite = hook;
    }

    /** Whether a hook is still to run. */
    boolean hookPending() {
        return beforeNextWrite != null || afterNextWrite != null;
    }

    void dropFences() {
        fenced = false;
    }

    @Override
    public long write(List<Write> writes, List<Fence> fences) throws StoreException {
        WriteHook beforeHook = beforeNextWrite;
        beforeNextWrite = null;
        if (beforeHook != null) {
            beforeHook.run();
        }
        long version = store.write(writes, fenced ? fences : List.of());
        for (Write each : writes) {
            if (each.key().startsWith(StoreKeys.ORDER_PREFIX) && each.value() != null) {
                orderLog.add(ScriptedFleet.parseOrder(new Entry(each.key(), each.value(), version)));
            }
        }
        WriteHook afterHook = afterNextWrite;
        afterNextWrite = null;
        if (afterHook != null) {
            afterHook.run();
        }
        return version;
    }

    @Override
    public Optional<Entry> get(String key) throws StoreException {
        return store.get(key);
    }

    @Override
    public Changes list(String prefix) throws StoreException {
        return store.list(prefix);
    }

    @Override
    public Changes watch(String prefix, long since, Duration wait) throws StoreException {
        return store.watch(prefix, since, wait);
    }

    @Override
    public Lease acquire(String name, String owner, Duration ttl) throws StoreException {
        return store.acquire(name, owner, ttl);
    }

    @Override
    public void renew(Lease lease) throws StoreException {
        store.renew(lease);
    }

    @Override
    public void release(Lease lease) throws StoreException {
        store.release(lease);
    }

    @Override
    public void close() {
        store.close();
    }
}
