package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.RolloutException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.StageSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** The operator actions on an in-memory store. */
class RolloutClientTest {
    private final ControllerRig rig = new ControllerRig(3);

    RolloutClientTest() throws FleetException {}

    private static void assertFails(ErrorCode kind, Executable call) {
        assertEquals(kind, assertThrows(FleetException.class, call).code());
    }

    private VersionSpec storedVersion(String id) throws FleetException {
        return RolloutCodec.parse(
                VersionSpec.parser(),
                id,
                rig.store.get(StoreKeys.VERSION_PREFIX + id).orElseThrow().value());
    }

    @Test
    void unsetVersionFieldsAreInheritedFromTheBase() throws FleetException {
        rig.propose("v2");
        assertEquals(
                "/p1 d1 a = 1",
                storedVersion("v2").getProgram() + " " + storedVersion("v2").getDigest() + " "
                        + storedVersion("v2").getSettings());
        rig.runUntilEnded();
        rig.client.propose(
                ControllerRig.changeSpec("v3"),
                VersionSpec.newBuilder()
                        .setId("v3")
                        .setProgram("/p3")
                        .setDigest("d3")
                        .build());
        assertEquals(
                "/p3 d3 a = 1",
                storedVersion("v3").getProgram() + " " + storedVersion("v3").getDigest() + " "
                        + storedVersion("v3").getSettings());
        assertEquals("v2", rig.currentChange().getSpec().getFromVersion());
    }

    @Test
    void onlyOneChangeIsActive() throws FleetException {
        rig.propose("v2");
        assertFails(ErrorCode.CHANGE_UNDER_WAY, () -> rig.propose("v3"));
        assertEquals("v2", rig.currentChange().getSpec().getId());
        assertTrue(rig.store.get(StoreKeys.VERSION_PREFIX + "v3").isEmpty());
    }

    /** The second proposal comes between the first one's read and its write: exactly one is accepted. */
    @Test
    void concurrentProposalsAreResolvedByTheConditionalWrite() throws FleetException {
        InterceptingStore store = new InterceptingStore(rig.store, rig.orderLog);
        store.beforeNextWrite(() -> {
            try {
                rig.propose("v3");
            } catch (FleetException e) {
                throw new AssertionError(e);
            }
        });
        RolloutClient client = new RolloutClient(store, rig.clock);
        assertFails(
                ErrorCode.CHANGE_UNDER_WAY,
                () -> client.propose(
                        ControllerRig.changeSpec("v2"),
                        VersionSpec.newBuilder().setId("v2").build()));
        assertEquals("v3", rig.currentChange().getSpec().getId());
        assertTrue(rig.store.get(StoreKeys.VERSION_PREFIX + "v2").isEmpty());
    }

