package olivechute.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Six equal nodes in two zones without randomness: each ends 80 verify and 20 sign requests per second. A restart takes
 * two seconds.
 */
final class SmallFleet {
    static final RolloutStage FIRST = new RolloutStage(1, 0, 20_000, 120_000, 100);
    static final RolloutStage SECOND = new RolloutStage(0, 50, 20_000, 120_000, 100);
    static final RolloutStage LAST = new RolloutStage(0, 100, 20_000, 120_000, 100);
    final List<SimNode> nodes = new ArrayList<>();
    RolloutState state;
    long nowMs = SimFleet.START_MS;
    boolean trafficOn = true;
    /** Percentage of requests that a new node serves in time; an old one serves 90. */
    int servedPercentAtNew = 90;

    Map<String, String> orders = Map.of();
    int maxUnavailableSeen;
    /** Counts the added delays of a node's requests in one second. */
    Consumer<SimNode> delays = node -> node.delayCounts[20] += 100;

    SmallFleet(int maxUnavailable, RolloutStage... stages) {
        for (int i = 0; i < 6; i++) {
            SimNode node = new SimNode("n" + i, SimFleet.ZONES[i % 2]);
            node.phaseSinceMs = nowMs - 60_000;
            nodes.add(node);
        }
        state = RolloutState.proposed(new RolloutSpec("c", "v1", "v2", List.of(stages), maxUnavailable, 10_000), nowMs);
    }

    static SmallFleet withThreeStages() {
        return new SmallFleet(1, FIRST, SECOND, LAST);
    }

    SmallFleet run(int seconds) {
        for (int s = 0; s < seconds; s++) {
            nowMs += 1000;
            nodes.forEach(this::advanceNode);
            step();
        }
        return this;
    }

    /** Runs until a phase is reached, for at most ten minutes; the caller asserts the phase. */
    SmallFleet runUntil(RolloutPhase phase) {
        for (int s = 0; s < 600 && state.phase() != phase; s++) {
            run(1);
        }
        return this;
    }

    SmallFleet runUntil(RolloutPhase phase, int stage) {
        for (int s = 0; s < 600 && (state.phase() != phase || state.stage() != stage); s++) {
            run(1);
        }
        return this;
    }

    List<NodeStatus> statuses() {
        return nodes.stream().map(SimNode::status).toList();
    }

    List<NodeMetrics> metrics() {
        return nodes.stream()
                .filter(node -> node.phase == NodePhase.READY && node.reachable && trafficOn)
                .map(SimNode::metrics)
                .toList();
    }

    void step() {
        int unavailable = (int) nodes.stream().filter(SmallFleet::isUnavailable).count();
        RolloutDecision decision = Rollout.step(state, statuses(), metrics(), SimFleet.WEIGHTS, nowMs);
        orders = decision.orders();
        int newlyUnavailable = 0;
        for (SimNode node : nodes) {
            if (orders.containsKey(node.name)) {
                newlyUnavailable += isUnavailable(node) ? 0 : 1;
                node.orderedVersion = orders.get(node.name);
            }
        }
        maxUnavailableSeen = Math.max(maxUnavailableSeen, newlyUnavailable == 0 ? 0 : unavailable + newlyUnavailable);
        state = decision.nextState();
    }

    static boolean isUnavailable(SimNode node) {
        return node.phase != NodePhase.READY
                || !node.reachable
                || (node.orderedVersion != null && !node.orderedVersion.equals(node.version));
    }

    SimNode firstMovedNode() {
        return nodes.stream()
                .filter(node -> state.moved().contains(node.name))
                .findFirst()
                .orElseThrow();
    }

    void advanceNode(SimNode node) {
        if (node.frozen) {
            return;
        }
        if (node.phase == NodePhase.READY && trafficOn) {
            int servedPercent = node.version.equals("v2") ? servedPercentAtNew : 90;
            for (int c = 0; c < 2; c++) {
                int requests = c == 0 ? 80 : 20;
                node.counts[c][0] += requests;
                node.counts[c][1] += requests * servedPercent / 100;
                node.counts[c][3] += requests - requests * servedPercent / 100;
            }
            delays.accept(node);
            node.sequence++;
        }
        boolean otherVersionOrdered = node.orderedVersion != null && !node.orderedVersion.equals(node.version);
        if (node.reachable && (otherVersionOrdered || node.phase == NodePhase.DOWN)) {
            node.start(node.orderedVersion == null ? node.version : node.orderedVersion, nowMs);
        } else if (node.phase == NodePhase.STARTING && nowMs - node.phaseSinceMs >= 2000) {
            node.phase = NodePhase.READY;
            node.phaseSinceMs = nowMs;
        }
    }
}
