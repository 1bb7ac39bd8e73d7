package olivechute.rollout;

/**
 * What the comparison keeps of a node. {@code edge}: its counts at the last block edge, as {@link MetricsSample} lays
 * them out, null where no block can begin there. Per series: {@code baseRest} and {@code baseLevel}, what it did beyond
 * its data centre's level and that level, summed while it ran the old version; {@code rest} and {@code level}, the same
 * since the stage began, the level being its own.
 */
final class NodeEvidence {
    long incarnation;
    long sequence;
    long[] blockStartTotals;
    float[] baselineResidual;
    float[] baselineExpected;
    float[] stageResidual;
    float[] stageExpected;

    NodeEvidence(int seriesCount) {
        baselineResidual = new float[seriesCount];
        baselineExpected = new float[seriesCount];
        stageResidual = new float[seriesCount];
        stageExpected = new float[seriesCount];
    }

    boolean hasBaseline(int series) {
        return baselineExpected[series] > 0 && baselineResidual[series] > -baselineExpected[series];
    }

    /** How the node stood to its data centre while all ran the old version: 1 for as the others. */
    double baselineRatio(int series) {
        return hasBaseline(series) ? 1 + baselineResidual[series] / (double) baselineExpected[series] : 1;
    }

    /** A new stage begins; an old node's last one adds to what is usual. */
    void nextStage(boolean onOldVersion) {
        for (int series = 0; series < stageResidual.length; series++) {
            if (onOldVersion && hasBaseline(series)) {
                double zoneExpected = stageExpected[series] / baselineRatio(series);
                baselineResidual[series] += (float) (stageResidual[series] + stageExpected[series] - zoneExpected);
                baselineExpected[series] += (float) zoneExpected;
            }
            stageResidual[series] = 0;
            stageExpected[series] = 0;
        }
    }
}
