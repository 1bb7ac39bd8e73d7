package olivechute.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import olivechute.error.RolloutException;

/**
 * Decides how a rollout proceeds. Pure functions: the same arguments give the same decision, and all state lies in
 * {@link RolloutState}. Times in ms since the epoch. The leader calls {@link #step} about once a second until the
 * rollout has ended.
 */
public final class Rollout {
    private final RolloutState state;
    private final RolloutSpec spec;
    private final Evidence evidence;
    private final boolean evidenceLost;
    private final Collection<NodeStatus> nodes;
    private final long nowMs;
    private final Set<String> moved;
    private final DisruptionBudget budget;

    private Rollout(RolloutState state, Collection<NodeStatus> nodes, long nowMs) {
        this.state = state;
        this.spec = state.spec();
        this.nodes = nodes;
        this.nowMs = nowMs;
        moved = new TreeSet<>(state.moved());
        budget = new DisruptionBudget(spec, nodes, moved);
        Optional<Evidence> decoded = EvidenceCodec.decode(state.evidence());
        evidence = decoded.orElseGet(Evidence::new);
        evidenceLost = decoded.isEmpty() && state.evidence().length > 0;
    }

    /**
     * The next state and the orders to write with it. {@code nodes}: all nodes that any supervisor reports, each once;
     * {@code metrics}: the newest of each node. An ended rollout stays as it is, without orders.
     */
    public static RolloutDecision step(
            RolloutState state,
            Collection<NodeStatus> nodes,
            Collection<NodeMetrics> metrics,
            PriorityWeights weights,
            long nowMs) {
        if (state.phase().ended()) {
            return new RolloutDecision(state, Map.of());
        }
        return new Rollout(state, nodes, nowMs).step(metrics, weights);
    }

    /**
     * Moves no further nodes until {@link #resume}; a detected regression still causes a rollback. Throws
     * CHANGE_UNKNOWN if the rollout has ended, CHANGE_INVALID during a rollback.
     */
    public static RolloutState pause(RolloutState state, long nowMs) throws RolloutException {
        return OperatorActions.pause(state, nowMs);
    }

    /**
     * Continues after a pause, or by the operator's own judgement where the rollout is held for missing metrics or too
     * little evidence; otherwise no effect. Throws CHANGE_UNKNOWN if the rollout has ended, CHANGE_INVALID during a
     * rollback.
     */
    public static RolloutState resume(RolloutState state, long nowMs) throws RolloutException {
        return OperatorActions.resume(state, nowMs);
    }

    /**
     * Starts a rollback; ends the rollout at once if no node has moved. Throws CHANGE_UNKNOWN if the rollout has ended.
     */
    public static RolloutState stop(RolloutState state, long nowMs) throws RolloutException {
        return OperatorActions.stop(state, nowMs);
    }

    /** Validation errors (CHANGE_INVALID) of a rollout for a fleet of so many nodes; empty if valid. */
    public static List<RolloutException> validate(RolloutSpec spec, int nodeCount) {
        return RolloutSpecValidator.validate(spec, nodeCount);
    }

    private RolloutDecision step(Collection<NodeMetrics> allMetrics, PriorityWeights weights) {
        Map<String, NodeMetrics> metrics = new HashMap<>();
        allMetrics.forEach(nodeMetrics -> metrics.put(nodeMetrics.node(), nodeMetrics));
        AbortConditions.updateNotReadySince(spec, nodes, moved, evidence, nowMs);
        if (state.phase() == RolloutPhase.ROLLING_BACK) {
            return rollBack();
        }
        Optional<String> abortReason = AbortConditions.findAbortReason(spec, nodes, metrics, moved, evidence, nowMs);
        if (abortReason.isEmpty()
                && new MetricsAggregator(evidence, spec, moved, weights)
                        .collect(nodes, metrics, moved.isEmpty(), nowMs)) {
            abortReason = comparison().findRegression();
        }
        if (abortReason.isPresent() && !moved.isEmpty()) {
            evidence.rollbackCause = abortReason.get();
            return decide(RolloutPhase.ROLLING_BACK, nowMs, abortReason.get());
        }
        return switch (state.phase()) {
            case PROPOSED -> learnBaseline();
            case MOVING -> moveNodes();
            case WATCHING -> watchStage();
            case HELD -> continueHeldStage();
            default -> keepPhase(state.reason());
        };
    }

    private Comparison comparison() {
        return new Comparison(evidence, moved, spec.stages().size(), nowMs);
    }

    private RolloutStage currentStage() {
        return spec.stages().get(state.stage());
    }

    private boolean isLastStage() {
        return state.stage() == spec.stages().size() - 1;
    }

