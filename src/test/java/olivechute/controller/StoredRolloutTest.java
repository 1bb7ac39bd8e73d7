package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import olivechute.RecordedEncodings;
import olivechute.fleet.wire.BaseVersion;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeFigures;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.StageSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rollout.ClassCounts;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.rollout.PriorityWeights;
import olivechute.rollout.Rollout;
import olivechute.rollout.RolloutDecision;
import olivechute.rollout.RolloutPhase;
import olivechute.rollout.RolloutState;
import org.junit.jupiter.api.Test;

/**
 * Guards the stored form of a rollout: values that an earlier build wrote under the same keys are read and written
 * unchanged.
 */
class StoredRolloutTest {
    private static final long NOW_MS = 1_700_000_000_000L;

    private static ChangeSpec spec() {
        return ChangeSpec.newBuilder()
                .setId("c1")
                .setFromVersion("v1")
                .setToVersion("v2")
                .addStages(StageSpec.newBuilder()
                        .setNodes(1)
                        .setLeastMs(10_000)
                        .setLongestMs(60_000)
                        .setLeastJobs(5))
                .addStages(StageSpec.newBuilder()
                        .setPercent(100)
                        .setLeastMs(10_000)
                        .setLongestMs(60_000)
                        .setLeastJobs(5))
                .setMostAway(1)
                .setReadyWithinMs(30_000)
                .setProposedMs(NOW_MS)
                .setProposedBy("operator")
                .build();
    }

    private static NodeMetrics metrics(String node, String version, int sequence) {
        Map<String, ClassCounts> classes = new LinkedHashMap<>();
        classes.put(
                "sign",
                new ClassCounts(100L * sequence, 90L * sequence, 5L * sequence, 3L * sequence, sequence, sequence));
        long[] delayCounts = new long[olivechute.metrics.DelayBuckets.UPPER_BOUNDS.size()];
        for (int i = 0; i < delayCounts.length; i++) {
            delayCounts[i] = sequence * (long) (delayCounts.length - i);
        }
        return new NodeMetrics(node, version, 7, sequence, classes, 0, delayCounts);
    }

    /** A rollout that has measured its baseline and moved its first node. */
    private static RolloutState stateAfterBaseline() throws Exception {
        RolloutState state = RolloutState.proposed(RolloutCodec.toSpec(spec()), NOW_MS);
        for (int s = 1; s <= 30; s++) {
            List<NodeStatus> nodes = List.of(
                    new NodeStatus("n1", "z1", "v1", NodePhase.READY, NOW_MS, 0, "", true, "v1"),
                    new NodeStatus("n2", "z2", "v1", NodePhase.READY, NOW_MS, 0, "", true, "v1"));
            RolloutDecision decision = Rollout.step(
                    state,
                    nodes,
                    List.of(metrics("n1", "v1", s), metrics("n2", "v1", s)),
                    PriorityWeights.equalWeights(olivechute.metrics.DelayBuckets.UPPER_BOUNDS),
                    NOW_MS + 1000L * s);
            state = decision.nextState();
        }
        return state;
    }

    private static ChangeRecord record(RolloutState state) {
        return RolloutCodec.toRecord(
                ChangeRecord.newBuilder()
                        .setSpec(spec())
                        .addAtStageStart(RolloutCodec.convertMetrics(metrics("n1", "v1", 1), NOW_MS))
                        .build(),
                state,
                NOW_MS + 30_000,
                42);
    }

    private static Map<String, MessageLite> values() throws Exception {
        Map<String, MessageLite> values = new LinkedHashMap<>();
        values.put(
                StoreKeys.BASE_VERSION,
                BaseVersion.newBuilder().setVersion("v1").build());
        values.put(StoreKeys.CURRENT_CHANGE, record(stateAfterBaseline()));
        values.put(
                StoreKeys.PAST_CHANGE_PREFIX + "c1",
                record(new RolloutState(
                        RolloutCodec.toSpec(spec()),
                        RolloutPhase.STOPPED,
                        0,
                        NOW_MS,
                        "harm",
                        new TreeSet<>(Set.of("n1")),
                        new byte[0])));
        values.put(
                StoreKeys.VERSION_PREFIX + "v2",
                VersionSpec.newBuilder()
                        .setId("v2")
                        .setProgram("/p.jar")
                        .setDigest("ab")
                        .setSettings("{}")
                        .build());
        values.put(
                StoreKeys.ORDER_PREFIX + "n1",
                Order.newBuilder()
                        .setNode("n1")
                        .setVersion("v2")
                        .setNumber(9)
                        .setChange("c1")
                        .setGivenMs(NOW_MS)
                        .build());
        values.put(
                StoreKeys.MACHINE_PREFIX + "m1",
                MachineReport.newBuilder()
                        .setMachine("m1")
                        .setFence(5)
                        .setAtMs(NOW_MS)
                        .addNodes(NodeState.newBuilder()
                                .setNode("n1")
                                .setZone("z1")
                                .setVersion("v2")
                                .setPhase(NodePhase.READY.name())
                                .setSinceMs(NOW_MS)
                                .setOrderNumber(9)
                                .setCrashes(1)
                                .setTrouble("none"))
                        .build());
        values.put(StoreKeys.METRICS_PREFIX + "n1", RolloutCodec.convertMetrics(metrics("n1", "v2", 3), NOW_MS));
        values.put(StoreKeys.LEADER_LEASE, BaseVersion.getDefaultInstance());
        return values;
    }

    private static final Map<String, Parser<? extends MessageLite>> PARSERS = Map.of(
            "base",
            BaseVersion.parser(),
            "change/current",
            ChangeRecord.parser(),
            "change/past/c1",
            ChangeRecord.parser(),
            "version/v2",
            VersionSpec.parser(),
            "order/n1",
            Order.parser(),
            "machine/m1",
            MachineReport.parser(),
            "figures/n1",
            NodeFigures.parser(),
            "lead/rollout",
            BaseVersion.parser());

    @Test
    void storedFormatsAreUnchanged() throws Exception {
        Map<String, MessageLite> values = values();
        assertEquals(PARSERS.keySet(), values.keySet());
        for (Map.Entry<String, MessageLite> each : values.entrySet()) {
            RecordedEncodings.assertWritten(each.getKey(), each.getValue().toByteArray());
            assertEquals(
                    each.getValue(), PARSERS.get(each.getKey()).parseFrom(RecordedEncodings.recorded(each.getKey())));
        }
    }

    /**
     * The sums of the comparison lie in the record as bytes: the comparison must continue with them, not start over.
     */
    @Test
    void storedChangeContinuesWithItsEvidence() throws Exception {
        ChangeRecord read = ChangeRecord.parseFrom(RecordedEncodings.recorded("change/current"));
        RolloutState state = RolloutCodec.toState(read);
        RolloutState next = Rollout.step(
                        state,
                        List.of(new NodeStatus("n1", "z1", "v1", NodePhase.READY, NOW_MS, 0, "", true, "v1")),
                        List.of(),
                        PriorityWeights.equalWeights(olivechute.metrics.DelayBuckets.UPPER_BOUNDS),
                        NOW_MS + 31_000)
                .nextState();
        assertEquals(false, next.reason().contains("begins anew"), next.reason());
    }
}
