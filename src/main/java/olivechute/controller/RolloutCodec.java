package olivechute.controller;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.ClassFigures;
import olivechute.fleet.wire.NodeFigures;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.StageSpec;
import olivechute.rollout.ClassCounts;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.rollout.RolloutPhase;
import olivechute.rollout.RolloutSpec;
import olivechute.rollout.RolloutStage;
import olivechute.rollout.RolloutState;

/**
 * Converts between the messages of fleet.proto and the records of {@code olivechute.rollout}. For compatibility with
 * other versions, unknown fields are preserved when a record is rewritten, an absent field has its default, and an
 * unknown enum name is never guessed: in a change it makes the record MALFORMED, which leaves the change to the version
 * that wrote it; a node counts as unreachable.
 */
final class RolloutCodec {
    private RolloutCodec() {}

    /** Parses a message; the MALFORMED error names its key. */
    static <M extends MessageLite> M parse(Parser<M> parser, String key, byte[] value) throws RolloutException {
        try {
            return parser.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw new RolloutException(ErrorCode.MALFORMED, "the value of " + key, e);
        }
    }

    /** The state in a change record; MALFORMED if a newer version wrote what this one cannot interpret. */
    static RolloutState toState(ChangeRecord record) throws RolloutException {
        ChangeSpec spec = record.getSpec();
        RolloutPhase phase = enumByName(RolloutPhase.values(), record.getPhase());
        if (phase == null) {
            throw new RolloutException(
                    ErrorCode.MALFORMED,
                    "change " + spec.getId() + ": phase '" + record.getPhase() + "' is unknown to this version");
        }
        if (record.getStage() < 0 || (record.getStage() > 0 && record.getStage() >= spec.getStagesCount())) {
            throw new RolloutException(
                    ErrorCode.MALFORMED, "change " + spec.getId() + ": there is no stage " + record.getStage());
        }
        return new RolloutState(
                toSpec(spec),
                phase,
                record.getStage(),
                record.getStageSinceMs(),
                record.getReason(),
                new TreeSet<>(record.getMovedList()),
                record.getEvidence().toByteArray());
    }

    static RolloutSpec toSpec(ChangeSpec spec) {
        List<RolloutStage> stages = new ArrayList<>();
        for (StageSpec stage : spec.getStagesList()) {
            stages.add(new RolloutStage(
                    stage.getNodes(),
                    stage.getPercent(),
                    stage.getLeastMs(),
                    stage.getLongestMs(),
                    stage.getLeastJobs()));
        }
        return new RolloutSpec(
                spec.getId(),
                spec.getFromVersion(),
                spec.getToVersion(),
                stages,
                spec.getMostAway(),
                spec.getReadyWithinMs());
    }

    /** The previous record with the fields that a step changed; all others stay as they are. */
    static ChangeRecord toRecord(ChangeRecord previous, RolloutState next, long nowMs, long fence) {
        return previous.toBuilder()
                .setPhase(next.phase().name())
                .setStage(next.stage())
                .setStageSinceMs(next.stageSinceMs())
                .setReason(next.reason())
                .clearMoved()
                .addAllMoved(new TreeSet<>(next.moved()))
                .setEvidence(ByteString.copyFrom(next.evidence()))
                .setUpdatedMs(nowMs)
                .setFence(fence)
                .build();
    }

    /** A node as its supervisor reported it; with an unknown phase it counts as unreachable. */
    static NodeStatus toStatus(NodeState state, boolean reachable, String orderedVersion) {
        NodePhase phase = enumByName(NodePhase.values(), state.getPhase());
        String lastError = phase != null
                ? state.getTrouble()
                : "its supervisor reports the phase '" + state.getPhase() + "', which is unknown to this version";
        return new NodeStatus(
                state.getNode(),
                state.getZone(),
                state.getVersion(),
                phase == null ? NodePhase.DOWN : phase,
                state.getSinceMs(),
                state.getCrashes(),
                lastError,
                reachable && phase != null,
                orderedVersion);
    }

    static NodeMetrics convertMetrics(NodeFigures message) {
        Map<String, ClassCounts> classes = new LinkedHashMap<>();
        for (ClassFigures classMetrics : message.getClassesList()) {
            classes.put(
                    classMetrics.getName(),
                    new ClassCounts(
                            classMetrics.getTaken(),
                            classMetrics.getServedInTime(),
                            classMetrics.getServedLate(),
                            classMetrics.getRefused(),
                            classMetrics.getFailed(),
                            classMetrics.getGone()));
        }
        long[] delayCounts =
                message.getDelayList().stream().mapToLong(Long::longValue).toArray();
        return new NodeMetrics(
                message.getNode(),
                message.getVersion(),
                message.getIncarnation(),
                message.getSequence(),
                classes,
                message.getRulesBroken(),
                delayCounts);
    }

    static NodeFigures convertMetrics(NodeMetrics metrics, long nowMs) {
        NodeFigures.Builder message = NodeFigures.newBuilder()
                .setNode(metrics.node())
                .setVersion(metrics.version())
                .setIncarnation(metrics.incarnation())
                .setSequence(metrics.sequence())
                .setAtMs(nowMs)
                .setRulesBroken(metrics.ruleViolations());
        metrics.classes()
                .forEach((name, counts) -> message.addClasses(ClassFigures.newBuilder()
                        .setName(name)
                        .setTaken(counts.received())
                        .setServedInTime(counts.servedInTime())
                        .setServedLate(counts.servedLate())
                        .setRefused(counts.rejected())
                        .setFailed(counts.failed())
                        .setGone(counts.cancelled())));
        for (long count : metrics.delayCounts()) {
            message.addDelay(count);
        }
        return message.build();
    }

    private static <E extends Enum<E>> E enumByName(E[] values, String name) {
        for (E value : values) {
            if (value.name().equals(name)) {
                return value;
            }
        }
        return null;
    }
}
