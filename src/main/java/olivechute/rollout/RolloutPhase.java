package olivechute.rollout;

/** Phase of a rollout. Stored by name. */
public enum RolloutPhase {
    /** Accepted; the baseline is measured and no node has moved yet. */
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
     * The new version regressed or met an abort condition, such as a broken rule, or an operator stopped the rollout:
     * the new nodes are ordered back in steps within the disruption budget.
     */
    ROLLING_BACK,
    /** Ended: all nodes run the new version, which is now the base version. */
    DONE,
    /**
     * Ended: no node had moved, or all were ordered back and the reachable ones run the old version again or did not
     * become ready in time.
     */
    STOPPED;

    /** Whether the rollout is over and no more decisions are made. */
    public boolean ended() {
        return this == DONE || this == STOPPED;
    }
}
