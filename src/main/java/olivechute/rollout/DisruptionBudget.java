package olivechute.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who may move now: gives orders as long as fewer than {@code mostAway} nodes of the fleet are away, each given order
 * counted.
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

    /** Not ready, out of reach, or on its way to another version. */
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

    /** Orders a version where it is not ordered yet; false where the pace does not allow it now. */
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

    /** Every node, that joined or strayed too, is to have the order its stage names. */
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
