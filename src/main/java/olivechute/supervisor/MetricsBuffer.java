package olivechute.supervisor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import olivechute.fleet.wire.NodeFigures;

/** The newest figures of each node of the machine. */
final class MetricsBuffer {
    private final Set<String> nodes;
    private final Map<String, NodeFigures> latest = new HashMap<>();
    private final Map<String, Map<String, String>> versionOverride = new HashMap<>();
    private final Set<String> unpublished = new HashSet<>();

    MetricsBuffer(Set<String> nodes) {
        this.nodes = Set.copyOf(nodes);
    }

    /** What a node told: kept if it is newer. */
    enum UpdateResult {
        NEW_INCARNATION,
        NEWER,
        STALE,
        UNKNOWN_NODE
    }

    synchronized UpdateResult update(NodeFigures metrics) {
        if (!nodes.contains(metrics.getNode())) {
            return UpdateResult.UNKNOWN_NODE;
        }
        NodeFigures previous = latest.get(metrics.getNode());
        boolean newIncarnation = previous == null || metrics.getIncarnation() > previous.getIncarnation();
        boolean newer = newIncarnation
                || (metrics.getIncarnation() == previous.getIncarnation()
                        && metrics.getSequence() > previous.getSequence());
        if (!newer) {
            return UpdateResult.STALE;
        }
        latest.put(metrics.getNode(), metrics);
        unpublished.add(metrics.getNode());
        return newIncarnation ? UpdateResult.NEW_INCARNATION : UpdateResult.NEWER;
    }

    /** A process of the node was started: what it calls its version is so. */
    synchronized void processStarted(String node) {
        versionOverride.remove(node);
    }

    /** The node's process, started as one version, took over the settings of another, which it cannot know by name. */
    synchronized void versionOverride(String node, String startedVersion, String currentVersion) {
        versionOverride.put(node, Map.of(startedVersion, currentVersion));
    }

    /** What came since this was asked last. */
    synchronized List<NodeFigures> unpublished() {
        List<NodeFigures> result = new ArrayList<>();
        for (String node : unpublished) {
            NodeFigures metrics = latest.get(node);
            String version = versionOverride
                    .getOrDefault(node, Map.of())
                    .getOrDefault(metrics.getVersion(), metrics.getVersion());
            result.add(metrics.toBuilder().setVersion(version).build());
        }
        unpublished.clear();
        return result;
    }
}
