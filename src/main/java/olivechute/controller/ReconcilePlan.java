package olivechute.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import olivechute.error.RolloutException;
import olivechute.fleet.wire.BaseVersion;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.Order;
import olivechute.rollout.NodeMetrics;
import olivechute.rollout.NodeStatus;
import olivechute.rollout.RolloutDecision;
import olivechute.rollout.RolloutPhase;
import olivechute.rollout.RolloutState;
import olivechute.store.Store.Entry;
import olivechute.store.Store.Write;

/**
 * The transaction that results from a tick: the next state of the change and the orders that follow from it. Does no
 * I/O. Each write is conditional on the version that was read, so that all are rejected if anything the decision is
 * based on has changed.
 */
record ReconcilePlan(List<Write> writes, ChangeRecord updatedChange) {
    static final int MAX_PAST_CHANGES = 20;
    /** Maximum size of a change record; above it the evidence is left out. */
    private static final int MAX_RECORD_BYTES = 63 << 10;

    /** Decides the next step of an active change; times in ms since the epoch. */
    interface StepFunction {
        RolloutDecision step(
                RolloutState state, Collection<NodeStatus> nodes, Collection<NodeMetrics> metrics, long nowMs);
    }

    /**
     * {@code updatedChange}: the active change's record as the plan writes it, null if it does not. Throws MALFORMED if
     * the record cannot be interpreted.
     */
    static ReconcilePlan of(FleetState fleet, StepFunction stepFunction, long clockMs, long fence)
            throws RolloutException {
        List<Write> writes = new ArrayList<>();
        List<NodeStatus> nodes = fleet.nodes();
        Map<String, String> orders = new TreeMap<>();
        String baseVersion = fleet.baseVersion();
        Function<String, String> desiredVersion = node -> baseVersion;
        String changeId = "";
        long nowMs = clockMs;
        ChangeRecord updatedChange = null;
        Optional<ChangeRecord> current = fleet.currentChange();
        if (current.isPresent()) {
            ChangeRecord previousRecord = current.get();
            changeId = previousRecord.getSpec().getId();
            nowMs = Math.max(clockMs, previousRecord.getUpdatedMs()); // this leader's clock may be behind
            RolloutState state = RolloutCodec.toState(previousRecord);
            RolloutDecision decision = state.phase().ended()
                    ? new RolloutDecision(state, Map.of())
                    : stepFunction.step(state, nodes, fleet.metricsByNode(), nowMs);
            orders.putAll(decision.orders());
            orders.keySet()
                    .retainAll(nodes.stream()
                            .map(NodeStatus::node)
                            .toList()); // a node that was removed meanwhile gets none
            ChangeRecord nextRecord =
                    withinSizeLimit(RolloutCodec.toRecord(previousRecord, decision.nextState(), nowMs, fence));
            RolloutState nextState = decision.nextState();
            desiredVersion = node -> nextState.moved().contains(node)
                    ? nextState.spec().toVersion()
                    : nextState.spec().fromVersion();
            if (nextState.phase().ended()) {
                archive(fleet, writes, nextRecord, nextState.phase() == RolloutPhase.DONE);
                updatedChange = nextRecord;
            } else if (!orders.isEmpty() || !sameProgress(previousRecord, nextRecord)) {
                writes.add(Write.putIf(
                        StoreKeys.CURRENT_CHANGE, nextRecord.toByteArray(), fleet.version(StoreKeys.CURRENT_CHANGE)));
                updatedChange = nextRecord;
            }
        }
        OutOfDateNodes.addOrders(nodes, desiredVersion, current.isPresent(), orders);
        for (Map.Entry<String, String> order : orders.entrySet()) {
            writes.add(orderWrite(fleet, order.getKey(), order.getValue(), changeId, nowMs));
        }
        return new ReconcilePlan(writes, updatedChange);
    }

    /** The order's number is higher than that of any previous one: the store's version has grown with each of them. */
    private static Write orderWrite(FleetState fleet, String node, String version, String changeId, long nowMs) {
        long number = Math.max(fleet.version(), fleet.lastOrderNumber(node)) + 1;
        Order order = Order.newBuilder()
                .setNode(node)
                .setVersion(version)
                .setNumber(number)
                .setChange(changeId)
                .setGivenMs(nowMs)
                .build();
        return Write.putIf(
                StoreKeys.ORDER_PREFIX + node, order.toByteArray(), fleet.version(StoreKeys.ORDER_PREFIX + node));
    }

    /**
     * A record above the store's size limit would always be rejected. Without its evidence the change continues, and
     * the comparison starts over.
     */
    private static ChangeRecord withinSizeLimit(ChangeRecord record) {
        return record.getSerializedSize() <= MAX_RECORD_BYTES
                ? record
                : record.toBuilder().clearEvidence().build();
    }

    private static boolean sameProgress(ChangeRecord previous, ChangeRecord next) {
        return next.toBuilder()
                .setUpdatedMs(previous.getUpdatedMs())
                .setFence(previous.getFence())
                .build()
                .equals(previous);
    }

    /**
     * Moves the change to the past ones, deletes the oldest of these, and with them the versions that nothing refers to
     * any more.
     */
    private static void archive(FleetState fleet, List<Write> writes, ChangeRecord endedChange, boolean completed)
            throws RolloutException {
        writes.add(new Write(StoreKeys.CURRENT_CHANGE, null, fleet.version(StoreKeys.CURRENT_CHANGE), 0));
        writes.add(
                Write.put(StoreKeys.PAST_CHANGE_PREFIX + endedChange.getSpec().getId(), endedChange.toByteArray()));
        String baseVersion = fleet.baseVersion();
        if (completed) {
            baseVersion = endedChange.getSpec().getToVersion();
            writes.add(Write.putIf(
                    StoreKeys.BASE_VERSION,
                    BaseVersion.newBuilder().setVersion(baseVersion).build().toByteArray(),
                    fleet.version(StoreKeys.BASE_VERSION)));
        }
        Set<String> referencedVersions = new TreeSet<>(Set.of(
                endedChange.getSpec().getFromVersion(), endedChange.getSpec().getToVersion()));
        if (baseVersion != null) {
            referencedVersions.add(baseVersion);
        }
        fleet.ordersByNode().values().forEach(o -> referencedVersions.add(o.getVersion()));
        List<Entry> pastChanges = new ArrayList<>(fleet.entriesUnder(StoreKeys.PAST_CHANGE_PREFIX));
        pastChanges.removeIf(e -> e.key()
                .equals(StoreKeys.PAST_CHANGE_PREFIX + endedChange.getSpec().getId()));
        for (int i = 0; i < pastChanges.size(); i++) {
            if (i < pastChanges.size() - (MAX_PAST_CHANGES - 1)) {
                writes.add(Write.delete(pastChanges.get(i).key()));
            } else {
                ChangeRecord retained = RolloutCodec.parse(
                        ChangeRecord.parser(),
                        pastChanges.get(i).key(),
                        pastChanges.get(i).value());
                referencedVersions.add(retained.getSpec().getFromVersion());
                referencedVersions.add(retained.getSpec().getToVersion());
            }
        }
        for (Entry entry : fleet.entriesUnder(StoreKeys.VERSION_PREFIX)) {
            if (!referencedVersions.contains(entry.key().substring(StoreKeys.VERSION_PREFIX.length()))) {
                writes.add(Write.delete(entry.key()));
            }
        }
    }
}
