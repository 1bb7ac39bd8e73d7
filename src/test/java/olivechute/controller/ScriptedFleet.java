package olivechute.controller;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import olivechute.error.StoreException;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.rollout.ClassCounts;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.store.MemoryStore;
import olivechute.store.Store;
import olivechute.store.Store.Write;

/**
 * Machines of one node each that carry out the orders in a store as supervisors do: one lease each, only orders with
 * higher numbers, one round of {@code STARTING} before {@code READY}. Records each order carried out.
 */
@SuppressWarnings("NonApiType") // the order of the set is part of the script
final class ScriptedFleet {
    private static final Duration TTL = Duration.ofSeconds(5);

    private static final class Node {
        String version = "";
        NodePhase phase = NodePhase.DOWN;
        long phaseSinceMs;
        long orderNumber;
        long incarnation;
        long requests;
        long reportCount;
        Store.Lease lease;
        boolean disconnected;
    }

    private final MemoryStore store;
    private final TestClock clock;
    private final Map<String, Node> nodes = new TreeMap<>();
    /** "NODE VERSION" of each order carried out, in order. */
    final List<String> executedOrders = new ArrayList<>();

    ScriptedFleet(MemoryStore store, TestClock clock, int count) {
        this.store = store;
        this.clock = clock;
        for (int i = 1; i <= count; i++) {
            join("n" + i);
        }
    }

    void join(String name) {
        nodes.put(name, new Node());
    }

    /** Breaks or restores the machine's connection; its lease then expires. */
    void setDisconnected(String name, boolean cut) {
        nodes.get(name).disconnected = cut;
    }

    String version(String name) {
        return nodes.get(name).version;
    }

    TreeSet<String> versions() {
        TreeSet<String> all = new TreeSet<>();
        nodes.values().forEach(n -> all.add(n.version));
        return all;
    }

    /** Number of nodes that are not ready. */
    long notReadyCount() {
        return nodes.values().stream().filter(n -> n.phase != NodePhase.READY).count();
    }

    /**
     * One second of every supervisor: starting nodes become ready, then the newest order is carried out, then reported.
     */
    void round() throws StoreException {
        for (Map.Entry<String, Node> each : nodes.entrySet()) {
            if (!each.getValue().disconnected) {
                round(each.getKey(), each.getValue());
            }
        }
    }

    private void round(String name, Node node) throws StoreException {
        renewLease(name, node);
        if (node.phase == NodePhase.STARTING) {
            node.phase = NodePhase.READY;
            node.phaseSinceMs = clock.getAsLong();
        }
        Optional<Store.Entry> entry = store.get(StoreKeys.ORDER_PREFIX + name);
        if (entry.isPresent()) {
            Order order = parseOrder(entry.get());
            if (order.getNumber() > node.orderNumber) {
                node.orderNumber = order.getNumber();
                if (!order.getVersion().equals(node.version)) {
                    executedOrders.add(name + " " + order.getVersion());
                    node.version = order.getVersion();
                    node.phase = NodePhase.STARTING;
                    node.phaseSinceMs = clock.getAsLong();
                    node.incarnation = clock.getAsLong() * 1000;
                    node.requests = 0;
                    node.reportCount = 0;
                }
            }
        }
        NodeState state = NodeState.newBuilder()
                .setNode(name)
                .setZone("z" + name.hashCode() % 2)
                .setVersion(node.version)
                .setPhase(node.phase.name())
                .setSinceMs(node.phaseSinceMs)
                .setOrderNumber(node.orderNumber)
                .build();
        MachineReport report = MachineReport.newBuilder()
                .setMachine("m-" + name)
                .setFence(node.lease.session())
                .addNodes(state)
                .setAtMs(clock.getAsLong())
                .build();
        List<Write> writes = new ArrayList<>();
        writes.add(new Write(StoreKeys.MACHINE_PREFIX + "m-" + name, report.toByteArray(), null, node.lease.session()));
        if (node.phase == NodePhase.READY) {
            node.requests += 40;
            node.reportCount++;
            ClassCounts counts = new ClassCounts(node.requests, node.requests, 0, 0, 0, 0);
            NodeMetrics metrics = new NodeMetrics(
                    name, node.version, node.incarnation, node.reportCount, Map.of("sign", counts), 0, new long[] {
                        node.requests
                    });
            writes.add(Write.put(
                    StoreKeys.METRICS_PREFIX + name,
                    RolloutCodec.convertMetrics(metrics, clock.getAsLong()).toByteArray()));
        }
        store.write(writes, List.of(node.lease.fence()));
    }

    private void renewLease(String name, Node node) throws StoreException {
        if (node.lease != null) {
            try {
                store.renew(node.lease);
                return;
            } catch (StoreException e) {
                node.lease = null; // expired: acquire again
            }
        }
        node.lease = store.acquire("machine/m-" + name, "m-" + name, TTL);
    }

    static Order parseOrder(Store.Entry entry) {
        try {
            return Order.parseFrom(entry.value());
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
