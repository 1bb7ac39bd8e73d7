package olivechute.controller;

import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;

/**
 * Nodes without the order that is due: those that joined, and those that strayed. Orders that restart nothing go out at
 * once. Those that do are the change's own to pace while one is under way; else one node at a time is brought to the
 * base.
 */
final class OutOfDateNodes {
    private OutOfDateNodes() {}

    /** Adds to the orders. {@code due}: version by node, null for none; {@code change}: whether one is under way. */
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