    private int targetNodeCount() {
        return isLastStage() ? nodes.size() : NodeSelection.targetNodeCount(currentStage(), nodes.size());
    }

    /**
     * Measures the usual differences between nodes for the minimum duration of the first stage before any node moves.
     */
    private RolloutDecision learnBaseline() {
        long elapsedMs = nowMs - state.stageSinceMs();
        boolean hasMetrics =
                evidence.nodes.values().stream().anyMatch(node -> evidence.seriesCount() > 0 && node.hasBaseline(0));
        if (elapsedMs >= currentStage().minDurationMs() && hasMetrics) {
            return decide(
                    RolloutPhase.MOVING,
                    nowMs,
                    "stage 1: brings " + targetNodeCount() + " of " + nodes.size() + " nodes to the new version");
        }
        if (elapsedMs >= currentStage().maxDurationMs() && !hasMetrics) {
            evidence.holdReason = Evidence.HoldReason.NO_METRICS;
            return decide(
                    RolloutPhase.HELD,
                    state.stageSinceMs(),
                    "no node reported metrics for " + elapsedMs / 1000 + " s, nothing has moved");
        }
        return keepPhase(
                "learns how the nodes usually differ, for " + currentStage().minDurationMs() / 1000 + " s");
    }

    private RolloutDecision moveNodes() {
        budget.orderStageVersions(moved);
        int serving = 0;
        boolean inTransition = false;
        for (NodeStatus node : nodes) {
            boolean isMoved = moved.contains(node.node());
            serving += isMoved
                            && !DisruptionBudget.unavailable(node)
                            && spec.toVersion().equals(node.version())
                    ? 1
                    : 0;
            inTransition |= isMoved && DisruptionBudget.unavailable(node);
        }
        for (NodeStatus node : NodeSelection.updateOrder(spec.id(), nodes, moved)) {
            if (moved.size() >= targetNodeCount() || budget.exhausted()) {
                break;
            }
            if (!DisruptionBudget.unavailable(node) && budget.tryOrder(node, spec.toVersion())) {
                recordMove(node.node());
                inTransition = true;
            }
        }
        String progressText = "stage " + (state.stage() + 1) + ": " + serving + " of " + targetNodeCount()
                + " nodes serve the new version";
        if (moved.size() >= targetNodeCount() && !inTransition) {
            return decide(RolloutPhase.WATCHING, nowMs, progressText + ", compares them with the old ones");
        }
        if (!inTransition && (budget.exhausted() || budget.orders().isEmpty())) {
            evidence.holdReason = Evidence.HoldReason.NODES_UNAVAILABLE;
            return decide(RolloutPhase.HELD, state.stageSinceMs(), progressText + ", " + unavailableText());
        }
        return keepPhase(progressText
                + (budget.exhausted()
                        ? ", " + budget.unavailable() + " away of at most " + spec.maxUnavailable()
                        : ""));
    }

    private void recordMove(String nodeName) {
        moved.add(nodeName);
        if (evidence.firstMoveMs == 0) {
            evidence.firstMoveMs = nowMs;
        }
        evidence.notReadySinceMs.put(nodeName, nowMs); // its time to become ready starts with the order
        NodeEvidence node = evidence.nodes.get(nodeName);
        if (node != null) {
            node.nextStage(true);
            node.blockStartTotals = null;
        }
    }

    private String unavailableText() {
        return budget.unavailable() + " nodes are away, " + spec.maxUnavailable()
                + " may be: nothing moves until they are back";
    }

    private RolloutDecision watchStage() {
        if (budget.exhausted()) {
            evidence.holdReason = Evidence.HoldReason.NODES_UNAVAILABLE;
            return decide(RolloutPhase.HELD, state.stageSinceMs(), unavailableText());
        }
        Optional<String> missingEvidence = findMissingEvidence();
        if (missingEvidence.isEmpty()) {
            return advance("");
        }
        if (nowMs - state.stageSinceMs() >= currentStage().maxDurationMs()) {
            evidence.holdReason = Evidence.HoldReason.INSUFFICIENT_EVIDENCE;
            return decide(
                    RolloutPhase.HELD,
                    state.stageSinceMs(),
                    "too little evidence after " + currentStage().maxDurationMs() / 1000 + " s: "
                            + missingEvidence.get());
        }
        return keepPhase("stage " + (state.stage() + 1) + " watches: " + missingEvidence.get());
    }

