package olivechute.loadbalancing;

/** Failures at one endpoint and the resulting ejections. Times are microseconds. */
final class OutlierState {
    /** Smoothed fraction of recent responses that were errors; NaN if there were none. */
    double errorRate = Double.NaN;
    /** Whether requests run far slower at this endpoint than at the others. */
    boolean slow;
    /** Number of failures, halved by each success. */
    int failureCount;
    /** Whether a connection broke and no request has succeeded since. */
    boolean connectionReset;
    /** End of the current ejection. */
    long ejectedUntilUs;
    /**
     * End of the last ejection that followed a broken connection and a failed connect. The process is assumed to start
     * at that time, whatever the endpoint list says; 0 if there was no such ejection.
     */
    long assumedStartUs;

    /** Handles a restart of the endpoint: the failures of the earlier process say nothing about the new one. */
    void clear() {
        errorRate = Double.NaN;
        slow = false;
        failureCount = 0;
        connectionReset = false;
        ejectedUntilUs = 0;
    }

    boolean isEjected(long nowUs) {
        return nowUs < ejectedUntilUs || slow;
    }
}
