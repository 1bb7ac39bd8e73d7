package olivechute.rollout;

import java.util.List;

/**
 * A proposed rollout from one version to another, in stages. At most {@code maxUnavailable} nodes may be unavailable
 * (not READY) for it at once. {@code readyTimeoutMs}: how long a reachable node that has moved may take to become ready
 * before the rollout is rolled back.
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