    /** What the stage still lacks to pass, as a clause. */
    private Optional<String> findMissingEvidence() {
        if (nowMs - state.stageSinceMs() < currentStage().minDurationMs()) {
            return Optional.of((nowMs - state.stageSinceMs()) / 10_000 * 10 + " of at least "
                    + currentStage().minDurationMs() / 1000 + " s");
        }
        if (evidence.totalNewRequests() < currentStage().minRequests() || evidence.totalNewRequests() == 0) {
            return Optional.of(evidence.totalNewRequests() + " of at least "
                    + Math.max(1, currentStage().minRequests()) + " jobs ended at new nodes");
        }
        boolean noOldNodes = state.stage() > 0 && nodes.stream().allMatch(node -> moved.contains(node.node()));
        return noOldNodes ? Optional.empty() : comparison().findInconclusiveClass();
    }

    private RolloutDecision continueHeldStage() {
        if (evidence.holdReason == Evidence.HoldReason.NO_METRICS) {
            RolloutDecision decision = learnBaseline();
            return decision.nextState().phase() == RolloutPhase.MOVING ? decision : keepPhase(state.reason());
        }
        if (evidence.holdReason != Evidence.HoldReason.INSUFFICIENT_EVIDENCE) {
            boolean noneAvailable = moved.size() < targetNodeCount()
                    && NodeSelection.updateOrder(spec.id(), nodes, moved).stream()
                            .allMatch(DisruptionBudget::unavailable);
            return budget.exhausted() || noneAvailable
                    ? keepPhase(unavailableText())
                    : decide(RolloutPhase.MOVING, state.stageSinceMs(), "the nodes are back, continues");
        }
        if (budget.exhausted()) {
            return keepPhase(unavailableText());
        }
        if (evidence.operatorApproved) {
            return advance(" by an operator's decision");
        }
        Optional<String> missingEvidence = findMissingEvidence();
        return missingEvidence.isEmpty() ? advance("") : keepPhase("too little evidence: " + missingEvidence.get());
    }

    private RolloutDecision advance(String qualifier) {
        String passedText = "stage " + (state.stage() + 1) + " passed" + qualifier + " with "
                + evidence.totalNewRequests() + " jobs at new nodes";
        if (!isLastStage()) {
            evidence.nextStage(moved);
            return decide(state.stage() + 1, RolloutPhase.MOVING, nowMs, passedText);
        }
        if (nodes.stream().allMatch(node -> moved.contains(node.node()))) {
            evidence.resetComparison();
            return decide(
                    RolloutPhase.DONE, nowMs, passedText + ", all " + moved.size() + " nodes run the new version");
        }
        return decide(RolloutPhase.MOVING, nowMs, passedText + ", nodes that joined are left");
    }

    private RolloutDecision rollBack() {
        String cause = evidence.rollbackCause.isEmpty() ? state.reason() : evidence.rollbackCause;
        evidence.rollbackCause = cause;
        RollbackStep rollback = new RollbackStep(spec, nodes, moved, budget, evidence.notReadySinceMs, nowMs);
        moved.retainAll(rollback.remaining());
        if (rollback.complete()) {
            evidence.resetComparison();
            return new RolloutDecision(
                    nextState(state.stage(), RolloutPhase.STOPPED, nowMs, cause + rollback.progressText()), Map.of());
        }
        return new RolloutDecision(
                nextState(
                        state.stage(),
                        RolloutPhase.ROLLING_BACK,
                        state.stageSinceMs(),
                        cause + rollback.progressText()),
                rollback.orders());
    }

    private RolloutDecision keepPhase(String reason) {
        return decide(state.phase(), state.stageSinceMs(), reason);
    }

    private RolloutDecision decide(RolloutPhase phase, long stageSinceMs, String reason) {
        return decide(state.stage(), phase, stageSinceMs, reason);
    }

    private RolloutDecision decide(int stage, RolloutPhase phase, long stageSinceMs, String reason) {
        if (phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.DONE) {
            return new RolloutDecision(nextState(stage, phase, stageSinceMs, reason), Map.of());
        }
        if (phase != RolloutPhase.HELD && phase != RolloutPhase.PAUSED) {
            evidence.holdReason = Evidence.HoldReason.NONE;
        }
        budget.orderStageVersions(moved);
        return new RolloutDecision(nextState(stage, phase, stageSinceMs, reason), budget.orders());
    }

    private RolloutState nextState(int stage, RolloutPhase phase, long stageSinceMs, String reason) {
        String fullReason = evidenceLost
                ? reason + " (the evidence could not be read, the comparison of this stage begins anew)"
                : reason;
        return new RolloutState(
                spec, phase, stage, stageSinceMs, fullReason, new HashSet<>(moved), EvidenceCodec.encode(evidence));
    }
}
