package olivechute.rollout;

import java.util.Map;

/**
 * Counts of one process of a node since its start. {@code incarnation} identifies the process, {@code sequence} grows
 * with each of its reports. {@code ruleViolations}: invariant violations that the node counted. {@code delayCounts}:
 * streams by the node's own added delay, in the buckets of {@code olivechute.metrics.DelayBuckets}.
 */
public record NodeMetrics(
        String node,
        String version,
        long incarnation,
        long sequence,
        Map<String, ClassCounts> classes,
        long ruleViolations,
        long[] delayCounts) {}
