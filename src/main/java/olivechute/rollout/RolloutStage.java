package olivechute.rollout;

/**
 * One stage: at its end {@code nodes} nodes run the new version or, where that is 0, {@code percent} of all, rounded
 * up. It passes after {@code leastMs} at the earliest and with {@code leastJobs} jobs ended at new nodes since its
 * begin; without enough evidence by {@code longestMs} the change is held.
 */
public record RolloutStage(int nodes, int percent, long minDurationMs, long maxDurationMs, long minRequests) {}
