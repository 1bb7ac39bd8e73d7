package olivechute.rollout;

import java.util.Map;

/**
 * What one process of a node counted since its start. {@code incarnation} names the process, {@code sequence} grows
 * with its reports. {@code delay}: streams by the node's own added delay, in the buckets of
 * {@code olivechute.figures.Delay}.
 */
public record NodeMetrics(
        String node,
        String version,
        long incarnation,
        long sequence,
        Map<String, ClassCounts> classes,
        long ruleViolations,
        long[] delayCounts) {}
