package olivechute.rollout;

import java.util.List;

/**
 * What was proposed: from one version to another, in stages. At most {@code mostAway} nodes may be away (not READY) for
 * it at once.
 */
public record RolloutSpec(
        String id,
        String fromVersion,
        String toVersion,
        List<RolloutStage> stages,
        int maxUnavailable,
        long readyTimeoutMs) {
    public RolloutSpec {
        stages = List.copyOf(stages);
    }
}
