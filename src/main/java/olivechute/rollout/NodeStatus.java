package olivechute.rollout;

/**
 * A node as its supervisor last reported it. {@code version}: the version that serves now, empty for none;
 * {@code phaseSinceMs}: ms since the epoch at which the phase began; {@code crashes}: starts under this version that
 * ended by themselves; {@code lastError}: the last error; {@code reachable}: false once the lease of its supervisor
 * expired, all other fields then being as last reported; {@code orderedVersion}: the version of its newest order, null
 * without one.
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
