package olivechute.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import olivechute.error.RolloutException;
import olivechute.fleet.wire.BaseVersion;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeFigures;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.store.Store;
import olivechute.store.Store.Entry;

/**
 * The state of the fleet from the store's keys, built from a list and the watches after it. A node is known from the
 * report of its machine or from its order. A node that is in no report is unreachable, and otherwise as it was last
 * reported, until its order is deleted. Memory is thus bounded by the size of the store. Not thread-safe.
 */
final class FleetState {
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<String, MachineReport> reportsByMachine = new TreeMap<>(); // of the machines whose lease is valid
    private final Map<String, NodeState> lastStateByNode = new HashMap<>(); // also of nodes in no report now
    private final Map<String, Order> ordersByNode = new TreeMap<>();
    private final Map<String, NodeFigures> metricsByNode = new TreeMap<>();
    private long version;

    /**
     * Applies the result of a list or watch of the prefix "". A value that cannot be parsed leaves the previous one in
     * place, except that the report of a machine is dropped.
     */
    void apply(Store.Changes changes) {
        if (changes.complete()) {
            Set<String> missingKeys = new TreeSet<>(entries.keySet());
            changes.entries().forEach(e -> missingKeys.remove(e.key()));
            missingKeys.forEach(this::remove);
        }
        changes.removed().forEach(this::remove);
        changes.entries().forEach(this::put);
        version = Math.max(version, changes.version());
        Set<String> knownNodes = new TreeSet<>(ordersByNode.keySet());
        reportsByMachine.values().forEach(r -> r.getNodesList().forEach(n -> knownNodes.add(n.getNode())));
        lastStateByNode.keySet().retainAll(knownNodes);
    }

    private void remove(String key) {
        entries.remove(key);
        reportsByMachine.remove(nameAfterPrefix(key, StoreKeys.MACHINE_PREFIX));
        ordersByNode.remove(nameAfterPrefix(key, StoreKeys.ORDER_PREFIX));
        metricsByNode.remove(nameAfterPrefix(key, StoreKeys.METRICS_PREFIX));
    }

    private void put(Entry entry) {
        entries.put(entry.key(), entry);
        try {
            if (entry.key().startsWith(StoreKeys.MACHINE_PREFIX)) {
                MachineReport report = RolloutCodec.parse(MachineReport.parser(), entry.key(), entry.value());
                reportsByMachine.put(nameAfterPrefix(entry.key(), StoreKeys.MACHINE_PREFIX), report);
                report.getNodesList().forEach(n -> lastStateByNode.put(n.getNode(), n));
            } else if (entry.key().startsWith(StoreKeys.ORDER_PREFIX)) {
                ordersByNode.put(
                        nameAfterPrefix(entry.key(), StoreKeys.ORDER_PREFIX),
                        RolloutCodec.parse(Order.parser(), entry.key(), entry.value()));
            } else if (entry.key().startsWith(StoreKeys.METRICS_PREFIX)) {
                metricsByNode.put(
                        nameAfterPrefix(entry.key(), StoreKeys.METRICS_PREFIX),
                        RolloutCodec.parse(NodeFigures.parser(), entry.key(), entry.value()));
            }
        } catch (RolloutException e) {
            // The nodes of a machine are unreachable while its report cannot be parsed.
            reportsByMachine.remove(nameAfterPrefix(entry.key(), StoreKeys.MACHINE_PREFIX));
        }
    }

    /** The key without the prefix; the complete key if it has another prefix. */
    private static String nameAfterPrefix(String key, String prefix) {
        return key.startsWith(prefix) ? key.substring(prefix.length()) : key;
    }

    /** The version of the store that this state reflects. */
    long version() {
        return version;
    }

    /** The version of a key, 0 if absent: the condition for a conditional write. */
    long version(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.version();
    }

    /** The ID of the base version, null before the first was set. */
    String baseVersion() throws RolloutException {
        Entry entry = entries.get(StoreKeys.BASE_VERSION);
        return entry == null
                ? null
                : RolloutCodec.parse(BaseVersion.parser(), StoreKeys.BASE_VERSION, entry.value())
                        .getVersion();
    }

    /** The active change. */
    Optional<ChangeRecord> currentChange() throws RolloutException {
        Entry entry = entries.get(StoreKeys.CURRENT_CHANGE);
        return entry == null
                ? Optional.empty()
                : Optional.of(RolloutCodec.parse(ChangeRecord.parser(), StoreKeys.CURRENT_CHANGE, entry.value()));
    }

    /** The definition of a version. */
    Optional<VersionSpec> versionSpec(String id) throws RolloutException {
        Entry entry = entries.get(StoreKeys.VERSION_PREFIX + id);
        return entry == null
                ? Optional.empty()
                : Optional.of(RolloutCodec.parse(VersionSpec.parser(), entry.key(), entry.value()));
    }

    /** All entries under a prefix, ordered by the version of their last update. */
    List<Entry> entriesUnder(String prefix) {
        List<Entry> found = new ArrayList<>();
        for (Entry entry : entries.tailMap(prefix, true).values()) {
            if (!entry.key().startsWith(prefix)) {
                break;
            }
            found.add(entry);
        }
        found.sort((a, b) -> Long.compare(a.version(), b.version()));
        return found;
    }

    /** The newest orders, by node. */
    Map<String, Order> ordersByNode() {
        return ordersByNode;
    }

    /**
     * The number that a new order to a node must exceed: the higher of its current order and the last one carried out.
     */
    long lastOrderNumber(String node) {
        long current = ordersByNode.containsKey(node) ? ordersByNode.get(node).getNumber() : 0;
        return Math.max(
                current,
                lastStateByNode.containsKey(node) ? lastStateByNode.get(node).getOrderNumber() : 0);
    }

    /** All known nodes, by name. */
    List<NodeStatus> nodes() {
        Set<String> reportedNodes = new TreeSet<>();
        reportsByMachine.values().forEach(r -> r.getNodesList().forEach(n -> reportedNodes.add(n.getNode())));
        Set<String> knownNodes = new TreeSet<>(ordersByNode.keySet());
        knownNodes.addAll(reportedNodes);
        List<NodeStatus> statuses = new ArrayList<>();
        for (String node : knownNodes) {
            String orderedVersion =
                    ordersByNode.containsKey(node) ? ordersByNode.get(node).getVersion() : null;
            statuses.add(
                    lastStateByNode.containsKey(node)
                            ? RolloutCodec.toStatus(
                                    lastStateByNode.get(node), reportedNodes.contains(node), orderedVersion)
                            : unreportedNode(node, orderedVersion));
        }
        return statuses;
    }

    /** A node that was in no report since this state was first listed; its version is taken from its last metrics. */
    private NodeStatus unreportedNode(String node, String orderedVersion) {
        NodeFigures lastMetrics = metricsByNode.get(node);
        return new NodeStatus(
                node,
                "",
                lastMetrics == null ? "" : lastMetrics.getVersion(),
                lastMetrics == null ? NodePhase.DOWN : NodePhase.READY,
                0,
                0,
                "no report since this leader took over",
                false,
                orderedVersion);
    }

    /** The newest metrics of all nodes. */
    List<NodeMetrics> metricsByNode() {
        return metricsByNode.values().stream().map(RolloutCodec::convertMetrics).toList();
    }
}
