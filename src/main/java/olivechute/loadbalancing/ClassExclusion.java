package olivechute.loadbalancing;

import java.util.Arrays;

/**
 * Excludes request classes from one endpoint: a class whose starts the endpoint does not report is not sent there for
 * some time, while other classes still are. Guards against endpoints that do not answer one class, or that accept
 * requests and answer none. A single start report may be lost on the network, so a class is excluded at its second
 * overdue start in a row, and each further one doubles the exclusion.
 */
final class ClassExclusion {
    private static final long FIRST_EXCLUSION_US = 8_000_000;
    private static final long MAX_EXCLUSION_US = 32_000_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final int OVERDUE_STARTS_TO_EXCLUDE = 2;

    private final int[] consecutiveOverdueStarts;
    private final long[] excludedUntilUs;

    ClassExclusion(int classCount) {
        consecutiveOverdueStarts = new int[classCount];
        excludedUntilUs = new long[classCount];
    }

    void onStarted(int classIndex) {
        consecutiveOverdueStarts[classIndex] = 0;
    }

    void onStartOverdue(long nowUs, int classIndex) {
        int overdueStarts = ++consecutiveOverdueStarts[classIndex];
        int doublings = Math.min(MAX_DOUBLINGS, overdueStarts - OVERDUE_STARTS_TO_EXCLUDE);
        excludedUntilUs[classIndex] = overdueStarts < OVERDUE_STARTS_TO_EXCLUDE
                ? 0
                : nowUs + Math.min(MAX_EXCLUSION_US, FIRST_EXCLUSION_US << doublings);
    }

    void clear() {
        Arrays.fill(consecutiveOverdueStarts, 0);
        Arrays.fill(excludedUntilUs, 0);
    }

    boolean excluded(long nowUs, int classIndex) {
        return nowUs < excludedUntilUs[classIndex];
    }

    /** Returns whether the last start of this class that was due was not reported. */
    boolean lastStartOverdue(int classIndex) {
        return consecutiveOverdueStarts[classIndex] > 0;
    }
}
