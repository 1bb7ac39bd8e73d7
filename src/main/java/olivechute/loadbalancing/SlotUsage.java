package olivechute.loadbalancing;

/** Slot time used by the running requests of one tenant. Times are microseconds. */
final class SlotUsage {
    /** Running mean of the tenant's fraction of all slot time. */
    double averageShare;
    /** Slot time used since the last interval of the share controller. */
    double intervalSlotTimeUs;

    private int runningSlots;
    private long updatedAtUs;

    void start(long nowUs) {
        updatedAtUs = nowUs;
    }

    /** Changes the number of running slots from now on; {@code slotDelta} is negative when an attempt ends. */
    void add(long nowUs, int slotDelta) {
        intervalSlotTimeUs += (double) runningSlots * (nowUs - updatedAtUs);
        updatedAtUs = nowUs;
        runningSlots += slotDelta;
    }
}