    @Test
    void oneOfManyConcurrentProposalsWins() throws Exception {
        int threads = 4;
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            CyclicBarrier barrier = new CyclicBarrier(threads);
            List<Future<String>> results = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                String id = "v" + (2 + i);
                Callable<String> call = () -> {
                    barrier.await();
                    try {
                        return rig.propose(id).getSpec().getId();
                    } catch (FleetException e) {
                        return e.code().name();
                    }
                };
                results.add(pool.submit(call));
            }
            List<String> outcomes = new ArrayList<>();
            for (Future<String> each : results) {
                outcomes.add(each.get());
            }
            assertTrue(outcomes.remove(rig.currentChange().getSpec().getId()), outcomes.toString());
            assertEquals(List.of("CHANGE_UNDER_WAY", "CHANGE_UNDER_WAY", "CHANGE_UNDER_WAY"), outcomes);
        } finally {
            pool.shutdownNow();
        }
    }

    /** The base changes between read and write: the change starts from the new one. */
    @Test
    void startsFromTheCurrentBase() throws FleetException {
        InterceptingStore store = new InterceptingStore(rig.store, rig.orderLog);
        store.beforeNextWrite(() -> {
            try {
                rig.propose("v2");
                rig.runUntilEnded();
            } catch (FleetException e) {
                throw new AssertionError(e);
            }
        });
        new RolloutClient(store, rig.clock)
                .propose(
                        ControllerRig.changeSpec("v3"),
                        VersionSpec.newBuilder().setId("v3").build());
        assertEquals("v2", rig.currentChange().getSpec().getFromVersion());
    }

    @Test
    void rejectsInvalidChanges() {
        ChangeSpec more = ChangeSpec.newBuilder()
                .setId("v2")
                .setMostAway(1)
                .setReadyWithinMs(1000)
                .addStages(StageSpec.newBuilder().setNodes(1).setPercent(5).setLongestMs(10))
                .build();
        VersionSpec version = VersionSpec.newBuilder().setId("v2").build();
        assertFails(ErrorCode.CHANGE_INVALID, () -> rig.client.propose(more, version));
        assertFails(
                ErrorCode.CHANGE_INVALID,
                () -> rig.client.propose(
                        ControllerRig.changeSpec("v2").toBuilder().clearStages().build(), version));
        assertFails(ErrorCode.CHANGE_INVALID, () -> rig.propose("v1"));
        assertFails(ErrorCode.CHANGE_INVALID, () -> rig.propose("no/slash"));
        assertFails(ErrorCode.CHANGE_INVALID, () -> rig.client.setBaseVersion(version));
        assertTrue(assertThrows(RolloutException.class, () -> rig.client.propose(more, version))
                .getMessage()
                .contains("stage 1"));
    }

    @Test
    void actionsFailWithoutAChange() {
        assertFails(ErrorCode.CHANGE_UNKNOWN, rig.client::pause);
        assertFails(ErrorCode.CHANGE_UNKNOWN, rig.client::resume);
        assertFails(ErrorCode.CHANGE_UNKNOWN, rig.client::stop);
        assertFails(ErrorCode.CHANGE_UNKNOWN, () -> rig.client.forget("n99"));
    }

    @Test
    void pausesAndResumes() throws FleetException {
        rig.propose("v2");
        rig.rounds(2);
        rig.client.pause();
        int orders = rig.orderCount();
        rig.rounds(20);
        assertEquals(orders, rig.orderCount());
        assertEquals("PAUSED", rig.currentChange().getPhase());
        rig.client.resume();
        rig.runUntilEnded();
        assertEquals("DONE", rig.pastChange("v2").getPhase());
    }

    /**
     * The controller writes after each read of the operator's call: after a fixed number of attempts the call fails and
     * nothing is changed.
     */
    @Test
    void givesUpAfterRepeatedConflicts() throws FleetException {
        rig.propose("v2");
        InterceptingStore store = new InterceptingStore(rig.store, rig.orderLog);
        List<Integer> tries = new ArrayList<>();
        store.beforeNextWrite(new InterceptingStore.WriteHook() {
            @Override
            public void run() throws StoreException {
                Store.Entry entry = rig.store.get(StoreKeys.CURRENT_CHANGE).orElseThrow();
                rig.store.write(List.of(Store.Write.put(StoreKeys.CURRENT_CHANGE, entry.value())), List.of());
                tries.add(1);
                store.beforeNextWrite(this);
            }
        });
        assertFails(ErrorCode.CONFLICT, new RolloutClient(store, rig.clock)::pause);
        assertEquals(8, tries.size());
        assertEquals("PROPOSED", rig.currentChange().getPhase());
    }

    @Test
    void onlyAnUnreachableNodeCanBeForgotten() throws FleetException {
        rig.propose("v2");
        while (!rig.fleet.versions().contains("v2")) {
            rig.round();
        }
        assertFails(ErrorCode.CHANGE_INVALID, () -> rig.client.forget("n1"));
        rig.fleet.setDisconnected("n1", true);
        rig.rounds(8);
        rig.client.forget("n1");
        assertFalse(rig.currentChange().getMovedList().contains("n1"));
        assertEquals(2, rig.client.fleetState().nodes().size());
        rig.client.stop();
        rig.runUntilEnded();
        assertEquals(2, rig.client.fleetState().nodes().size());
        rig.fleet.setDisconnected("n1", false);
        rig.rounds(4);
        assertEquals("v1", rig.fleet.version("n1"));
        assertEquals(List.of(), rig.orderLog.violations);
    }
}
