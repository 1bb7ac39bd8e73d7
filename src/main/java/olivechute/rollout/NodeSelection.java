package olivechute.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selects the nodes of a stage: always from the zone with the smallest fraction of moved nodes, and within a zone in
 * the order of a hash of the rollout's ID and the node's name.
 */
final class NodeSelection {
    private NodeSelection() {}

    /** How many nodes run the new version at the end of a stage; never more than there are. */
    static int targetNodeCount(RolloutStage stage, int knownNodes) {
        int target = stage.nodes() > 0 ? stage.nodes() : (int) (((long) knownNodes * stage.percent() + 99) / 100);
        return Math.min(target, knownNodes);
    }

    /** All nodes that have not moved, in the order in which they are to be updated. */
    static List<NodeStatus> updateOrder(String changeId, Collection<NodeStatus> nodes, Set<String> moved) {
        Map<String, List<NodeStatus>> remainingByZone = new TreeMap<>();
        Map<String, int[]> countsByZone = new TreeMap<>(); // moved nodes, all nodes
        for (NodeStatus node : nodes) {
            int[] count = countsByZone.computeIfAbsent(node.zone(), zone -> new int[2]);
            count[1]++;
            if (moved.contains(node.node())) {
                count[0]++;
            } else {
                remainingByZone
                        .computeIfAbsent(node.zone(), zone -> new ArrayList<>())
                        .add(node);
            }
        }
        Comparator<NodeStatus> byHash = Comparator.comparingLong(node -> hash(changeId, node.node()));
        remainingByZone.values().forEach(zone -> zone.sort(byHash.thenComparing(NodeStatus::node)));
        List<NodeStatus> ordered = new ArrayList<>();
        Set<String> zonesWithNodesLeft = new HashSet<>(remainingByZone.keySet());
        while (!zonesWithNodesLeft.isEmpty()) {
            String zone = zonesWithNodesLeft.stream()
                    .min(Comparator.<String>comparingDouble(name -> countsByZone.get(name)[0]
                                    / (double) countsByZone.get(name)[1])
                            .thenComparingLong(name -> hash(changeId, name))
                            .thenComparing(Comparator.naturalOrder()))
                    .orElseThrow();
            ordered.add(remainingByZone.get(zone).remove(0));
            countsByZone.get(zone)[0]++;
            if (remainingByZone.get(zone).isEmpty()) {
                zonesWithNodesLeft.remove(zone);
            }
        }
        return ordered;
    }

    /**
     * Hash of a node's or zone's name within a rollout. It is the same on every machine and in every release, so that
     * each leader selects the same nodes: FNV-1a over both names, followed by a mixing step.
     */
    static long hash(String changeId, String name) {
        long hash = 0xcbf29ce484222325L;
        String text = changeId + '\n' + name;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        return hash ^ (hash >>> 33);
    }
}
