package olivechute.metrics;

import java.util.List;
import olivechute.fleet.wire.ClassFigures;
import olivechute.fleet.wire.NodeFigures;

/**
 * An immutable copy of the counters. The event loop makes it; the message is built by the sender's thread, so that the
 * event loop never waits for the classes of the protobuf library to load.
 */
record MetricsSnapshot(long sequence, long atMs, long[][] classCounts, long ruleViolations, long[] delayCounts) {
    static final int RECEIVED = 0;
    static final int SERVED_IN_TIME = 1;
    static final int SERVED_LATE = 2;
    static final int REJECTED = 3;
    static final int FAILED = 4;
    static final int CLIENT_DISCONNECTED = 5;
    /** Number of counters per request class. */
    static final int COUNTS_PER_CLASS = 6;

    /**
     * The source of the counters: the node, its version, its incarnation and the names of its request classes in order.
     */
    record Origin(String node, String version, long incarnation, List<String> classNames) {}

    /** Builds the message for the supervisor. */
    NodeFigures toMessage(Origin origin) {
        NodeFigures.Builder message = NodeFigures.newBuilder()
                .setNode(origin.node())
                .setVersion(origin.version())
                .setIncarnation(origin.incarnation())
                .setSequence(sequence)
                .setAtMs(atMs)
                .setRulesBroken(ruleViolations);
        for (int i = 0; i < classCounts.length; i++) {
            long[] counts = classCounts[i];
            message.addClasses(ClassFigures.newBuilder()
                    .setName(origin.classNames().get(i))
                    .setTaken(counts[RECEIVED])
                    .setServedInTime(counts[SERVED_IN_TIME])
                    .setServedLate(counts[SERVED_LATE])
                    .setRefused(counts[REJECTED])
                    .setFailed(counts[FAILED])
                    .setGone(counts[CLIENT_DISCONNECTED]));
        }
        for (long count : delayCounts) {
            message.addDelay(count);
        }
        return message.build();
    }
}
