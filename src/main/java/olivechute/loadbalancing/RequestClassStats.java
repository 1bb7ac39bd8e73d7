package olivechute.loadbalancing;

/** What a node has learned of the running time of one class of requests. */
final class RequestClassStats {
    private static final double MIN_MEAN_RUN_TIME_US = 1000;
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    final RequestClass requestClass;
    /** Position of the class in the settings. */
    final int index;
    /** The most slots that a request of the class occupied. */
    int maxSlots = 1;
    /** The longest time that a client left for a request, which is that of a first try. */
    long maxTimeLeftUs;

    private double meanRunTimeUs;
    private int finishedRequests;
    private double totalSlotTimeUs;

    /** Counts as having seen one request of {@code expectedRunTimeUs}. */
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

    /** Slot time of a mean request that is as wide as the widest; the unit in which slow start counts. */
    double referenceWorkUs() {
        return maxSlots * meanRunTimeUs();
    }

    /** Slot time of all requests that finished, and of the one first expected. */
    double totalSlotTimeUs() {
        return totalSlotTimeUs;
    }

    /** Orders classes by value for their work, the most valuable first. */
    static int compareByValue(RequestClassStats x, RequestClassStats y) {
        return Double.compare(
                x.meanRunTimeUs() * y.requestClass.priorityWeight(),
                y.meanRunTimeUs() * x.requestClass.priorityWeight());
    }
}
