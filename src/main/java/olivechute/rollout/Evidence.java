package olivechute.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state that a leader needs besides the phase to continue a rollout: the sums of the comparison, since when nodes
 * have not been ready, and why the rollout is held or rolled back. Stored by {@link EvidenceCodec}.
 */
final class Evidence {
    /** Length of a block, the period over which each node's counts become one sample of the comparison. */
    static final long BLOCK_MS = 5_000;
    /** Maximum number of classes that are compared; the others are ignored. */
    static final int MAX_CLASSES = 8;
    /**
     * Series per class: served, failed, rejected, late. After those of all classes follow two more: the added delay and
     * its tail.
     */
    static final int SERIES_PER_CLASS = 4;

    /** Why a rollout is held. Stored by position; keep the order. */
    enum HoldReason {
        NONE,
        NODES_UNAVAILABLE,
        INSUFFICIENT_EVIDENCE,
        NO_METRICS
    }

    HoldReason holdReason = HoldReason.NONE;
    /** Whether an operator lets the held stage pass without enough evidence. */
    boolean operatorApproved;
    /** Why the rollout is rolled back. */
    String rollbackCause = "";
    /** When the first node of the stage moved, in ms since the epoch, or 0. */
    long firstMoveMs;
    /** Number of the current block, counted from the epoch; -1 before the first. */
    long currentBlock = -1;
    /** Index of the last delay bucket that counts as fast; -1 while unknown. */
    int lastFastBucket = -1;
    /** Compared classes; empty until the first metrics arrive. */
    List<String> classes = List.of();
    /** Requests at new nodes in the samples of the stage, by index of the class. */
    long[] newRequests = new long[0];
    /** The same at old nodes; in the first stage, the samples of the baseline are included. */
    long[] oldRequests = new long[0];
    /** Streams with a measured delay at new nodes in the samples of the stage. */
    long newStreams;
    /** By series. */
    VarianceEstimator[] estimators = new VarianceEstimator[0];
    /** By name of the node. */
    final Map<String, NodeEvidence> nodes = new TreeMap<>();
    /**
     * By name of the node: since when it has not been ready at its desired version while reachable, in ms since the
     * epoch.
     */
    final Map<String, Long> notReadySinceMs = new TreeMap<>();

    int seriesCount() {
        return estimators.length;
    }

    /** Starts the comparison over with these classes. The caller clears {@link #nodes}, whose sums are per series. */
    void startComparison(List<String> classNames) {
        classes = List.copyOf(classNames);
        newRequests = new long[classNames.size()];
        oldRequests = new long[classNames.size()];
        estimators = new VarianceEstimator[classNames.size() * SERIES_PER_CLASS + 2];
        for (int series = 0; series < estimators.length; series++) {
            estimators[series] = new VarianceEstimator();
        }
    }

    /** Discards all sums of the comparison. */
    void resetComparison() {
        classes = List.of();
        newRequests = new long[0];
        oldRequests = new long[0];
        newStreams = 0;
        estimators = new VarianceEstimator[0];
        nodes.clear();
    }

    int delaySeries() {
        return classes.size() * SERIES_PER_CLASS;
    }

    int tailSeries() {
        return delaySeries() + 1;
    }

    /** Requests that ended at new nodes since the stage began. */
    long totalNewRequests() {
        long sum = 0;
        for (long requests : newRequests) {
            sum += requests;
        }
        return sum;
    }

    /**
     * Begins the next stage: adds the old nodes' sums of the last one to the baseline and starts all stage sums over.
     */
    void nextStage(Set<String> moved) {
        nodes.forEach((name, node) -> node.nextStage(!moved.contains(name)));
        for (VarianceEstimator estimator : estimators) {
            estimator.nextStage();
        }
        newRequests = new long[classes.size()];
        oldRequests = new long[classes.size()];
        newStreams = 0;
        firstMoveMs = 0;
        operatorApproved = false;
        holdReason = HoldReason.NONE;
    }
}
