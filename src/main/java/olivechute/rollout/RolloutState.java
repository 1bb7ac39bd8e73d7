package olivechute.rollout;

import java.util.Set;

/**
 * A rollout and its progress; stored after each step, so that another leader continues from it. Times in ms since the
 * epoch. {@code stageSinceMs}: start of the time to which the stage's minimum and maximum durations apply.
 * {@code moved}: nodes ordered to the new version (while ROLLING_BACK: those not yet ordered back). {@code evidence}:
 * state of the comparison, encoded by {@link EvidenceCodec}, at most 64 KiB.
 */
public record RolloutState(
        RolloutSpec spec,
        RolloutPhase phase,
        int stage,
        long stageSinceMs,
        String reason,
        Set<String> moved,
        byte[] evidence) {
    public RolloutState {
        moved = Set.copyOf(moved);
    }

    /** The initial state of a rollout. */
    public static RolloutState proposed(RolloutSpec spec, long nowMs) {
        return new RolloutState(spec, RolloutPhase.PROPOSED, 0, nowMs, "proposed", Set.of(), new byte[0]);
    }
}
