package olivechute.metrics;

import olivechute.proxy.RequestMetrics;

/**
 * Counters since the process started. They are updated and copied on the event loop only and therefore need no locks or
 * atomics.
 */
final class RequestCounters implements RequestMetrics {
    private final long[][] classCounts; // by request class, then by the index constants of MetricsSnapshot
    private final long[] delayCounts = new long[DelayBuckets.BUCKET_COUNT];
    private long ruleViolations;
    private long sequence;

    RequestCounters(int classCount) {
        this.classCounts = new long[classCount][MetricsSnapshot.COUNTS_PER_CLASS];
    }

    @Override
    public void onReceived(int requestClass) {
        classCounts[requestClass][MetricsSnapshot.RECEIVED]++;
    }

    @Override
    public void onServed(int requestClass, boolean late) {
        classCounts[requestClass][late ? MetricsSnapshot.SERVED_LATE : MetricsSnapshot.SERVED_IN_TIME]++;
    }

    @Override
    public void onRejected(int requestClass) {
        classCounts[requestClass][MetricsSnapshot.REJECTED]++;
    }

    @Override
    public void onFailed(int requestClass) {
        classCounts[requestClass][MetricsSnapshot.FAILED]++;
    }

    @Override
    public void onClientDisconnected(int requestClass) {
        classCounts[requestClass][MetricsSnapshot.CLIENT_DISCONNECTED]++;
    }

    @Override
    public void onFirstSend(long delayUs) {
        delayCounts[DelayBuckets.bucketIndex(delayUs)]++;
    }

    @Override
    public void onRuleViolated() {
        ruleViolations++;
    }

    /** Copies the counters under the next sequence number; {@code nowUs} is in microseconds since the epoch. */
    MetricsSnapshot snapshot(long nowUs) {
        long[][] copy = new long[classCounts.length][];
        for (int i = 0; i < copy.length; i++) {
            copy[i] = classCounts[i].clone();
        }
        return new MetricsSnapshot(++sequence, nowUs / 1000, copy, ruleViolations, delayCounts.clone());
    }
}
