package olivechute.supervisor;

/** What is to be done for a node, in turn. */
sealed interface NodeAction {
    /** Starts a process at the address of that index. */
    record Start(long runId, int addressIndex, LaunchSpec launch) implements NodeAction {}

    /** Takes the process over, as {@link Start} without starting it. */
    record Adopt(long runId, int addressIndex, LaunchSpec launch) implements NodeAction {}

    /** Asks the process to end in good order. */
    record Drain(long runId) implements NodeAction {}

    /** Ends the process at once. */
    record Kill(long runId) implements NodeAction {}

    /** Replaces the configuration of the process and has it read again. */
    record Reload(long runId, LaunchSpec launch) implements NodeAction {}

    /**
     * The process runs this version now, as it took the new configuration or never left the old; its file is to say so.
     */
    record RecordLaunch(long runId, LaunchSpec launch) implements NodeAction {}

    /** Tells the operator. */
    record PrintLine(String line) implements NodeAction {}
}
