package olivechute.rollout;

import java.util.Map;

/** A node of the simulated fleet with its process: counts, phase and orders. */
final class SimNode {
    final String name;
    final String zone;
    /** Requests per second; below, the factors of its served fraction and delay relative to other nodes. */
    double requestsPerSecond;

    double servedFactor;
    double delayFactor;
    double drift;
    double overloadSensitivity;
    String version = "v1";
    String orderedVersion;
    NodePhase phase = NodePhase.READY;
    long phaseSinceMs;
    int crashes;
    String lastError = "";
    boolean reachable = true;
    boolean frozen;
    long incarnation = 1;
    long sequence;
    long[][] counts = new long[2][6];
    long[] delayCounts = new long[SimFleet.DELAY_BOUNDS_US.size()];
    long ruleViolations;

    SimNode(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }

    boolean serves() {
        return phase == NodePhase.READY && !frozen;
    }

    NodeStatus status() {
        return new NodeStatus(name, zone, version, phase, phaseSinceMs, crashes, lastError, reachable, orderedVersion);
    }

    NodeMetrics metrics() {
        Map<String, ClassCounts> classes = Map.of("verify", counts(0), "sign", counts(1));
        return new NodeMetrics(name, version, incarnation, sequence, classes, ruleViolations, delayCounts.clone());
    }

    private ClassCounts counts(int c) {
        long[] row = counts[c];
        return new ClassCounts(row[0], row[1], row[2], row[3], row[4], row[5]);
    }

    void start(String newVersion, long nowMs) {
        if (!newVersion.equals(version)) {
            crashes = 0;
        }
        version = newVersion;
        phase = NodePhase.STARTING;
        phaseSinceMs = nowMs;
        incarnation++;
        sequence = 0;
        counts = new long[2][6];
        delayCounts = new long[SimFleet.DELAY_BOUNDS_US.size()];
        ruleViolations = 0;
    }
}
