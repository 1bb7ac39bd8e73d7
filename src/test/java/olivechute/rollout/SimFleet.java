package olivechute.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * A simulated fleet in virtual time with a rollout in progress, from one seed: 40 nodes in 3 zones whose traffic,
 * served fraction and delay differ; a level common to each zone that drifts and drops in intervals of overload, which
 * affect nodes differently; a drift of each node's own (0.4 %); and random variation per request and per node and
 * second.
 */
final class SimFleet {
    static final List<Long> DELAY_BOUNDS_US = IntStream.range(0, 40)
            .mapToObj(i -> Math.round(50 * Math.pow(200_000, i / 39.0)))
            .toList();
    static final PriorityWeights WEIGHTS = PriorityWeights.equalWeights(DELAY_BOUNDS_US);
    static final String[] ZONES = {"a", "b", "c"};
    static final List<RolloutStage> STAGES = List.of(
            new RolloutStage(1, 0, 120_000, 900_000, 1000),
            new RolloutStage(0, 10, 120_000, 900_000, 5000),
            new RolloutStage(0, 25, 120_000, 900_000, 5000),
            new RolloutStage(0, 50, 120_000, 900_000, 5000),
            new RolloutStage(0, 100, 60_000, 900_000, 5000));
    static final long START_MS = 1_800_000_000_000L;

    /**
     * The effect of the new version: factors on the served fraction of verify and sign, added delay in ms, seconds
     * until it crashes, and whether it becomes ready.
     */
    record Effect(
            double verifyFactor, double signFactor, double addedDelayMs, int crashAfterSeconds, boolean becomesReady) {
        static final Effect NONE = new Effect(1, 1, 0, 0, true);
    }

    final List<SimNode> nodes = new ArrayList<>();
    final SplittableRandom random;
    private final Random gaussian;
    private final Effect effect;
    private final double[] zoneDrift = new double[3];
    private final int[] overloadSecondsLeft = new int[3];
    RolloutState state;
    long nowMs = START_MS;
    int maxUnavailableSeen;
    int maxMoved;
    long newRequests;
    long requestsSinceMove;
    int holdCount;
    int lostZone = -1;

    SimFleet(long seed, Effect effect) {
        random = new SplittableRandom(seed);
        gaussian = new Random(random.nextLong());
        this.effect = effect;
        for (int i = 0; i < 40; i++) {
            SimNode node = new SimNode("n" + i, ZONES[i % 3]);
            node.requestsPerSecond = 60 * Math.exp(Math.max(-0.8, Math.min(0.8, 0.4 * gaussian.nextGaussian())));
            node.servedFactor = 1 + 0.025 * gaussian.nextGaussian();
            node.overloadSensitivity = 0.02 * gaussian.nextGaussian();
            node.delayFactor = Math.exp(0.15 * gaussian.nextGaussian());
            node.phaseSinceMs = nowMs - 100_000;
            nodes.add(node);
        }
        state = RolloutState.proposed(new RolloutSpec("change-" + seed, "v1", "v2", STAGES, 2, 30_000), nowMs);
    }

    /**
     * Runs until the rollout has ended or so many seconds passed; the operator lets a stage pass that is held for too
     * little evidence.
     */
    SimFleet run(int seconds) throws olivechute.error.RolloutException {
        for (int s = 0; s < seconds && !state.phase().ended(); s++) {
            runSecond();
            if (state.phase() == RolloutPhase.HELD && state.reason().startsWith("too little")) {
                holdCount++;
                state = Rollout.resume(state, nowMs);
            }
        }
        return this;
    }

    void runSecond() {
        nowMs += 1000;
        simulateTraffic();
        nodes.forEach(this::simulateSupervisor);
        decide();
    }

    private void decide() {
        List<NodeStatus> statuses = nodes.stream().map(SimNode::status).toList();
        List<NodeMetrics> metrics = nodes.stream()
                .filter(node -> node.serves() && node.reachable)
                .map(SimNode::metrics)
                .toList();
        long unavailable =
                statuses.stream().filter(DisruptionBudget::unavailable).count();
        RolloutDecision decision = Rollout.step(state, statuses, metrics, WEIGHTS, nowMs);
        int moving = 0;
        for (SimNode node : nodes) {
            String order = decision.orders().get(node.name);
            if (order != null) {
                moving += DisruptionBudget.unavailable(node.status()) ? 0 : 1;
                node.orderedVersion = order;
            }
        }
        maxUnavailableSeen =
                moving == 0 ? maxUnavailableSeen : Math.max(maxUnavailableSeen, (int) unavailable + moving);
        state = decision.nextState();
        maxMoved = Math.max(maxMoved, state.moved().size());
    }

