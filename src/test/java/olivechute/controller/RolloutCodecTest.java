package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeFigures;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.StageSpec;
import olivechute.rollout.ClassCounts;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.rollout.RolloutPhase;
import olivechute.rollout.RolloutStage;
import olivechute.rollout.RolloutState;
import olivechute.store.Store;
import org.junit.jupiter.api.Test;

/**
 * Messages of this version, of a newer one with additional fields and enum names, and of an older one with fewer
 * fields.
 */
class RolloutCodecTest {
    private static final int NEWER_FIELD = 1999;
    private static final byte[] NEWER_VALUE = "of a later day".getBytes(StandardCharsets.UTF_8);

    /** The message as a version with one more field would have written it. */
    private static <M extends MessageLite> M newer(Parser<M> parser, M message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        message.writeTo(bytes);
        CodedOutputStream more = CodedOutputStream.newInstance(bytes);
        more.writeByteArray(NEWER_FIELD, NEWER_VALUE);
        more.flush();
        return parser.parseFrom(bytes.toByteArray());
    }

    private static boolean holdsNewerField(MessageLite message) throws IOException {
        ByteArrayOutputStream only = new ByteArrayOutputStream();
        CodedOutputStream more = CodedOutputStream.newInstance(only);
        more.writeByteArray(NEWER_FIELD, NEWER_VALUE);
        more.flush();
        return ByteString.copyFrom(message.toByteArray())
                .toString(StandardCharsets.ISO_8859_1)
                .contains(only.toString(StandardCharsets.ISO_8859_1));
    }

    private static ChangeRecord record() {
        ChangeSpec spec = ControllerRig.changeSpec("v2").toBuilder()
                .setFromVersion("v1")
                .setToVersion("v2")
                .build();
        return ChangeRecord.newBuilder()
                .setSpec(spec)
                .setPhase("WATCHING")
                .setStage(1)
                .setStageSinceMs(7)
                .setReason("all serve")
                .addMoved("n2")
                .addMoved("n1")
                .setEvidence(ByteString.copyFrom(new byte[] {1, 2}))
                .setUpdatedMs(9)
                .setFence(3)
                .build();
    }

    @Test
    void recordRoundTrip() throws RolloutException {
        RolloutState read = RolloutCodec.toState(record());
        assertEquals(RolloutPhase.WATCHING, read.phase());
        assertEquals(Set.of("n1", "n2"), read.moved());
        assertEquals(
                new RolloutStage(0, 100, 3000, 600_000, 10),
                read.spec().stages().get(1));
        assertEquals(30_000, read.spec().readyTimeoutMs());
        ChangeRecord again = RolloutCodec.toRecord(record(), read, 9, 3);
        assertEquals(List.of("n1", "n2"), again.getMovedList());
        assertEquals(
                record().toBuilder().clearMoved().build(),
                again.toBuilder().clearMoved().build());
    }

    @Test
    void unknownFieldsArePreservedOnRewrite() throws IOException, RolloutException {
        ChangeSpec spec = newer(ChangeSpec.parser(), record().getSpec());
        ChangeRecord newer = record().toBuilder().setSpec(spec).build();
        assertTrue(holdsNewerField(RolloutCodec.toRecord(newer, RolloutCodec.toState(newer), 10, 4)), "of the spec");
        ChangeRecord whole = newer(ChangeRecord.parser(), record());
        RolloutState read = RolloutCodec.toState(whole);
        ChangeRecord written = RolloutCodec.toRecord(whole, read, 10, 4);
        assertTrue(holdsNewerField(written), "of the record");
        assertEquals(10, written.getUpdatedMs());
        assertFalse(holdsNewerField(record()));
    }

    @Test
    void unknownEnumNamesAreRejected() {
        RolloutException fault = assertThrows(
                RolloutException.class,
                () -> RolloutCodec.toState(
                        record().toBuilder().setPhase("WARMING").build()));
        assertEquals(ErrorCode.MALFORMED, fault.code());
        assertTrue(fault.getMessage().contains("'WARMING'"), fault.getMessage());
        assertEquals(
                ErrorCode.MALFORMED,
                assertThrows(
                                RolloutException.class,
                                () -> RolloutCodec.toState(
                                        record().toBuilder().setStage(2).build()))
                        .code());
        NodeState odd = NodeState.newBuilder()
                .setNode("n1")
                .setVersion("v1")
                .setPhase("THAWING")
                .build();
        NodeStatus status = RolloutCodec.toStatus(odd, true, "v1");
        assertFalse(status.reachable());
        assertTrue(status.lastError().contains("THAWING"));
    }

