package olivechute.supervisor;

/** One address of a node, and the process there. */
final class NodeSlot {
    /** What is in the slot. */
    enum State {
        EMPTY,
        /** Left by an earlier supervisor, not known yet to be ready. */
        ADOPTED,
        STARTING,
        READY,
        DRAINING
    }

    final int index;
    final String address;
    State state = State.EMPTY;
    long runId;
    LaunchSpec launch;
    /** What it was told to go over to while it runs, else null. */
    LaunchSpec reloadTarget;
    /** ms at which the present state has lasted too long. */
    long deadlineMs = Long.MAX_VALUE;

    long readySinceMs;
    boolean killed;

    NodeSlot(int index, String address) {
        this.index = index;
        this.address = address;
    }

    void enter(State newState, long newDeadlineMs) {
        state = newState;
        deadlineMs = newDeadlineMs;
        reloadTarget = null;
        killed = false;
    }

    boolean isEmpty() {
        return state == State.EMPTY;
    }

    boolean isDraining() {
        return state == State.DRAINING;
    }

    boolean isStarting() {
        return state == State.STARTING;
    }

    /** Whether clients may be served there by a process that was not told to end. */
    boolean isServing() {
        return state == State.READY || state == State.ADOPTED;
    }

    boolean isReady() {
        return state == State.READY && reloadTarget == null;
    }

    boolean runsVersion(String version) {
        return !isEmpty() && !isDraining() && launch.version().equals(version);
    }
}