    private void simulateTraffic() {
        for (int zone = 0; zone < 3; zone++) {
            zoneDrift[zone] = 0.95 * zoneDrift[zone] + 0.004 * gaussian.nextGaussian();
            overloadSecondsLeft[zone] = overloadSecondsLeft[zone] > 0
                    ? overloadSecondsLeft[zone] - 1
                    : random.nextInt(200) == 0 ? 10 + random.nextInt(30) : 0;
        }
        for (int i = 0; i < nodes.size(); i++) {
            SimNode node = nodes.get(i);
            if (!node.serves()) {
                continue;
            }
            boolean onNewVersion = node.version.equals("v2");
            double zoneLevel = (overloadSecondsLeft[i % 3] > 0 ? 0.65 : 0.93) + zoneDrift[i % 3];
            node.drift = 0.99 * node.drift + 0.0006 * gaussian.nextGaussian();
            double noise = 1
                    + node.drift
                    + (overloadSecondsLeft[i % 3] > 0 ? node.overloadSensitivity : 0)
                    + 0.02 * gaussian.nextGaussian();
            int requests = poisson(node.requestsPerSecond);
            int signRequests = binomial(requests, 0.2);
            count(
                    node.counts[0],
                    requests - signRequests,
                    zoneLevel * node.servedFactor * noise * (onNewVersion ? effect.verifyFactor : 1));
            count(
                    node.counts[1],
                    signRequests,
                    zoneLevel * node.servedFactor * noise * (onNewVersion ? effect.signFactor : 1));
            countDelays(node, onNewVersion, zoneLevel);
            node.sequence++;
            newRequests += onNewVersion ? requests : 0;
            requestsSinceMove += state.moved().isEmpty() ? 0 : requests;
        }
    }

    private void count(long[] counts, int requests, double servedFraction) {
        int notInTime = binomial(requests, Math.min(1, Math.max(0, 1 - servedFraction)));
        int late = binomial(notInTime, 0.3);
        int failed = binomial(notInTime - late, 0.1);
        counts[0] += requests;
        counts[1] += requests - notInTime;
        counts[2] += late;
        counts[3] += notInTime - late - failed;
        counts[4] += failed;
    }

    private void countDelays(SimNode node, boolean onNewVersion, double zoneLevel) {
        double logMedian = Math.log(3000 * node.delayFactor / zoneLevel / 50);
        for (int d = 0; d < 10; d++) {
            double logDelay = logMedian
                    + 0.8
                            * (random.nextDouble()
                                    + random.nextDouble()
                                    + random.nextDouble()
                                    + random.nextDouble()
                                    - 2)
                            * 1.7;
            if (onNewVersion && effect.addedDelayMs > 0) {
                logDelay = Math.log(Math.exp(logDelay) + effect.addedDelayMs * 20);
            }
            int bucket = (int) Math.ceil(logDelay / Math.log(200_000) * 39);
            node.delayCounts[Math.min(39, Math.max(0, bucket))]++;
        }
    }

    private void simulateSupervisor(SimNode node) {
        long phaseAgeMs = nowMs - node.phaseSinceMs;
        if (!node.reachable || node.frozen) {
            return;
        }
        boolean otherVersionOrdered = node.orderedVersion != null && !node.orderedVersion.equals(node.version);
        switch (node.phase) {
            case READY -> {
                if (otherVersionOrdered) {
                    node.phase = NodePhase.DRAINING;
                    node.phaseSinceMs = nowMs;
                } else if (node.version.equals("v2")
                        && effect.crashAfterSeconds > 0
                        && phaseAgeMs >= effect.crashAfterSeconds * 1000L) {
                    node.phase = NodePhase.DOWN;
                    node.phaseSinceMs = nowMs;
                    node.crashes++;
                }
            }
            case DRAINING, DOWN -> {
                if (phaseAgeMs >= 1000) {
                    node.start(node.orderedVersion == null ? node.version : node.orderedVersion, nowMs);
                }
            }
            case STARTING -> {
                if (otherVersionOrdered) {
                    node.start(node.orderedVersion, nowMs);
                } else if (phaseAgeMs >= 3000 && (effect.becomesReady || node.version.equals("v1"))) {
                    node.phase = NodePhase.READY;
                    node.phaseSinceMs = nowMs;
                }
            }
            default -> {}
        }
    }

    /** Disconnects the nodes of a zone, or brings them back restarted. */
    void setZoneLost(String zone, boolean lost) {
        for (SimNode node : nodes) {
            if (node.zone.equals(zone)) {
                node.reachable = !lost;
                node.frozen = lost;
                if (!lost) {
                    node.start(node.orderedVersion == null ? node.version : node.orderedVersion, nowMs);
                }
            }
        }
    }

    private int poisson(double mean) {
        return (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * gaussian.nextGaussian()));
    }

    private int binomial(int n, double p) {
        int count = 0;
        if (p > 0.5) {
            return n - binomial(n, 1 - p);
        }
        if (p <= 0) {
            return 0;
        }
        double logFailure = Math.log1p(-p);
        int position = 0;
        while (true) {
            position += 1 + (int) Math.min(n, Math.log(1 - random.nextDouble()) / logFailure);
            if (position > n) {
                return count;
            }
            count++;
        }
    }

    String moved() {
        return new TreeSet<>(state.moved()).toString();
    }
}
