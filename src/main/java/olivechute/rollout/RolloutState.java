package olivechute.rollout;

import java.util.Set;

/**
 * A change and how far it is; kept in the store after each step, so that another lead goes on from it. Times in ms
 * since the epoch. {@code moved}: nodes ordered to the new version (while ROLLING_BACK: those not yet ordered back).
 * {@code evidence}: state of the comparison, in this package's own form, bounded to 64 KiB.
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

    /** A change as it begins. */
    public static RolloutState proposed(RolloutSpec spec, long nowMs) {
        return new RolloutState(spec, RolloutPhase.PROPOSED, 0, nowMs, "proposed", Set.of(), new byte[0]);
    }
}