    @Test
    void missingFieldsHaveDefaults() throws RolloutException {
        ChangeRecord older = ChangeRecord.newBuilder()
                .setPhase("PROPOSED")
                .setSpec(ChangeSpec.newBuilder()
                        .setId("v2")
                        .setFromVersion("v1")
                        .setToVersion("v2")
                        .addStages(StageSpec.newBuilder().setPercent(100)))
                .build();
        RolloutState read = RolloutCodec.toState(older);
        assertEquals(Set.of(), read.moved());
        assertArrayEquals(new byte[0], read.evidence());
        assertEquals(new RolloutStage(0, 100, 0, 0, 0), read.spec().stages().get(0));
        NodeStatus status = RolloutCodec.toStatus(
                NodeState.newBuilder().setNode("n1").setPhase("READY").build(), true, null);
        assertEquals(new NodeStatus("n1", "", "", NodePhase.READY, 0, 0, "", true, null), status);
    }

    @Test
    void parseErrorsNameTheKey() {
        RolloutException fault = assertThrows(
                RolloutException.class,
                () -> RolloutCodec.parse(ChangeRecord.parser(), StoreKeys.CURRENT_CHANGE, new byte[] {(byte) 0xff}));
        assertEquals(ErrorCode.MALFORMED, fault.code());
        assertTrue(fault.getMessage().contains(StoreKeys.CURRENT_CHANGE));
    }

    @Test
    void metricsRoundTrip() throws InvalidProtocolBufferException {
        NodeMetrics metrics = new NodeMetrics(
                "n1", "v2", 5, 6, Map.of("sign", new ClassCounts(6, 5, 4, 3, 2, 1)), 7, new long[] {8, 0, 9});
        NodeMetrics read = RolloutCodec.convertMetrics(
                NodeFigures.parseFrom(RolloutCodec.convertMetrics(metrics, 1).toByteArray()));
        assertEquals(metrics.classes(), read.classes());
        assertArrayEquals(metrics.delayCounts(), read.delayCounts());
        assertEquals(
                "n1 v2 5 6 7",
                read.node() + " " + read.version() + " " + read.incarnation() + " " + read.sequence() + " "
                        + read.ruleViolations());
    }

    private static Store.Changes changes(boolean whole, List<Store.Entry> entries, String... removed) {
        return new Store.Changes(entries.size() + 10, whole, entries, List.of(removed));
    }

    private static Store.Entry entry(String key, MessageLite message) {
        return new Store.Entry(key, message.toByteArray(), 5);
    }

    @Test
    void nodeStaysKnownWithoutItsReportUntilItsOrderIsDeleted() {
        NodeState state = NodeState.newBuilder()
                .setNode("n1")
                .setZone("z")
                .setVersion("v1")
                .setPhase("READY")
                .setOrderNumber(40)
                .build();
        FleetState fleet = new FleetState();
        fleet.apply(changes(
                true,
                List.of(
                        entry(
                                "machine/m1",
                                MachineReport.newBuilder().addNodes(state).build()),
                        entry(
                                "order/n1",
                                Order.newBuilder()
                                        .setNode("n1")
                                        .setVersion("v1")
                                        .setNumber(30)
                                        .build()))));
        assertTrue(fleet.nodes().get(0).reachable());
        assertEquals(40, fleet.lastOrderNumber("n1"));
        fleet.apply(changes(false, List.of(), "machine/m1"));
        assertEquals(
                new NodeStatus("n1", "z", "v1", NodePhase.READY, 0, 0, "", false, "v1"),
                fleet.nodes().get(0));
        fleet.apply(changes(false, List.of(), "order/n1"));
        assertEquals(List.of(), fleet.nodes());
    }

    @Test
    void completeListReplacesState() {
        FleetState fleet = new FleetState();
        fleet.apply(changes(
                true,
                List.of(
                        entry(
                                "order/n1",
                                Order.newBuilder()
                                        .setNode("n1")
                                        .setVersion("v1")
                                        .build()),
                        entry(
                                "figures/n1",
                                NodeFigures.newBuilder()
                                        .setNode("n1")
                                        .setVersion("v0")
                                        .build()))));
        assertEquals("v0", fleet.nodes().get(0).version());
        assertFalse(fleet.nodes().get(0).reachable());
        fleet.apply(changes(
                true,
                List.of(entry(
                        "order/n2",
                        Order.newBuilder().setNode("n2").setVersion("v1").build()))));
        assertEquals(List.of("n2"), fleet.nodes().stream().map(NodeStatus::node).toList());
        assertEquals(List.of(), fleet.metricsByNode());
    }

    @Test
    void unreadableReportMakesItsNodesUnreachable() {
        NodeState state = NodeState.newBuilder()
                .setNode("n1")
                .setVersion("v1")
                .setPhase("READY")
                .build();
        FleetState fleet = new FleetState();
        fleet.apply(changes(
                true,
                List.of(
                        entry(
                                "machine/m1",
                                MachineReport.newBuilder().addNodes(state).build()),
                        entry(
                                "order/n1",
                                Order.newBuilder()
                                        .setNode("n1")
                                        .setVersion("v1")
                                        .build()))));
        fleet.apply(changes(false, List.of(new Store.Entry("machine/m1", new byte[] {(byte) 0xff}, 20))));
        assertFalse(fleet.nodes().get(0).reachable());
        assertEquals("v1", fleet.nodes().get(0).version());
    }
}
