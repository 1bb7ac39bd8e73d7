package olivechute.rollout;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps the encoded evidence within 64 KiB: in a large fleet only the first and the last nodes in update order are
 * compared, those that move first and those that stay on the old version longest.
 */
final class EvidenceLimits {
    /** Maximum size of the encoded evidence, in bytes. */
    static final int MAX_BYTES = 64 * 1024;

    /** Part of {@link #MAX_BYTES} for the sums of all nodes together. */
    private static final int ALL_NODES_MAX_BYTES = 44 * 1024;

    private EvidenceLimits() {}

    /** Names of the nodes to compare. A node is taken to need 16 bytes per series and 120 bytes for all else. */
    static Set<String> sampleNodes(RolloutSpec spec, Collection<NodeStatus> nodes, int seriesCount) {
        int maxNodes = ALL_NODES_MAX_BYTES / (seriesCount * 16 + 120);
        Set<String> names = new HashSet<>();
        if (nodes.size() <= maxNodes) {
            nodes.forEach(node -> names.add(node.node()));
            return names;
        }
        List<NodeStatus> updateOrder = NodeSelection.updateOrder(spec.id(), nodes, Set.of());
        updateOrder.subList(0, maxNodes / 2).forEach(node -> names.add(node.node()));
        updateOrder
                .subList(updateOrder.size() - maxNodes / 2, updateOrder.size())
                .forEach(node -> names.add(node.node()));
        return names;
    }
}
