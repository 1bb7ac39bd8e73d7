package olivechute.rollout;

/** Sums over blocks from which the variance of one series comes. {@code stage...}: since the stage began. */
final class VarianceEstimator {
    double baselineSquares;
    double baselineExpected;
    long baselineCount;
    double stageSquares;
    double stageExpected;
    long stageCount;
    /** Of the new nodes together: blocks, squares of rests, rest times level, squares of levels. */
    long blockCount;

    double residualSquares;
    double residualTimesExpected;
    double expectedSquares;
    /**
     * What the old nodes' own noise adds: per block, by what was usual of them, by their drift. Zones count as if they
     * erred alike.
     */
    double controlBlockSum;

    double controlBaselineSum;
    double controlDriftSum;

    private static final long MIN_SAMPLES = 20;

    boolean hasEnoughSamples() {
        return baselineCount + stageCount >= MIN_SAMPLES && baselineExpected + stageExpected > 0;
    }

    /**
     * Variance of a node's rest per unit of its level. Three events more than seen: nothing seen is not nothing
     * possible.
     */
    double varianceRate() {
        double pooledRate = (baselineSquares + stageSquares + 3) / (baselineExpected + stageExpected);
        return stageCount < MIN_SAMPLES || stageExpected <= 0
                ? pooledRate
                : Math.max(pooledRate, stageSquares / stageExpected);
    }

    /** Variance of the new nodes' summed rest as they show it themselves, given the shift found. */
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

    /** Variance that the old nodes add to the new nodes' summed rest. */
    double controlVariance(double varianceRate, double driftVariance) {
        return varianceRate * (controlBlockSum + controlBaselineSum * controlBaselineSum)
                + driftVariance * controlDriftSum * controlDriftSum;
    }

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
