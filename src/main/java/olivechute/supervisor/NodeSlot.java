package olivechute.supervisor;

/**
 * One address of a node and the process there, as {@link NodeStateMachine} sees it. Times are milliseconds since the
 * epoch.
 */
final class NodeSlot {
    /** State of the process at the address. */
    enum State {
        EMPTY,
        /** Started by an earlier supervisor and not yet known to be ready. */
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
    /** What the process is reloading its configuration to, else null. */
    LaunchSpec reloadTarget;
    /** When the present state, or the reload in it, times out. */
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

    /** Whether the process may be serving clients and was not asked to end. */
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
