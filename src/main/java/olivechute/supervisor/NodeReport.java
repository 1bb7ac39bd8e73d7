package olivechute.supervisor;

import olivechute.rollout.NodePhase;

/**
 * The state of a node as the supervisor reports it to the store.
 *
 * @param version version that serves now, empty for none
 * @param sinceMs milliseconds since the epoch when version or phase last changed
 * @param completedOrder number of the last order that was carried out, rejected, or has led to a crash
 * @param crashes starts under the version of the newest order that exited by themselves or were not ready in time; an
 *     order for another version resets the count
 * @param lastError the last error of the node, empty for none
 */
record NodeReport(String version, NodePhase phase, long sinceMs, long completedOrder, int crashes, String lastError) {}
