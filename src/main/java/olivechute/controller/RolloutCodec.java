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
 * Between the messages of fleet.proto and the records of {@code olivechute.rollout}. Writers of other versions: fields
 * that are not known are kept where a record is written anew, an absent field is its default, and a word that is not
 * known is never guessed at: in a change it makes the record MALFORMED, which leaves it to the version that wrote it;
 * of a node it counts as out of reach.
 */
final class RolloutCodec {
    private RolloutCodec() {}

    /** Reads a message; MALFORMED names the key that held it. */
    static <M extends MessageLite> M parse(Parser<M> parser, String key, byte[] value) throws RolloutException {
        try {
            return parser.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw new RolloutException(ErrorCode.MALFORMED, "the value of " + key, e);
        }
    }

    /** What a record of a change says; MALFORMED where a newer version wrote what this one cannot follow. */
    static RolloutState toState(ChangeRecord record) throws RolloutException {
        ChangeSpec spec = record.getSpec();
        RolloutPhase phase = enumByName(RolloutPhase.values(), record.getPhase());
        if (phase == null) {
            throw new RolloutException(
                    ErrorCode.MALFORMED,
                    "change " + spec.getId() + ": phase '" + record.getPhase() + "' is not known here");
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

    /** The record before with what a step changed; all else in it stays as it is. */
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

    /** A node as its supervisor told; with a phase that is not known here it counts as out of reach. */
    static NodeStatus toStatus(NodeState state, boolean reachable, String orderedVersion) {
        NodePhase phase = enumByName(NodePhase.values(), state.getPhase());
        String lastError = phase != null
                ? state.getTrouble()
                : "its supervisor tells a phase '" + state.getPhase() + "' not known here";
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
