package olivechute.controller;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;

/**
 * Orders for nodes whose order is missing or names another version than the desired one, as they joined or are out of
 * date. Without an active change, orders that restart no process are given at once, and the others to one node at a
 * time. During a change only nodes without an order get one, if it restarts no process; all else is left to the change
 * and its budget.
 */
final class OutOfDateNodes {
    private OutOfDateNodes() {}

    /** Adds to {@code orders}. {@code desiredVersion}: version by node, null for none. */
    static void addOrders(
            Collection<NodeStatus> nodes,
            Function<String, String> desiredVersion,
            boolean changeActive,
            Map<String, String> orders) {
        boolean mayRestart = !changeActive && nodes.stream().noneMatch(OutOfDateNodes::inTransition);
        for (NodeStatus node : nodes) {
            String version = desiredVersion.apply(node.node());
            if (version == null
                    || version.equals(node.orderedVersion())
                    || orders.containsKey(node.node())
                    || (changeActive && node.orderedVersion() != null)) {
                continue;
            }
            boolean restarts = !node.version().isEmpty() && !node.version().equals(version);
            if (!restarts || (mayRestart && node.reachable())) {
                orders.put(node.node(), version);
                mayRestart &= !restarts;
            }
        }
    }

    private static boolean inTransition(NodeStatus node) {
        boolean changing = node.phase() == NodePhase.STARTING
                || node.phase() == NodePhase.DRAINING
                || (node.phase() == NodePhase.READY && !node.version().equals(node.orderedVersion()));
        return node.reachable() && node.orderedVersion() != null && changing;
    }
}
