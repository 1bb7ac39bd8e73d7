package olivechute.loadbalancing;

/** The last load report of one endpoint and its typical values. Times are microseconds. */
final class LoadReportState {
    /** Approximate age of a load report's content on arrival. */
    static final long REPORT_DELAY_US = 500_000;
    /** Older reports are not used. */
    static final long MAX_REPORT_AGE_US = 2_500_000;

    private static final double TYPICAL_SAMPLE_WEIGHT = 0.3;
    /** An endpoint that reports fewer free slots than this counts as full. */
    private static final double FREE_SLOT_THRESHOLD = 0.5;

    private static final long NEVER_US = Long.MIN_VALUE / 2;
    private static final long NOT_FULL_US = Long.MAX_VALUE / 2;

    private double freeSlots = Double.NaN;
    private int ownSlotsInFlightAtReport;
    /** Smoothed number of slots that other nodes leave available to this node. */
    private double typicalSlots = Double.NaN;

    private double typicalMemory = Double.NaN;
    /** Whether the last report was a load report of the endpoint, and not a rejection. */
    private boolean fromLoadReport;

    private long lastReportAtUs = NEVER_US;
    private long fullSinceUs = NOT_FULL_US;

    /**
     * Applies a report. The slots that other nodes leave available are the free ones plus those that this node's
     * attempts occupied when the report was made.
     *
     * @param delayUs age of the report's content; 0 for a rejection, which counts as a report of no free slot
     * @param freeMemory NaN if not reported
     */
    void onReport(long nowUs, double reportedFreeSlots, double freeMemory, long delayUs, Endpoint endpoint) {
        long measuredStep = InFlightHistory.stepOf(nowUs - delayUs);
        freeSlots = reportedFreeSlots;
        ownSlotsInFlightAtReport = endpoint.inFlightHistory.slotsAt(measuredStep);
        lastReportAtUs = nowUs;
        typicalSlots = Smoothing.smooth(typicalSlots, freeSlots + ownSlotsInFlightAtReport, TYPICAL_SAMPLE_WEIGHT);
        fromLoadReport = delayUs > 0;
        // Without a free slot, some of this node's attempts may be queued at the endpoint and occupy no slot.
        if (reportedFreeSlots >= FREE_SLOT_THRESHOLD) {
            endpoint.kindStats.updateMaxSlots(
                    reportedFreeSlots + endpoint.inFlightHistory.minSlotsSince(measuredStep - 1));
        }
        fullSinceUs = reportedFreeSlots >= FREE_SLOT_THRESHOLD ? NOT_FULL_US : Math.min(fullSinceUs, nowUs);
        if (freeMemory >= 0) {
            typicalMemory =
                    Smoothing.smooth(typicalMemory, freeMemory + endpoint.memoryInFlight(), TYPICAL_SAMPLE_WEIGHT);
        }
    }

    /** Handles a send, which restarts the time that {@link #isReportedFullFor} measures. */
    void onSend(long nowUs) {
        fullSinceUs = Math.max(fullSinceUs, nowUs);
    }

    /** Handles an observation of how many slots this node's requests occupy at once. */
    void onRunningSlots(int runningSlots) {
        typicalSlots = Math.max(typicalSlots, runningSlots);
    }

    void clear() {
        lastReportAtUs = NEVER_US;
        typicalSlots = Double.NaN;
        typicalMemory = Double.NaN;
    }

    boolean hasReported() {
        return lastReportAtUs > NEVER_US;
    }

    boolean isFresh(long nowUs) {
        return nowUs - lastReportAtUs <= MAX_REPORT_AGE_US;
    }

    /** Returns the free slots of the last report. */
    double freeSlots() {
        return freeSlots;
    }

    /**
     * Returns whether the endpoint has reported no free slot for longer than {@code durationUs}, and nothing was sent
     * there in that time.
     */
    boolean isReportedFullFor(long nowUs, long durationUs) {
        return nowUs - fullSinceUs > durationUs;
    }

    /** Returns the endpoint's typical free memory, including what this node's attempts use; NaN while unknown. */
    double typicalMemory() {
        return typicalMemory;
    }

    /**
     * Returns the slots that other nodes leave available to this node: the value of the last report, which decays to
     * the typical value over the mean running time of a request.
     */
    double slotsAvailableToNode(long nowUs, double meanRunTimeUs) {
        double ageUs = nowUs - lastReportAtUs + (fromLoadReport ? REPORT_DELAY_US : 0);
        double weight = Math.exp(-ageUs / meanRunTimeUs);
        return weight * (freeSlots + ownSlotsInFlightAtReport) + (1 - weight) * typicalSlots;
    }
}
