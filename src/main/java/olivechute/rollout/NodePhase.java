package olivechute.rollout;

/** State of a node as its supervisor reports it. Stored by name. */
public enum NodePhase {
    /** Started, not ready yet. */
    STARTING,
    /** Its health check reports that it is ready. */
    READY,
    /** Told to exit; completes the requests that it accepted. */
    DRAINING,
    /** Not running: exited by itself, or not started. */
    DOWN,
    /** Exited at its start because its settings or its program cannot be used. */
    REFUSED
}
