package olivechute.rollout;

/**
 * The comparison's state of one node. {@code incarnation} and {@code sequence}: those of the last metrics used.
 * {@code blockStartTotals}: its counts at the last block boundary, in the layout of {@link MetricsSample}, null if no
 * block can begin there. Per series: {@code baselineExpected} sums the value predicted from the mean of the node's zone
 * while all nodes ran the old version, and {@code baselineResidual} the deviation from it; {@code stageExpected} and
 * {@code stageResidual} are the same since the stage began, with the node's baseline ratio applied.
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

    /** The node's ratio to its zone while all nodes ran the old version; 1 for a node like the others. */
    double baselineRatio(int series) {
        return hasBaseline(series) ? 1 + baselineResidual[series] / (double) baselineExpected[series] : 1;
    }

    /** Begins a new stage; the last stage of a node on the old version is added to its baseline. */
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
