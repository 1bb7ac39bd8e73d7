package olivechute.metrics;

import olivechute.proxy.RequestMetrics;

/**
 * Counts since the process began. All of it runs on the loop, snapshots too, so nothing is locked and plain numbers do.
 */
final class RequestCounters implements RequestMetrics {
    private final long[][] classes; // by class, then as Snapshot orders them
    private final long[] delay = new long[DelayBuckets.BUCKETS];
    private long broken;
    private long sequence;

    RequestCounters(int classes) {
        this.classes = new long[classes][MetricsSnapshot.KINDS];
    }

    @Override
    public void onReceived(int requestClass) {
        classes[requestClass][MetricsSnapshot.TAKEN]++;
    }

    @Override
    public void onServed(int requestClass, boolean late) {
        classes[requestClass][late ? MetricsSnapshot.SERVED_LATE : MetricsSnapshot.SERVED_IN_TIME]++;
    }

    @Override
    public void onRejected(int requestClass) {
        classes[requestClass][MetricsSnapshot.REFUSED]++;
    }

    @Override
    public void onFailed(int requestClass) {
        classes[requestClass][MetricsSnapshot.FAILED]++;
    }

    @Override
    public void onClientDisconnected(int requestClass) {
        classes[requestClass][MetricsSnapshot.GONE]++;
    }

    @Override
    public void onFirstSend(long micros) {
        delay[DelayBuckets.index(micros)]++;
    }

    @Override
    public void onRuleViolated() {
        broken++;
    }

    /** What is counted so far, the next in the sequence; {@code now} in microseconds since the epoch. */
    MetricsSnapshot snapshot(long now) {
        long[][] copy = new long[classes.length][];
        for (int i = 0; i < copy.length; i++) {
            copy[i] = classes[i].clone();
        }
        return new MetricsSnapshot(++sequence, now / 1000, copy, broken, delay.clone());
    }
}
