package olivechute.supervisor;

/** What happened to a node. A run is one process of it; its number is given by the machine that asked for the start. */
sealed interface NodeEvent {
    /** An order; {@code fault} says why it cannot be carried out, empty where it can. */
    record OrderReceived(LaunchSpec launch, String error) implements NodeEvent {}

    /** A process of an earlier supervisor runs at the address of that index. */
    record Adopted(int addressIndex, LaunchSpec launch) implements NodeEvent {}

    /** The run answered that it is ready. */
    record Ready(long runId) implements NodeEvent {}

    /** The run could not be started at all. */
    record StartFailed(long runId, String error) implements NodeEvent {}

    /** The run ended; {@code status} is null where nobody can tell, {@code line} the last that it said. */
    record Exited(long runId, Integer exitStatus, String lastLine) implements NodeEvent {}

    /** The run read its configuration again; {@code fault} says why it did not take it, empty where it did. */
    record Reloaded(long runId, String error) implements NodeEvent {}

    /** A time given by {@link NodeStateMachine#due} may have come. */
    record Tick() implements NodeEvent {}

    /** All processes are to end, and none is started any more. */
    record Stop() implements NodeEvent {}
}
