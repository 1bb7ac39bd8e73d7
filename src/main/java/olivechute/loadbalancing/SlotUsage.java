package olivechute.loadbalancing;

/** Slot time that one tenant's running requests use. Times are microseconds. */
final class SlotUsage {
    /** Running mean of the tenant's part of all slot time. */
    double averageShare;
    /** Slot time used since the share controller last looked. */
    double intervalSlotTimeUs;

    private int runningSlots;
    private long updatedAtUs;

    void start(long nowUs) {
        updatedAtUs = nowUs;
    }

    /** So many more slots run from now on; a negative number ends some. */
    void add(long nowUs, int slotDelta) {
        intervalSlotTimeUs += (double) runningSlots * (nowUs - updatedAtUs);
        updatedAtUs = nowUs;
        runningSlots += slotDelta;
    }
}
