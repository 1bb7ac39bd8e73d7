package olivechute.rollout;

/**
 * A node as its supervisor last reported it. {@code version}: the version that serves now, empty for none;
 * {@code phaseSinceMs}: when version or phase last changed, in ms since the epoch; {@code crashes}: starts that exited
 * by themselves or were not ready in time, under the version of the last order that its supervisor accepted;
 * {@code lastError}: the last error; {@code reachable}: false once the lease of its supervisor expired, all other
 * fields then being as last reported; {@code orderedVersion}: the version of its newest order, null without one.
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
