package olivechute.supervisor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import olivechute.fleet.wire.NodeFigures;

/**
 * Holds the newest metrics of each node of the machine. {@link MetricsReceiver} updates it from its connection threads,
 * {@link MetricsPublisher} takes what is new.
 */
final class MetricsBuffer {
    private final Set<String> nodes;
    private final Map<String, NodeFigures> latest = new HashMap<>();
    private final Map<String, Map<String, String>> versionOverride = new HashMap<>(); // started version -> present one
    private final Set<String> unpublished = new HashSet<>();

    MetricsBuffer(Set<String> nodes) {
        this.nodes = Set.copyOf(nodes);
    }

    /** What became of received metrics: they are kept if they are newer than those held. */
    enum UpdateResult {
        NEW_INCARNATION,
        NEWER,
        STALE,
        UNKNOWN_NODE
    }

    /** Keeps the metrics of a known node if their incarnation or sequence number is higher. */
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

    /** Ends the override by {@link #versionOverride}: a new process of the node reports the right version itself. */
    synchronized void processStarted(String node) {
        versionOverride.remove(node);
    }

    /**
     * Replaces the version in the metrics of a process that reloaded its settings: it goes on reporting the version
     * that it was started with.
     */
    synchronized void versionOverride(String node, String startedVersion, String currentVersion) {
        versionOverride.put(node, Map.of(startedVersion, currentVersion));
    }

    /** Returns the metrics received since the last call, the newest of each node. */
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
