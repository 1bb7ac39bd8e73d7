package olivechute.rollout;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sequential test on the sums in {@link Evidence}, which defines blocks and series. The relative effect of a series is
 * the new nodes' residual over their expected value; around it lies a confidence sequence with a normal mixture
 * boundary (Robbins; Howard and Ramdas), so that the test may run after each block without inflating the error
 * probability. docs/rollout-design.md gives the reasons. Created by {@link Rollout} for one step.
 */
final class Comparison {
    /** Probability of a false stop, allotted to a whole rollout. */
    static final double FALSE_STOP_PROBABILITY = 0.005;
    /** Probability that a stage passes although a significant loss exists. */
    static final double FALSE_PASS_PROBABILITY = 0.05;
    /** Relative loss of a class's weighted served requests from which on it is significant. */
    static final double SIGNIFICANT_LOSS = 0.05;
    /**
     * Share of all requests from which on a class must be shown not to have a significant loss; smaller classes do not
     * delay a stage.
     */
    static final double MIN_CLASS_SHARE = 0.05;
    /**
     * Lower bound of the estimated drift: relative standard deviation by which a node's ratio to other nodes changes by
     * itself, as at a restart.
     */
    private static final double MIN_DRIFT_STDDEV = 0.003;

    /** Size of the effects to detect in fractions of requests or streams, relative to the expected value. */
    private static final double SHARE_EFFECT_SCALE = 0.05;
    /** Size of the effects to detect in the mean delay, relative to the expected value. */
    private static final double DELAY_EFFECT_SCALE = 0.5;
    /** Minimum number of moved nodes for a test of the delay tail. */
    private static final int MIN_TAIL_NODES = 2;
    /** Minimum number of blocks for any test. */
    private static final int MIN_BLOCKS = 4;
    /** In the order of the series of a class. */
    private static final String[] OUTCOME_NAMES = {"served", "not failed", "not refused", "not late"};

    /**
     * An effect relative to the expected value, its variance, the expected and the observed mean per request or stream,
     * and the number of requests or streams at new nodes.
     */
    record EffectEstimate(
            double relativeEffect, double variance, double expectedMean, double observedMean, long sampleSize) {
        /**
         * Half width of the interval around the effect that holds over all blocks together with this error probability.
         * {@code effectScale}: size of the effects to detect; {@code maxDeviation}: how far one request can deviate,
         * for events too rare for a normal approximation (Bernstein's term).
         */
        double halfWidth(double errorProbability, double effectScale, double maxDeviation) {
            double mixtureVariance = effectScale * effectScale;
            double logBound = Math.log(1 / errorProbability) + 0.5 * Math.log(1 + mixtureVariance / variance);
            return Math.sqrt(2 * logBound * variance * (variance + mixtureVariance) / mixtureVariance)
                    + maxDeviation * logBound / (3 * sampleSize);
        }
    }

    private final Evidence evidence;
    private final Set<String> moved;
    private final double errorProbability;
    private final long nowMs;

    Comparison(Evidence evidence, Set<String> moved, int stageCount, long nowMs) {
        this.evidence = evidence;
        this.moved = moved;
        this.nowMs = nowMs;
        errorProbability = FALSE_STOP_PROBABILITY / Math.max(1, stageCount * evidence.seriesCount());
    }

    /** The first series proven worse at new nodes, as a sentence. */
    Optional<String> findRegression() {
        for (int c = 0; c < evidence.classes.size(); c++) {
            for (int outcome = 0; outcome < Evidence.SERIES_PER_CLASS; outcome++) {
                int series = c * Evidence.SERIES_PER_CLASS + outcome;
                // Tolerated increase of the fraction of requests: 0.2 % for failed ones, 1 % for rejected or late ones.
                // A loss of served requests needs no minimum size.
                double tolerance = outcome == 0 ? 0 : outcome == 1 ? 0.002 : 0.01;
                EffectEstimate effect = estimateEffect(series, evidence.newRequests[c]);
                if (effect != null) {
                    double upperBound =
                            (effect.relativeEffect + effect.halfWidth(errorProbability, SHARE_EFFECT_SCALE, 1))
                                    * effect.expectedMean;
                    if (upperBound < -tolerance) {
                        return Optional.of(format(
                                "class %s %s %.3f at new nodes against %.3f at old ones, difference at most %.3f, "
                                        + "after %d s",
                                evidence.classes.get(c),
                                OUTCOME_NAMES[outcome],
                                effect.observedMean,
                                effect.expectedMean,
                                upperBound,
                                secondsSinceFirstMove()));
                    }
                }
            }
        }
        return findDelayRegression();
    }

