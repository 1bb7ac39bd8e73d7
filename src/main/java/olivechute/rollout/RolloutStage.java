package olivechute.rollout;

/**
 * One stage: at its end {@code nodes} nodes run the new version or, if that is 0, {@code percent} of all, rounded up.
 * It passes after {@code minDurationMs} at the earliest and once {@code minRequests} requests have ended at new nodes
 * since its start; without enough evidence by {@code maxDurationMs} the rollout is held.
 */
public record RolloutStage(int nodes, int percent, long minDurationMs, long maxDurationMs, long minRequests) {}
