package olivechute.loadbalancing;

/** Failures at one endpoint and the ejections that follow from them. Times are microseconds. */
final class OutlierState {
    /** Part of the recent responses that were errors; NaN while there was none. */
    double errorRate = Double.NaN;
    /** Whether it runs far slower than its peers. */
    boolean slow;
    /** Failures in a row; halved by each success. */
    int failureCount;
    /** Whether a connection broke and nothing has succeeded since. */
    boolean connectionReset;
    /** When the present ejection ends. */
    long ejectedUntilUs;
    /**
     * End of the last ejection that followed a broken connection and a failed connect. The process is taken to start at
     * that moment, whatever the endpoint list says; 0 if there was none.
     */
    long assumedStartUs;

    /** The endpoint started anew; what is held against the process before says nothing of it. */
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
