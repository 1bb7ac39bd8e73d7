package olivechute.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Aggregates the nodes' cumulative counts into the sums of the comparison, once per block of {@link Evidence#BLOCK_MS};
 * calls within a block do nothing.
 */
final class MetricsAggregator {
    /** A node is not compared for so long after it became ready, while it warms up. */
    static final long WARMUP_MS = 5_000;

    /** The counts of one node in one block. {@code isNew}: whether the node has moved. */
    private record BlockSample(NodeEvidence node, long[] counts, boolean isNew) {}

    private final Evidence evidence;
    private final RolloutSpec spec;
    private final Set<String> moved;
    private final PriorityWeights weights;

    MetricsAggregator(Evidence evidence, RolloutSpec spec, Set<String> moved, PriorityWeights weights) {
        this.evidence = evidence;
        this.spec = spec;
        this.moved = moved;
        this.weights = weights;
    }

    /**
     * Adds the samples of the block that ended; false if none ended or no class is known yet. {@code learningBaseline}:
     * no node has moved yet and the baseline is measured.
     */
    boolean collect(
            Collection<NodeStatus> nodes,
            Map<String, NodeMetrics> metricsByNode,
            boolean learningBaseline,
            long nowMs) {
        long block = Math.floorDiv(nowMs, Evidence.BLOCK_MS);
        if (block == evidence.currentBlock) {
            return false;
        }
        evidence.currentBlock = block;
        updateClassesAndThreshold(metricsByNode, learningBaseline);
        if (evidence.classes.isEmpty()) {
            return false;
        }
        Map<String, List<BlockSample>> samplesByZone = new TreeMap<>();
        Set<String> sampledNodes = EvidenceLimits.sampleNodes(spec, nodes, evidence.seriesCount());
        for (NodeStatus node : nodes) {
            if (sampledNodes.contains(node.node())) {
                addSample(node, metricsByNode.get(node.node()), nowMs, samplesByZone);
            }
        }
        evidence.nodes.keySet().retainAll(sampledNodes);
        double[] residuals = new double[evidence.seriesCount()];
        double[] expected = new double[evidence.seriesCount()];
        for (List<BlockSample> samples : samplesByZone.values()) {
            for (int series = 0; series < evidence.seriesCount(); series++) {
                if (learningBaseline) {
                    updateBaseline(samples, series);
                } else {
                    compareNewNodes(samples, series, residuals, expected);
                }
            }
        }
        for (int series = 0; series < expected.length; series++) {
            if (expected[series] > 0) {
                VarianceEstimator estimator = evidence.estimators[series];
                estimator.blockCount++;
                estimator.residualSquares += residuals[series] * residuals[series];
                estimator.residualTimesExpected += residuals[series] * expected[series];
                estimator.expectedSquares += expected[series] * expected[series];
            }
        }
        return true;
    }

    private void updateClassesAndThreshold(Map<String, NodeMetrics> metricsByNode, boolean learningBaseline) {
        if (learningBaseline || evidence.classes.isEmpty()) {
            Set<String> classNames = new TreeSet<>(evidence.classes);
            metricsByNode
                    .values()
                    .forEach(metrics -> metrics.classes().forEach((name, counts) -> {
                        if (counts.received() > 0 && classNames.size() < Evidence.MAX_CLASSES) {
                            classNames.add(name);
                        }
                    }));
            // The sums are kept per class, so that a new class starts them over.
            if (classNames.size() > evidence.classes.size()) {
                evidence.startComparison(new ArrayList<>(classNames));
                evidence.nodes.clear();
            }
        }
        if (evidence.lastFastBucket < 0) {
            evidence.lastFastBucket = DelayTailThreshold.lastFastBucket(
                    metricsByNode.values().stream()
                            .filter(metrics -> metrics.version().equals(spec.fromVersion()))
                            .toList(),
                    weights.delayBoundsUs());
            // Totals counted without the threshold cannot be subtracted from those counted with it.
            if (evidence.lastFastBucket >= 0) {
                evidence.nodes.values().forEach(node -> node.blockStartTotals = null);
            }
        }
    }

    /**
     * Adds the node's counts since the last block boundary to its zone's samples if it was comparable at both ends of
     * the block.
     */
    private void addSample(
            NodeStatus status, NodeMetrics metrics, long nowMs, Map<String, List<BlockSample>> samplesByZone) {
        NodeEvidence node =
                evidence.nodes.computeIfAbsent(status.node(), name -> new NodeEvidence(evidence.seriesCount()));
        boolean isNew = moved.contains(status.node());
        String version = isNew ? spec.toVersion() : spec.fromVersion();
        boolean comparable = metrics != null
                && status.phase() == NodePhase.READY
                && status.reachable()
                && version.equals(status.version())
                && version.equals(metrics.version())
                && nowMs - status.phaseSinceMs() >= WARMUP_MS
                && (metrics.incarnation() != node.incarnation || metrics.sequence() > node.sequence);
        if (!comparable) {
            node.blockStartTotals = null;
            return;
        }
        long[] totals = MetricsSample.of(metrics, evidence.classes, weights.delayBoundsUs(), evidence.lastFastBucket);
        if (node.blockStartTotals != null && node.incarnation == metrics.incarnation()) {
            long[] delta = MetricsSample.difference(node.blockStartTotals, totals);
            if (delta != null) {
                samplesByZone
                        .computeIfAbsent(status.zone(), zone -> new ArrayList<>())
                        .add(new BlockSample(node, delta, isNew));
                addSampleSizes(delta, isNew);
            }
        }
        node.blockStartTotals = totals;
        node.incarnation = metrics.incarnation();
        node.sequence = metrics.sequence();
    }

