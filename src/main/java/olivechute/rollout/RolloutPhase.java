package olivechute.rollout;

/** Phase of a rollout. Stored by name. */
public enum RolloutPhase {
    /** Accepted; no node has moved yet. */
    PROPOSED,
    /** Nodes of the stage are being updated to the new version. */
    MOVING,
    /** All nodes of the stage serve the new version; old and new nodes are compared. */
    WATCHING,
    /**
     * Too little evidence by the stage's maximum duration, or nodes unavailable: no node moves until that changes or an
     * operator acts.
     */
    HELD,
    /** Paused by an operator. */
    PAUSED,
    /**
     * The new version did worse, broke a rule or was stopped: the new nodes are ordered back in steps within the
     * disruption budget.
     */
    ROLLING_BACK,
    /** Ended: all nodes run the new version, which is now the base. */
    DONE,
    /** Ended: all reachable nodes run the old version again. */
    STOPPED;

    /** Whether the rollout is over and no more decisions are made. */
    public boolean ended() {
        return this == DONE || this == STOPPED;
    }
}
