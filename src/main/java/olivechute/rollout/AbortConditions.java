package olivechute.rollout;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Conditions that abort a rollout at once, whatever the comparison of old and new nodes says. {@link Rollout} checks
 * them on each step except during a rollback.
 */
final class AbortConditions {
    private AbortConditions() {}

    /**
     * The first condition that holds for a moved node, as a sentence. {@link #updateNotReadySince} must have run for
     * this step.
     */
    static Optional<String> findAbortReason(
            RolloutSpec spec,
            Collection<NodeStatus> nodes,
            Map<String, NodeMetrics> metricsByNode,
            Set<String> moved,
            Evidence evidence,
            long nowMs) {
        int crashedNodes = 0;
        String lastCrash = null;
        for (NodeStatus node : nodes) {
            if (!moved.contains(node.node())) {
                continue;
            }
            NodeMetrics metrics = metricsByNode.get(node.node());
            if (metrics != null && metrics.version().equals(spec.toVersion()) && metrics.ruleViolations() > 0) {
                return Optional.of(
                        "node " + node.node() + " broke " + metrics.ruleViolations() + " rules under the new version");
            }
            boolean leftOldVersion = spec.toVersion().equals(node.orderedVersion())
                    && !spec.fromVersion().equals(node.version());
            if (leftOldVersion && node.phase() == NodePhase.REFUSED) {
                return Optional.of("node " + node.node() + " refused the new version" + lastErrorSuffix(node));
            }
            if (leftOldVersion && node.crashes() > 0) {
                crashedNodes++;
                lastCrash = "node " + node.node() + " crashed " + node.crashes()
                        + (node.crashes() == 1 ? " time" : " times") + " under the new version" + lastErrorSuffix(node);
                if (node.crashes() >= 2) {
                    return Optional.of(lastCrash);
                }
            }
            Long notReadySinceMs = evidence.notReadySinceMs.get(node.node());
            if (notReadySinceMs != null && node.reachable() && nowMs - notReadySinceMs > spec.readyTimeoutMs()) {
                return Optional.of("node " + node.node() + " is not ready " + (nowMs - notReadySinceMs) / 1000
                        + " s after it was to be, " + spec.readyTimeoutMs() / 1000 + " s are allowed"
                        + lastErrorSuffix(node));
            }
        }
        return crashedNodes >= 2
                ? Optional.of(crashedNodes + " nodes crashed under the new version, the last: " + lastCrash)
                : Optional.empty();
    }

    /**
     * Records since when each reachable node has not been ready at its desired version; unreachable nodes are left out.
     */
    static void updateNotReadySince(
            RolloutSpec spec, Collection<NodeStatus> nodes, Set<String> moved, Evidence evidence, long nowMs) {
        evidence.notReadySinceMs
                .keySet()
                .retainAll(nodes.stream().map(NodeStatus::node).toList());
        for (NodeStatus node : nodes) {
            boolean readyAtDesiredVersion = node.phase() == NodePhase.READY
                    && (moved.contains(node.node()) ? spec.toVersion() : spec.fromVersion()).equals(node.version());
            if (readyAtDesiredVersion || !node.reachable()) {
                evidence.notReadySinceMs.remove(node.node());
            } else {
                evidence.notReadySinceMs.putIfAbsent(node.node(), nowMs);
            }
        }
    }

    private static String lastErrorSuffix(NodeStatus node) {
        return node.lastError() == null || node.lastError().isEmpty() ? "" : ": " + node.lastError();
    }
}
