package olivechute.loadbalancing;

/**
 * Number of slots of one endpoint that this node's attempts occupy, now and at steps of the recent past. A load report
 * arrives late and has to be compared with what was in flight when it was made.
 */
final class InFlightHistory {
    /** Length of a step. */
    static final long STEP_US = 100_000;

    private static final int STEP_COUNT = 8;

    private final int[] slotsAtStep = new int[STEP_COUNT];
    private int slots;
    private long currentStep;

    static long stepOf(long timeUs) {
        return timeUs / STEP_US;
    }

    /** Returns the slots in flight now. */
    int slots() {
        return slots;
    }

    /** Changes the number of slots in flight from now on; {@code slotDelta} is negative when an attempt ends. */
    void add(long nowUs, int slotDelta) {
        long nowStep = stepOf(nowUs);
        for (long pastStep = Math.max(currentStep, nowStep - STEP_COUNT); pastStep < nowStep; pastStep++) {
            slotsAtStep[(int) (pastStep % STEP_COUNT)] = slots;
        }
        currentStep = nowStep;
        slots += slotDelta;
    }

    /** Returns the slots in flight at the end of a step, which must be within the history. */
    int slotsAt(long pastStep) {
        return pastStep >= currentStep ? slots : slotsAtStep[(int) Math.floorMod(pastStep, (long) STEP_COUNT)];
    }

    /** Returns the slots that were in flight all the time since a step, at the resolution of the history's steps. */
    int minSlotsSince(long pastStep) {
        int minSlots = slots;
        for (long laterStep = pastStep; laterStep < currentStep; laterStep++) {
            minSlots = Math.min(minSlots, slotsAt(laterStep));
        }
        return minSlots;
    }
}
