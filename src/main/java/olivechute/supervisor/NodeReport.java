package olivechute.supervisor;

import olivechute.rollout.NodePhase;

/**
 * A node as the supervisor reports it. {@code version}: what serves now, empty for nothing; {@code since}: ms since the
 * epoch at which that or the phase changed; {@code order}: number of the last order that came to an end, well or not;
 * {@code crashes}: starts under the version of the newest order that ended by themselves or were not ready in time,
 * since that order.
 */
record NodeReport(String version, NodePhase phase, long sinceMs, long completedOrder, int crashes, String lastError) {}
