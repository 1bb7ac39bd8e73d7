package olivechute.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits how many nodes are unavailable at once, for the orders of one step. An available node gets an order only while
 * fewer than {@code maxUnavailable} nodes of the fleet are unavailable, and counts as unavailable from then on.
 * Unavailable nodes get orders at any time.
 */
final class DisruptionBudget {
    private final RolloutSpec spec;
    private final Map<String, NodeStatus> nodesByName = new HashMap<>();
    private final Map<String, String> orders = new HashMap<>();
    private int unavailable;

    DisruptionBudget(RolloutSpec spec, Collection<NodeStatus> allNodes, Set<String> moved) {
        this.spec = spec;
        Set<String> missingNodes = new HashSet<>(moved);
        for (NodeStatus node : allNodes) {
            nodesByName.put(node.node(), node);
            missingNodes.remove(node.node());
            unavailable += unavailable(node) ? 1 : 0;
        }
        unavailable += missingNodes.size();
    }

    /** Whether a node is not ready, unreachable, or changing to another version. */
    static boolean unavailable(NodeStatus node) {
        return node.phase() != NodePhase.READY
                || !node.reachable()
                || (node.orderedVersion() != null && !node.orderedVersion().equals(node.version()));
    }

    int unavailable() {
        return unavailable;
    }

    boolean exhausted() {
        return unavailable >= spec.maxUnavailable();
    }

    /** Orders a version unless the node is to run it already; false if the budget does not allow it now. */
    boolean tryOrder(NodeStatus node, String version) {
        String desiredVersion = node.orderedVersion() == null ? node.version() : node.orderedVersion();
        if (version.equals(desiredVersion)) {
            return true;
        }
        if (!unavailable(node)) {
            if (exhausted()) {
                return false;
            }
            unavailable++;
        }
        orders.put(node.node(), version);
        return true;
    }

    /**
     * Orders each node that got no order in this step, also one that joined or is out of date, to the version that its
     * stage requires, as far as the budget allows.
     */
    void orderStageVersions(Set<String> moved) {
        for (NodeStatus node : nodesByName.values().stream()
                .sorted(Comparator.comparing(NodeStatus::node))
                .toList()) {
            if (!orders.containsKey(node.node())) {
                tryOrder(node, moved.contains(node.node()) ? spec.toVersion() : spec.fromVersion());
            }
        }
    }

    Map<String, String> orders() {
        return Map.copyOf(orders);
    }
}