    private void addSampleSizes(long[] delta, boolean isNew) {
        for (int c = 0; c < evidence.classes.size(); c++) {
            (isNew ? evidence.newRequests : evidence.oldRequests)[c] += MetricsSample.requests(delta, c);
        }
        evidence.newStreams += isNew ? MetricsSample.of(delta, evidence.delaySeries(), evidence.classes.size()) : 0;
    }

    private double observedValue(BlockSample sample, int series) {
        return MetricsSample.seriesValue(sample.counts, series, evidence.classes, weights);
    }

    private long sampleSize(BlockSample sample, int series) {
        return MetricsSample.of(sample.counts, series, evidence.classes.size());
    }

    /** Updates the baseline: each node against the mean of its zone. */
    private void updateBaseline(List<BlockSample> samples, int series) {
        double observed = 0;
        long total = 0;
        for (BlockSample sample : samples) {
            observed += observedValue(sample, series);
            total += sampleSize(sample, series);
        }
        if (total == 0 || observed <= 0) {
            return;
        }
        addOldNodeResiduals(samples, series, true);
        for (BlockSample sample : samples) {
            double expected = sampleSize(sample, series) * observed / total;
            sample.node.baselineResidual[series] += (float) (observedValue(sample, series) - expected);
            sample.node.baselineExpected[series] += (float) expected;
        }
    }

    /**
     * Adds the residual of each old node, against what the other old nodes of the zone predict, to the variance and,
     * during a stage, to the sums of the node.
     */
    private void addOldNodeResiduals(List<BlockSample> samples, int series, boolean learningBaseline) {
        double observed = 0;
        long total = 0;
        for (BlockSample sample : samples) {
            if (!sample.isNew && sample.node.hasBaseline(series)) {
                observed += observedValue(sample, series) / sample.node.baselineRatio(series);
                total += sampleSize(sample, series);
            }
        }
        VarianceEstimator estimator = evidence.estimators[series];
        for (BlockSample sample : samples) {
            if (sample.isNew
                    || !sample.node.hasBaseline(series)
                    || sampleSize(sample, series) == 0
                    || total == sampleSize(sample, series)) {
                continue;
            }
            double otherNodesRate = (observed - observedValue(sample, series) / sample.node.baselineRatio(series))
                    / (total - sampleSize(sample, series));
            double expected =
                    sampleSize(sample, series) * Math.max(0, otherNodesRate) * sample.node.baselineRatio(series);
            double residual = observedValue(sample, series) - expected;
            if (learningBaseline) {
                estimator.baselineSquares += residual * residual;
                estimator.baselineExpected += expected;
                estimator.baselineCount++;
            } else {
                estimator.stageSquares += residual * residual;
                estimator.stageExpected += expected;
                estimator.stageCount++;
                sample.node.stageResidual[series] += (float) residual;
                sample.node.stageExpected[series] += (float) expected;
            }
        }
    }

    /** Compares the new nodes with the mean of the old nodes of their zone, each scaled by its baseline ratio. */
    private void compareNewNodes(List<BlockSample> samples, int series, double[] residualSums, double[] expectedSums) {
        double observed = 0;
        double baselineWeightedTotal = 0;
        double baselineExpected = 0;
        long total = 0;
        int oldNodeCount = 0;
        for (BlockSample sample : samples) {
            if (!sample.isNew && sample.node.hasBaseline(series) && sampleSize(sample, series) > 0) {
                observed += observedValue(sample, series) / sample.node.baselineRatio(series);
                baselineWeightedTotal += sampleSize(sample, series) * sample.node.baselineRatio(series);
                baselineExpected += sample.node.baselineExpected[series];
                total += sampleSize(sample, series);
                oldNodeCount++;
            }
        }
        if (total == 0 || observed <= 0) {
            return;
        }
        addOldNodeResiduals(samples, series, false);
        double zoneExpected = 0;
        for (BlockSample sample : samples) {
            if (sample.isNew && sample.node.hasBaseline(series) && sampleSize(sample, series) > 0) {
                double expected = sampleSize(sample, series) * (observed / total) * sample.node.baselineRatio(series);
                double residual = observedValue(sample, series) - expected;
                sample.node.stageResidual[series] += (float) residual;
                sample.node.stageExpected[series] += (float) expected;
                residualSums[series] += residual;
                expectedSums[series] += expected;
                zoneExpected += expected;
            }
        }
        // The old nodes' error affects all new nodes of the zone alike.
        VarianceEstimator estimator = evidence.estimators[series];
        estimator.controlBlockSum += zoneExpected * zoneExpected / (baselineWeightedTotal * observed / total);
        estimator.controlBaselineSum += zoneExpected / Math.sqrt(baselineExpected);
        estimator.controlDriftSum += zoneExpected / Math.sqrt(oldNodeCount);
    }
}
