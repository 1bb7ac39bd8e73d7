package olivechute.loadbalancing;

/** Running time statistics of one request class. */
final class RequestClassStats {
    private static final double MIN_MEAN_RUN_TIME_US = 1000;
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    final RequestClass requestClass;
    /** Position of the class in the settings. */
    final int index;
    /** Largest number of slots that a request of the class occupied. */
    int maxSlots = 1;
    /**
     * Longest remaining time of a request at its arrival; taken for that of all requests that are no client retries.
     */
    long maxTimeLeftUs;

    private double meanRunTimeUs;
    private int finishedRequests;
    private double totalSlotTimeUs;

    /** Starts as if one request of {@code expectedRunTimeUs} had been observed. */
    RequestClassStats(RequestClass requestClass, int index, double expectedRunTimeUs) {
        this.requestClass = requestClass;
        this.index = index;
        this.meanRunTimeUs = expectedRunTimeUs;
        this.totalSlotTimeUs = expectedRunTimeUs;
    }

    void onArrival(Request request, int slots) {
        maxTimeLeftUs = Math.max(maxTimeLeftUs, request.timeLeftUs());
        maxSlots = Math.max(maxSlots, slots);
    }

    void onFinished(double runTimeUs, int slots) {
        finishedRequests++;
        totalSlotTimeUs += slots * runTimeUs;
        meanRunTimeUs += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / finishedRequests) * (runTimeUs - meanRunTimeUs);
    }

    double meanRunTimeUs() {
        return Math.max(MIN_MEAN_RUN_TIME_US, meanRunTimeUs);
    }

    /**
     * Returns the slot time of a reference request: one with the mean running time of the class and as many slots as
     * its largest request. {@link SlowStart} counts in this unit.
     */
    double referenceWorkUs() {
        return maxSlots * meanRunTimeUs();
    }

    /** Returns the slot time of all finished requests plus that of the request initially expected. */
    double totalSlotTimeUs() {
        return totalSlotTimeUs;
    }

    /** Orders classes by priority weight per mean running time, the highest first. */
    static int compareByValue(RequestClassStats x, RequestClassStats y) {
        return Double.compare(
                x.meanRunTimeUs() * y.requestClass.priorityWeight(),
                y.meanRunTimeUs() * x.requestClass.priorityWeight());
    }
}
