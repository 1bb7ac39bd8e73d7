package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.util.List;
import olivechute.error.FleetException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.StageSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.store.MemoryStore;

/** An in-memory store, a scripted fleet at its base version v1, and two controllers in virtual time. */
final class ControllerRig {
    private static final long ROUND_MS = 1000;

    final TestClock clock = new TestClock();
    final MemoryStore store = new MemoryStore(clock);
    final InterceptingStore.OrderLog orderLog = new InterceptingStore.OrderLog();
    final InterceptingStore firstStore = new InterceptingStore(store, orderLog);
    final InterceptingStore secondStore = new InterceptingStore(store, orderLog);
    final RolloutController firstController;
    final RolloutController secondController;
    final RolloutClient client = new RolloutClient(store, clock);
    final ScriptedFleet fleet;

    ControllerRig(int nodes) throws FleetException {
        this(nodes, new SequentialStepFunction());
    }

    ControllerRig(int nodes, ReconcilePlan.StepFunction stepFunction) throws FleetException {
        firstController =
                new RolloutController(firstStore, () -> true, clock, Duration.ofSeconds(1), stepFunction, "r1");
        secondController =
                new RolloutController(secondStore, () -> true, clock, Duration.ofSeconds(1), stepFunction, "r2");
        fleet = new ScriptedFleet(store, clock, nodes);
        client.setBaseVersion(VersionSpec.newBuilder()
                .setId("v1")
                .setProgram("/p1")
                .setDigest("d1")
                .build());
        rounds(3);
        assertEquals(0, fleet.notReadyCount());
    }

    /** A change to the version of the same ID, in a stage of one node and one of all. */
    static ChangeSpec changeSpec(String id) {
        return ChangeSpec.newBuilder()
                .setId(id)
                .setMostAway(1)
                .setReadyWithinMs(30_000)
                .addStages(StageSpec.newBuilder()
                        .setNodes(1)
                        .setLeastMs(3000)
                        .setLongestMs(600_000)
                        .setLeastJobs(10))
                .addStages(StageSpec.newBuilder()
                        .setPercent(100)
                        .setLeastMs(3000)
                        .setLongestMs(600_000)
                        .setLeastJobs(10))
                .build();
    }

    ChangeRecord propose(String id) throws FleetException {
        return client.propose(
                changeSpec(id),
                VersionSpec.newBuilder().setId(id).setSettings("a = 1").build());
    }

    /** One tick of the first controller and one second of the fleet. */
    void round() throws StoreException {
        firstController.tick();
        advanceFleet();
    }

    void advanceFleet() throws StoreException {
        fleet.round();
        clock.advance(ROUND_MS);
    }

    void rounds(int count) throws StoreException {
        for (int i = 0; i < count; i++) {
            round();
        }
    }

    boolean changeActive() throws FleetException {
        return client.fleetState().currentChange().isPresent();
    }

    void runUntilEnded() throws FleetException {
        for (int i = 0; changeActive(); i++) {
            assertFalse(i > 1000, "still active: " + i);
            round();
        }
        rounds(2);
    }

    ChangeRecord currentChange() throws FleetException {
        return client.fleetState().currentChange().orElseThrow();
    }

    ChangeRecord pastChange(String id) throws FleetException {
        return RolloutCodec.parse(
                ChangeRecord.parser(),
                id,
                store.get(StoreKeys.PAST_CHANGE_PREFIX + id).orElseThrow().value());
    }

    int orderCount() {
        return orderLog.ordersByNode.values().stream().mapToInt(List::size).sum();
    }

    /** Asserts that each node was ordered these versions, one order each, with increasing numbers. */
    void assertOrderedVersions(List<String> versions) {
        orderLog.versions().forEach((node, given) -> assertEquals(versions, given, node));
        assertEquals(List.of(), orderLog.violations);
    }
}