    /**
     * Tests the mean added delay, then the fraction of streams up to the threshold of {@link DelayTailThreshold}. For
     * the mean, {@link DelayTailThreshold#SIGNIFICANT_DELAY_MS} is added to each delay: added delays are usually near
     * zero, where random differences are large relative to the mean, so that a real increase would never be proven as a
     * multiple.
     */
    private Optional<String> findDelayRegression() {
        if (evidence.seriesCount() == 0) {
            return Optional.empty();
        }
        EffectEstimate delay = estimateEffect(evidence.delaySeries(), evidence.newStreams);
        if (delay != null) {
            double lowerBound = (delay.relativeEffect - delay.halfWidth(errorProbability, DELAY_EFFECT_SCALE, 10))
                    * delay.expectedMean;
            if (lowerBound > DelayTailThreshold.SIGNIFICANT_DELAY_MS) {
                return Optional.of(format(
                        "added delay %.1f ms at new nodes against %.1f ms at old ones, difference at least %.1f ms, "
                                + "after %d s",
                        delay.observedMean - DelayTailThreshold.SIGNIFICANT_DELAY_MS,
                        delay.expectedMean - DelayTailThreshold.SIGNIFICANT_DELAY_MS,
                        lowerBound,
                        secondsSinceFirstMove()));
            }
        }
        EffectEstimate tail = evidence.lastFastBucket < 0 || moved.size() < MIN_TAIL_NODES
                ? null
                : estimateEffect(evidence.tailSeries(), evidence.newStreams);
        if (tail != null) {
            double upperBound =
                    (tail.relativeEffect + tail.halfWidth(errorProbability, SHARE_EFFECT_SCALE, 1)) * tail.expectedMean;
            // Up to 1 % more of the streams may lie above the threshold than at old nodes.
            if (upperBound < -0.01) {
                return Optional.of(format(
                        "streams within the old nodes' 99th percentile of added delay and %d ms: %.3f at new nodes against "
                                + "%.3f at old ones, difference at most %.3f, after %d s",
                        DelayTailThreshold.SIGNIFICANT_DELAY_MS,
                        tail.observedMean,
                        tail.expectedMean,
                        upperBound,
                        secondsSinceFirstMove()));
            }
        }
        return Optional.empty();
    }

    /** Why a significant loss of some class is not excluded yet, as a clause; empty when it is excluded for all. */
    Optional<String> findInconclusiveClass() {
        long allRequests = 0;
        for (int c = 0; c < evidence.classes.size(); c++) {
            allRequests += evidence.newRequests[c] + evidence.oldRequests[c];
        }
        if (evidence.classes.isEmpty() || allRequests == 0) {
            return Optional.of("no metrics to compare");
        }
        for (int c = 0; c < evidence.classes.size(); c++) {
            String name = evidence.classes.get(c);
            if (evidence.newRequests[c] + evidence.oldRequests[c] < MIN_CLASS_SHARE * allRequests) {
                continue;
            }
            EffectEstimate effect = estimateEffect(c * Evidence.SERIES_PER_CLASS, evidence.newRequests[c]);
            if (effect == null) {
                return Optional.of("no metrics of class " + name + " to compare");
            }
            double lowerBound = effect.relativeEffect
                    - effect.halfWidth(FALSE_PASS_PROBABILITY / evidence.classes.size(), SHARE_EFFECT_SCALE, 1);
            if (lowerBound < -SIGNIFICANT_LOSS) {
                return Optional.of(format(
                        "class %s served %.3f at new nodes against %.3f at old ones may still be %.1f %% worse, "
                                + "%.1f %% matter",
                        name, effect.observedMean, effect.expectedMean, -100 * lowerBound, 100 * SIGNIFICANT_LOSS));
            }
        }
        return Optional.empty();
    }

    /**
     * The effect of the new version on a series; null while there are too few samples or blocks. {@code sampleSize}:
     * requests or streams at new nodes.
     */
    private EffectEstimate estimateEffect(int series, long sampleSize) {
        VarianceEstimator estimator = evidence.estimators[series];
        if (!estimator.hasEnoughSamples() || estimator.blockCount < MIN_BLOCKS || sampleSize <= 0) {
            return null;
        }
        double varianceRate = estimator.varianceRate();
        double driftVariance = estimateDriftVariance(series, varianceRate);
        double residual = 0;
        double expected = 0;
        double baselineVariance = 0;
        for (Map.Entry<String, NodeEvidence> entry : evidence.nodes.entrySet()) {
            NodeEvidence node = entry.getValue();
            if (moved.contains(entry.getKey()) && node.stageExpected[series] > 0) {
                residual += node.stageResidual[series];
                expected += node.stageExpected[series];
                baselineVariance += (double) node.stageExpected[series]
                        * node.stageExpected[series]
                        * (varianceRate / node.baselineExpected[series] + driftVariance);
            }
        }
        if (expected <= 0) {
            return null;
        }
        double relativeEffect = residual / expected;
        double variance = Math.max(varianceRate * expected, estimator.blockVariance(relativeEffect))
                + baselineVariance
                + estimator.controlVariance(varianceRate, driftVariance);
        return new EffectEstimate(
                relativeEffect,
                variance / expected / expected,
                expected / sampleSize,
                (expected + residual) / sampleSize,
                sampleSize);
    }

    /**
     * Variance of the old nodes' ratio to their baseline beyond sampling variance; its lower bound while fewer than 5
     * old nodes can be compared.
     */
    private double estimateDriftVariance(int series, double varianceRate) {
        double sum = 0;
        int count = 0;
        for (Map.Entry<String, NodeEvidence> entry : evidence.nodes.entrySet()) {
            NodeEvidence node = entry.getValue();
            if (!moved.contains(entry.getKey()) && node.stageExpected[series] > 0 && node.hasBaseline(series)) {
                double relativeResidual = node.stageResidual[series] / (double) node.stageExpected[series];
                sum += relativeResidual * relativeResidual
                        - varianceRate / node.stageExpected[series]
                        - varianceRate / node.baselineExpected[series];
                count++;
            }
        }
        return count < 5
                ? MIN_DRIFT_STDDEV * MIN_DRIFT_STDDEV
                : Math.max(MIN_DRIFT_STDDEV * MIN_DRIFT_STDDEV, sum / count);
    }

    private long secondsSinceFirstMove() {
        return evidence.firstMoveMs == 0 ? 0 : (nowMs - evidence.firstMoveMs) / 1000;
    }

    private static String format(String format, Object... args) {
        return String.format(Locale.ROOT, format, args);
    }
}
