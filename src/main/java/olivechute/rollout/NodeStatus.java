package olivechute.rollout;

/**
 * A node as its supervisor last told. {@code version}: what serves now, empty for nothing; {@code since}: ms since the
 * epoch at which the phase began; {@code crashes}: starts that ended by themselves under this version; {@code trouble}:
 * what went wrong last; {@code reachable}: false once its supervisor's lease ran out, all else then being as last told;
 * {@code ordered}: the version that its newest order names, null where it has none.
 */
public record NodeStatus(
        String node,
        String zone,
        String version,
        NodePhase phase,
        long phaseSinceMs,
        int crashes,
        String lastError,
        boolean reachable,
        String orderedVersion) {}
