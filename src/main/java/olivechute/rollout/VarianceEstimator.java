package olivechute.rollout;

/**
 * Sums over blocks from which the variance of one series is estimated. {@code baseline...}: from before the stage;
 * {@code stage...}: since the stage began; both of old nodes: squared residuals, expected values, and the number of
 * samples.
 */
final class VarianceEstimator {
    double baselineSquares;
    double baselineExpected;
    long baselineCount;
    double stageSquares;
    double stageExpected;
    long stageCount;
    /** Number of blocks of the stage with samples of new nodes. */
    long blockCount;
    /**
     * Sums over these blocks, of all new nodes together: squared residuals, residual times expected, squared expected
     * values.
     */
    double residualSquares;

    double residualTimesExpected;
    double expectedSquares;
    /**
     * Factors of the variance that the old nodes contribute as controls, see {@link #controlVariance}: per block, by
     * their baseline, by their drift. The errors of different zones are added as if fully correlated.
     */
    double controlBlockSum;

    double controlBaselineSum;
    double controlDriftSum;

    /** Minimum number of samples of old nodes for an estimate. */
    private static final long MIN_SAMPLES = 20;

    boolean hasEnoughSamples() {
        return baselineCount + stageCount >= MIN_SAMPLES && baselineExpected + stageExpected > 0;
    }

    /**
     * Variance of a node's residual per unit of its expected value. Three events are added to those seen, as none seen
     * does not mean that none are possible.
     */
    double varianceRate() {
        double pooledRate = (baselineSquares + stageSquares + 3) / (baselineExpected + stageExpected);
        return stageCount < MIN_SAMPLES || stageExpected <= 0
                ? pooledRate
                : Math.max(pooledRate, stageSquares / stageExpected);
    }

    /** Variance of the new nodes' summed residual as their own blocks show it, given the estimated effect. */
    double blockVariance(double relativeEffect) {
        if (blockCount < 2) {
            return 0;
        }
        return Math.max(
                        0,
                        residualSquares
                                - 2 * relativeEffect * residualTimesExpected
                                + relativeEffect * relativeEffect * expectedSquares)
                * blockCount
                / (blockCount - 1);
    }

    /** Variance that the old nodes contribute to the new nodes' summed residual. */
    double controlVariance(double varianceRate, double driftVariance) {
        return varianceRate * (controlBlockSum + controlBaselineSum * controlBaselineSum)
                + driftVariance * controlDriftSum * controlDriftSum;
    }

    /** Adds the stage's sums of old nodes to the baseline and resets all others. */
    void nextStage() {
        baselineSquares += stageSquares;
        baselineExpected += stageExpected;
        baselineCount += stageCount;
        stageSquares = 0;
        stageExpected = 0;
        stageCount = 0;
        blockCount = 0;
        residualSquares = 0;
        residualTimesExpected = 0;
        expectedSquares = 0;
        controlBlockSum = 0;
        controlBaselineSum = 0;
        controlDriftSum = 0;
    }
}
