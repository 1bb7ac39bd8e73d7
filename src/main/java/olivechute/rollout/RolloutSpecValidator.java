package olivechute.rollout;

import java.util.ArrayList;
import java.util.List;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;

/** Checks whether a rollout can be carried out on a fleet of a given size. */
final class RolloutSpecValidator {
    private static final int MAX_STAGES = 20;
    private final List<RolloutException> errors = new ArrayList<>();

    private RolloutSpecValidator() {}

    static List<RolloutException> validate(RolloutSpec spec, int nodeCount) {
        RolloutSpecValidator validator = new RolloutSpecValidator();
        validator.require(!spec.id().isEmpty(), "the change has no id");
        validator.require(
                !spec.fromVersion().isEmpty() && !spec.toVersion().isEmpty(), "the old or the new version is missing");
        validator.require(
                !spec.fromVersion().equals(spec.toVersion()),
                "version " + spec.fromVersion() + " is both the old and the new version");
        validator.require(nodeCount > 0, "no node is known");
        validator.require(spec.maxUnavailable() > 0, "most_away is " + spec.maxUnavailable() + ", no node could move");
        validator.require(
                nodeCount == 0 || spec.maxUnavailable() < nodeCount || nodeCount == 1,
                "most_away is " + spec.maxUnavailable() + " of " + nodeCount + " nodes, none would serve");
        validator.require(spec.readyTimeoutMs() > 0, "ready_within must be over 0 ms, not " + spec.readyTimeoutMs());
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
                    stageName + " must give either a number of nodes or a percentage of 1 to 100");
            validator.require(
                    stage.minDurationMs() >= 0
                            && stage.maxDurationMs() >= stage.minDurationMs()
                            && stage.maxDurationMs() > 0,
                    stageName + " has a minimum duration of " + stage.minDurationMs() + " ms and a maximum of "
                            + stage.maxDurationMs() + " ms");
            validator.require(stage.minRequests() >= 0, stageName + " requires " + stage.minRequests() + " requests");
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
