package olivechute.rollout;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * All that a lead needs beside the phase to go on: the comparison's sums, since when moved nodes are waited for, why it
 * stopped.
 */
final class Evidence {
    /** Length of a block, the unit of the comparison. */
    static final long BLOCK_MS = 5_000;
    /** More classes than this are not compared. */
    static final int MAX_CLASSES = 8;
    /** For each class: served, failed, refused, late; then added delay and its tail. */
    static final int SERIES_PER_CLASS = 4;

    /** Why it is held. */
    enum HoldReason {
        NONE,
        NODES_UNAVAILABLE,
        INSUFFICIENT_EVIDENCE,
        NO_METRICS
    }

    HoldReason holdReason = HoldReason.NONE;
    /** An operator took it on himself that the stage passes. */
    boolean operatorApproved;
    /** Why it is rolled back. */
    String rollbackCause = "";
    /** When the stage's first node moved, or 0. */
    long firstMoveMs;
    /** Number of the block under way, -1 before the first. */
    long currentBlock = -1;
    /** Index of the delay bucket up to which a stream counts as quick; -1 while unknown. */
    int lastFastBucket = -1;
    /** Classes compared; empty until the first figures come. */
    List<String> classes = List.of();

    long[] newRequests = new long[0];
    long[] oldRequests = new long[0];
    long newStreams;
    VarianceEstimator[] estimators = new VarianceEstimator[0];
    final Map<String, NodeEvidence> nodes = new TreeMap<>();
    /** Nodes not ready, and since when they have been so while their machines could be reached. */
    final Map<String, Long> notReadySinceMs = new TreeMap<>();

    int seriesCount() {
        return estimators.length;
    }

    void startComparison(List<String> names) {
        classes = List.copyOf(names);
        newRequests = new long[names.size()];
        oldRequests = new long[names.size()];
        estimators = new VarianceEstimator[names.size() * SERIES_PER_CLASS + 2];
        for (int series = 0; series < estimators.length; series++) {
            estimators[series] = new VarianceEstimator();
        }
    }

    /** Drops all that was counted. */
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

    /** Jobs ended at new nodes since the stage began. */
    long totalNewRequests() {
        long sum = 0;
        for (long requests : newRequests) {
            sum += requests;
        }
        return sum;
    }

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
