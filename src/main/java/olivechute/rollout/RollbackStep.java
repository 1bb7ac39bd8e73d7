package olivechute.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One step of a rollback within the disruption budget. Unavailable nodes are ordered back first, as that costs no
 * capacity; then as many others as the budget allows.
 */
final class RollbackStep {
    private final Map<String, String> orders = new HashMap<>();
    private final Set<String> remaining;
    private boolean complete;
    private String notReadyText = "";

    RollbackStep(
            RolloutSpec spec,
            Collection<NodeStatus> nodes,
            Set<String> moved,
            DisruptionBudget budget,
            Map<String, Long> notReadySinceMs,
            long nowMs) {
        remaining = new TreeSet<>(moved);
        Map<String, NodeStatus> nodesByName = new HashMap<>();
        nodes.forEach(node -> nodesByName.put(node.node(), node));
        for (boolean unavailable : new boolean[] {true, false}) {
            for (String name : moved) {
                NodeStatus node = nodesByName.get(name);
                if (node == null && unavailable) {
                    orders.put(name, spec.fromVersion());
                    remaining.remove(name);
                } else if (node != null
                        && unavailable == DisruptionBudget.unavailable(node)
                        && budget.tryOrder(node, spec.fromVersion())) {
                    remaining.remove(name);
                }
            }
        }
        budget.orderStageVersions(remaining);
        orders.putAll(budget.orders());
        complete = remaining.isEmpty() && orders.isEmpty();
        for (NodeStatus node : nodes) {
            Long sinceMs = notReadySinceMs.get(node.node());
            boolean overdue = sinceMs != null && nowMs - sinceMs > spec.readyTimeoutMs();
            complete &= !node.reachable() || !DisruptionBudget.unavailable(node) || overdue;
            if (overdue && notReadyText.isEmpty() && spec.fromVersion().equals(node.orderedVersion())) {
                notReadyText = "; after the rollback, node " + node.node() + " is not ready";
            }
        }
    }

    /** Nodes not ordered back yet. */
    Set<String> remaining() {
        return remaining;
    }

    /**
     * Whether all nodes are ordered back, and each reachable one is ready at the version of its order or has used up
     * its time to become ready.
     */
    boolean complete() {
        return complete;
    }

    Map<String, String> orders() {
        return Map.copyOf(orders);
    }

    /** The progress as a clause to append to the cause. */
    String progressText() {
        return (remaining.isEmpty() ? "" : "; " + remaining.size() + " nodes are still to be rolled back")
                + notReadyText;
    }
}
