package olivechute.supervisor;

/**
 * An event for {@link NodeStateMachine}. A run is one process of the node; the state machine assigns its id when it
 * requests the start or the adoption.
 */
sealed interface NodeEvent {
    /** An order arrived; {@code error} says why it cannot be carried out and is empty if it can. */
    record OrderReceived(LaunchSpec launch, String error) implements NodeEvent {}

    /** A process of an earlier supervisor runs at the address with that index. */
    record Adopted(int addressIndex, LaunchSpec launch) implements NodeEvent {}

    /** The readiness probe of the run succeeded. */
    record Ready(long runId) implements NodeEvent {}

    /** The process of the run could not be started. */
    record StartFailed(long runId, String error) implements NodeEvent {}

    /**
     * The process of the run exited. {@code exitStatus} is null if it is unknown, {@code lastLine} is the last line of
     * its output.
     */
    record Exited(long runId, Integer exitStatus, String lastLine) implements NodeEvent {}

    /** The run reread its configuration; {@code error} says why it was not accepted and is empty if it was. */
    record Reloaded(long runId, String error) implements NodeEvent {}

    /** A deadline given by {@link NodeStateMachine#nextTickMs} may have passed. */
    record Tick() implements NodeEvent {}

    /** All processes have to end, and none is started any more. */
    record Stop() implements NodeEvent {}
}
