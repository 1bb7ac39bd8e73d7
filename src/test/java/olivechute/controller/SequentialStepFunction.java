package olivechute.controller;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.rollout.RolloutDecision;
import olivechute.rollout.RolloutPhase;
import olivechute.rollout.RolloutStage;
import olivechute.rollout.RolloutState;

/** Moves one node at a time through the stages, by time alone: for tests of who writes, not of what is decided. */
final class SequentialStepFunction implements ReconcilePlan.StepFunction {
    @Override
    public RolloutDecision step(
            RolloutState state, Collection<NodeStatus> nodes, Collection<NodeMetrics> metrics, long nowMs) {
        Map<String, NodeStatus> nodesByName = new TreeMap<>();
        nodes.forEach(n -> nodesByName.put(n.node(), n));
        Set<String> moved = new TreeSet<>(state.moved());
        RolloutStage stage = state.spec().stages().get(state.stage());
        int target = stage.nodes() > 0
                ? Math.min(stage.nodes(), nodesByName.size())
                : (nodesByName.size() * stage.percent() + 99) / 100;
        boolean settled = moved.stream()
                .allMatch(n -> serves(nodesByName.get(n), state.spec().toVersion()));
        return switch (state.phase()) {
            case PROPOSED -> withoutOrders(state, RolloutPhase.MOVING, 0, nowMs, moved);
            case MOVING -> {
                if (settled && moved.size() >= target) {
                    yield withoutOrders(state, RolloutPhase.WATCHING, state.stage(), nowMs, moved);
                }
                if (!settled) {
                    yield new RolloutDecision(state, Map.of());
                }
                String next = nodesByName.keySet().stream()
                        .filter(n -> !moved.contains(n))
                        .findFirst()
                        .orElseThrow();
                moved.add(next);
                yield new RolloutDecision(
                        withoutOrders(state, RolloutPhase.MOVING, state.stage(), state.stageSinceMs(), moved)
                                .nextState(),
                        Map.of(next, state.spec().toVersion()));
            }
            case WATCHING -> {
                if (nowMs - state.stageSinceMs() < stage.minDurationMs()) {
                    yield new RolloutDecision(state, Map.of());
                }
                boolean last = state.stage() == state.spec().stages().size() - 1;
                yield withoutOrders(
                        state,
                        last ? RolloutPhase.DONE : RolloutPhase.MOVING,
                        last ? state.stage() : state.stage() + 1,
                        nowMs,
                        moved);
            }
            case ROLLING_BACK -> {
                boolean back = nodesByName.values().stream()
                        .filter(n -> !moved.contains(n.node()) && n.reachable())
                        .allMatch(n -> serves(n, state.spec().fromVersion()));
                if (!back) {
                    yield new RolloutDecision(state, Map.of());
                }
                if (moved.isEmpty()) {
                    yield withoutOrders(state, RolloutPhase.STOPPED, state.stage(), nowMs, moved);
                }
                String next = moved.iterator().next();
                moved.remove(next);
                yield new RolloutDecision(
                        withoutOrders(state, RolloutPhase.ROLLING_BACK, state.stage(), state.stageSinceMs(), moved)
                                .nextState(),
                        new LinkedHashMap<>(Map.of(next, state.spec().fromVersion())));
            }
            default -> new RolloutDecision(state, Map.of());
        };
    }

    private static boolean serves(NodeStatus node, String version) {
        return node != null
                && node.reachable()
                && node.phase() == NodePhase.READY
                && node.version().equals(version);
    }

    private static RolloutDecision withoutOrders(
            RolloutState p, RolloutPhase phase, int stage, long since, Set<String> moved) {
        return new RolloutDecision(
                new RolloutState(p.spec(), phase, stage, since, phase.name(), moved, p.evidence()), Map.of());
    }
}
