package olivechute.supervisor;

/** An action that {@link NodeStateMachine} decides on and {@link NodeRunner} carries out, in the order given. */
sealed interface NodeAction {
    /** Starts a process at the address with that index. */
    record Start(long runId, int addressIndex, LaunchSpec launch) implements NodeAction {}

    /** Manages a process of an earlier supervisor as if {@link Start} had started it. */
    record Adopt(long runId, int addressIndex, LaunchSpec launch) implements NodeAction {}

    /** Asks the process to drain and exit (SIGTERM). */
    record Drain(long runId) implements NodeAction {}

    /** Kills the process at once (SIGKILL). */
    record Kill(long runId) implements NodeAction {}

    /** Replaces the configuration file of the process and makes it read the file again (SIGHUP). */
    record Reload(long runId, LaunchSpec launch) implements NodeAction {}

    /**
     * Records what the process runs now, because it accepted the new configuration or kept the old one after a failed
     * reload: its configuration file and the stored state are written accordingly.
     */
    record RecordLaunch(long runId, LaunchSpec launch) implements NodeAction {}

    /** Prints a line for the operator. */
    record PrintLine(String line) implements NodeAction {}
}
