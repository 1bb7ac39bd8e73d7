package olivechute.rollout;

import java.util.ArrayList;
import java.util.List;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;

/** Whether a change can be carried out. */
final class RolloutSpecValidator {
    private static final int MAX_STAGES = 20;
    private final List<RolloutException> errors = new ArrayList<>();

    private RolloutSpecValidator() {}

    static List<RolloutException> validate(RolloutSpec spec, int nodeCount) {
        RolloutSpecValidator validator = new RolloutSpecValidator();
        validator.require(!spec.id().isEmpty(), "the change has no id");
        validator.require(
                !spec.fromVersion().isEmpty() && !spec.toVersion().isEmpty(),
                "it lacks the version that it goes from or to");
        validator.require(
                !spec.fromVersion().equals(spec.toVersion()),
                "it goes from version " + spec.fromVersion() + " to the same");
        validator.require(nodeCount > 0, "no node is known");
        validator.require(spec.maxUnavailable() > 0, "mostAway is " + spec.maxUnavailable() + ", nothing could move");
        validator.require(
                nodeCount == 0 || spec.maxUnavailable() < nodeCount || nodeCount == 1,
                "mostAway is " + spec.maxUnavailable() + " of " + nodeCount + " nodes, none would serve");
        validator.require(spec.readyTimeoutMs() > 0, "readyWithinMs is " + spec.readyTimeoutMs());
        validator.require(
                !spec.stages().isEmpty() && spec.stages().size() <= MAX_STAGES,
                "it has " + spec.stages().size() + " stages, 1 to " + MAX_STAGES + " are allowed");
        int previousSize = 0;
        for (int i = 0; i < spec.stages().size(); i++) {
            RolloutStage stage = spec.stages().get(i);
            String stageName = "stage " + (i + 1);
            validator.require(
                    stage.nodes() >= 0
                            && stage.percent() >= 0
                            && stage.percent() <= 100
                            && (stage.nodes() > 0) != (stage.percent() > 0),
                    stageName + " names neither or both of a number of nodes and a percentage of 1 to 100");
            validator.require(
                    stage.minDurationMs() >= 0
                            && stage.maxDurationMs() >= stage.minDurationMs()
                            && stage.maxDurationMs() > 0,
                    stageName + " lasts from " + stage.minDurationMs() + " to " + stage.maxDurationMs() + " ms");
            validator.require(stage.minRequests() >= 0, stageName + " wants " + stage.minRequests() + " jobs");
            int size = NodeSelection.targetNodeCount(stage, nodeCount);
            validator.require(size >= previousSize, stageName + " has fewer nodes than the one before");
            previousSize = size;
        }
        validator.require(
                spec.stages().isEmpty() || previousSize == nodeCount,
                "the last stage takes " + previousSize + " of " + nodeCount + " nodes");
        return List.copyOf(validator.errors);
    }

    private void require(boolean valid, String message) {
        if (!valid) {
            errors.add(new RolloutException(ErrorCode.CHANGE_INVALID, message));
        }
    }
}
