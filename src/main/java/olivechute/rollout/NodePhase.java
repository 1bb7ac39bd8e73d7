package olivechute.rollout;

/** What a supervisor tells of a node. */
public enum NodePhase {
    /** Started, not ready yet. */
    STARTING,
    /** Answers that it is ready. */
    READY,
    /** Told to end, still answering what it had taken. */
    DRAINING,
    /** Not running: ended by itself, or not started. */
    DOWN,
    /** Ended at its start because its settings or its program cannot be used. */
    REFUSED
}
