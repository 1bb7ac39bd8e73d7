package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.RolloutException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.rollout.RolloutPhase;
import olivechute.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers that come and go on one store while a scripted fleet carries out their orders. */
class RolloutControllerTest {
    private static final int NODES = 6;
    private static final int MAX_ROUNDS = 400;

    private final ControllerRig rig = new ControllerRig(NODES);

    RolloutControllerTest() throws FleetException {}

    @Test
    void changePassesItsStages() throws FleetException {
        rig.propose("v2");
        Set<String> seen = new TreeSet<>();
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            seen.add(rig.currentChange().getPhase() + rig.currentChange().getStage());
            assertTrue(rig.fleet.notReadyCount() <= 1, "more than one away in round " + i);
            rig.round();
        }
        assertEquals("DONE", rig.pastChange("v2").getPhase());
        assertEquals("v2", rig.client.fleetState().baseVersion());
        assertEquals(Set.of("v2"), rig.fleet.versions());
        assertTrue(
                seen.containsAll(Set.of("PROPOSED0", "MOVING0", "WATCHING0", "MOVING1", "WATCHING1")), seen.toString());
        rig.assertOrderedVersions(List.of("v1", "v2"));
    }

    /**
     * A new leader takes over at any write of the old one, just before or just after it takes effect, in any phase: the
     * result is the same.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void leaderIsReplacedAtEachWrite(boolean beforeWrite) throws FleetException {
        int writes = 0;
        for (int replacedAtWrite = 0; ; replacedAtWrite++) {
            ControllerRig rig = new ControllerRig(NODES);
            rig.propose("v2");
            int writesLeft = replacedAtWrite;
            boolean replaced = false;
            for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
                if (!replaced && writesLeft == 0) {
                    InterceptingStore.WriteHook takeOver = () -> {
                        rig.clock.advance(RolloutController.LEASE_TTL.toMillis() + 1);
                        rig.secondController.tick();
                    };
                    if (beforeWrite) {
                        rig.firstStore.beforeNextWrite(takeOver);
                    } else {
                        rig.firstStore.afterNextWrite(takeOver);
                    }
                }
                boolean wrote = rig.firstController.tick();
                replaced |= writesLeft == 0 && !rig.firstStore.hookPending();
                writesLeft -= wrote && writesLeft > 0 ? 1 : 0;
                if (replaced) {
                    rig.secondController.tick();
                }
                rig.advanceFleet();
            }
            assertEquals("DONE", rig.pastChange("v2").getPhase(), "replaced at write " + replacedAtWrite);
            assertEquals(Set.of("v2"), rig.fleet.versions());
            rig.assertOrderedVersions(List.of("v1", "v2"));
            writes = replacedAtWrite;
            if (!replaced) {
                break;
            }
        }
        assertEquals(NODES + 5, writes, "each write of a whole change was tried");
    }

    /**
     * Another controller holds the lease and has not written yet: nothing of the stalled leader's write may take
     * effect.
     */
    @Test
    void writeOfAStalledLeaderIsRejected() throws FleetException {
        rig.propose("v2");
        rig.round();
        long before = rig.client.fleetState().version(StoreKeys.CURRENT_CHANGE);
        rig.firstStore.beforeNextWrite(() -> {
            rig.clock.advance(RolloutController.LEASE_TTL.toMillis() + 1);
            rig.store.acquire(StoreKeys.LEADER_LEASE, "another", RolloutController.LEASE_TTL);
        });
        assertFalse(rig.firstController.tick());
        assertEquals(before, rig.client.fleetState().version(StoreKeys.CURRENT_CHANGE));
        rig.assertOrderedVersions(List.of("v1"));
    }

    @Test
    void withoutTheFenceAStalledLeaderWrites() throws FleetException {
        rig.firstStore.dropFences();
        assertThrows(AssertionError.class, this::writeOfAStalledLeaderIsRejected);
    }

    @ParameterizedTest
    @EnumSource(
            value = RolloutPhase.class,
            names = {"PROPOSED", "MOVING", "WATCHING", "PAUSED", "ROLLING_BACK"})
    void isStoppedInEachPhase(RolloutPhase phase) throws FleetException {
        rig.propose("v2");
        for (int i = 0; !rig.currentChange().getPhase().equals(phase.name()); i++) {
            assertTrue(i < MAX_ROUNDS, "never " + phase);
            rig.round();
            if (phase == RolloutPhase.PAUSED && rig.fleet.versions().contains("v2")) {
                rig.client.pause();
            }
            if (phase == RolloutPhase.ROLLING_BACK && rig.fleet.versions().contains("v2")) {
                rig.client.stop();
            }
        }
        if (phase != RolloutPhase.ROLLING_BACK) {
            rig.client.stop();
        }
        rig.runUntilEnded();
        assertEquals("STOPPED", rig.pastChange("v2").getPhase());
        assertEquals("v1", rig.client.fleetState().baseVersion());
        assertEquals(Set.of("v1"), rig.fleet.versions());
        assertEquals(0, rig.fleet.notReadyCount());
    }

    @Test
    void joiningNodeRunsTheBase() throws FleetException {
        rig.fleet.join("n9");
        rig.rounds(3);
        assertEquals("v1", rig.fleet.version("n9"));
        rig.propose("v2");
        rig.fleet.join("n0");
        rig.runUntilEnded();
        assertEquals(Set.of("v2"), rig.fleet.versions());
        rig.rounds(2);
        rig.fleet.join("n10");
        rig.rounds(3);
        assertEquals("v2", rig.fleet.version("n10"));
        assertEquals(List.of("v2"), rig.orderLog.versions().get("n10"));
    }

    @Test
    void reconnectedMachineTakesTheNewestOrder() throws FleetException {
        rig.propose("v2");
        while (!rig.fleet.versions().contains("v2")) {
            rig.round();
        }
        rig.fleet.setDisconnected("n1", true);
        rig.rounds(8);
        assertTrue(
                rig.client.fleetState().nodes().stream().anyMatch(n -> n.node().equals("n1") && !n.reachable()));
        rig.client.stop();
        rig.runUntilEnded();
        assertEquals("v2", rig.fleet.version("n1"));
        rig.fleet.setDisconnected("n1", false);
        rig.rounds(3);
        assertEquals("v1", rig.fleet.version("n1"));
        assertEquals(0, rig.fleet.notReadyCount());
    }

    @Test
    void historyIsBounded() throws FleetException {
        for (int i = 2; i < ReconcilePlan.MAX_PAST_CHANGES + 6; i++) {
            rig.propose("v" + i);
            rig.runUntilEnded();
        }
        FleetState fleet = rig.client.fleetState();
        assertEquals(
                ReconcilePlan.MAX_PAST_CHANGES,
                fleet.entriesUnder(StoreKeys.PAST_CHANGE_PREFIX).size());
        assertEquals(0, fleet.version(StoreKeys.PAST_CHANGE_PREFIX + "v5"));
        assertTrue(fleet.version(StoreKeys.PAST_CHANGE_PREFIX + "v25") > 0);
        assertTrue(
                fleet.entriesUnder(StoreKeys.VERSION_PREFIX).size() <= ReconcilePlan.MAX_PAST_CHANGES + 1,
                "versions nothing names are gone");
        assertTrue(fleet.version(StoreKeys.VERSION_PREFIX + "v25") > 0);
    }

    @Test
    void onlyTheLeaderActs() throws FleetException {
        AtomicBoolean isLeader = new AtomicBoolean();
        RolloutController controller = new RolloutController(
                rig.store, isLeader::get, rig.clock, RolloutController.LEASE_TTL, new SequentialStepFunction(), "r9");
        rig.propose("v2");
        assertFalse(controller.tick());
        isLeader.set(true);
        rig.clock.advance(RolloutController.LEASE_TTL.toMillis() + 1);
        assertTrue(controller.tick());
        isLeader.set(false);
        controller.tick();
        assertEquals(
                "r8",
                rig.store
                        .acquire(StoreKeys.LEADER_LEASE, "r8", RolloutController.LEASE_TTL)
                        .owner());
    }

    /** The store is unreachable for a while: nothing is done, and then the change continues. */
    @Test
    void doesNothingWhileTheStoreIsUnreachable() throws FleetException {
        rig.propose("v2");
        rig.rounds(4);
        int orders = rig.orderCount();
        rig.firstStore.beforeNextWrite(() -> {
            throw new StoreException(ErrorCode.NOT_REACHED, "the link is down");
        });
        while (rig.firstStore.hookPending()) {
            orders = rig.orderCount();
            rig.round();
        }
        assertEquals(orders, rig.orderCount());
        rig.runUntilEnded();
        assertEquals("DONE", rig.pastChange("v2").getPhase());
        rig.assertOrderedVersions(List.of("v1", "v2"));
    }

    /** The response is lost after the write took effect: the state is listed again and nothing is ordered twice. */
    @Test
    void lostWriteResponseGivesNoDuplicateOrders() throws FleetException {
        rig.propose("v2");
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            rig.firstStore.afterNextWrite(() -> {
                throw new StoreException(ErrorCode.NOT_REACHED, "the answer is lost");
            });
            rig.round();
        }
        assertEquals("DONE", rig.pastChange("v2").getPhase());
        rig.assertOrderedVersions(List.of("v1", "v2"));
    }

    @Test
    void leavesAnUnknownPhaseUnchanged() throws FleetException {
        rig.propose("v2");
        rig.rounds(3);
        ChangeRecord newer = rig.currentChange().toBuilder().setPhase("WARMING").build();
        rig.store.write(List.of(Store.Write.put(StoreKeys.CURRENT_CHANGE, newer.toByteArray())), List.of());
        long version = rig.client.fleetState().version(StoreKeys.CURRENT_CHANGE);
        rig.rounds(3);
        assertEquals(version, rig.client.fleetState().version(StoreKeys.CURRENT_CHANGE));
        RolloutException fault = assertThrows(RolloutException.class, rig.client::stop);
        assertEquals(ErrorCode.MALFORMED, fault.code());
    }

    @Test
    void timestampsDoNotDecreaseWithALaggingClock() throws FleetException {
        rig.propose("v2");
        rig.rounds(3);
        long updated = rig.currentChange().getUpdatedMs();
        rig.clock.advance(-60_000);
        rig.client.pause();
        assertEquals(updated, rig.currentChange().getUpdatedMs());
        rig.firstController.tick();
        assertTrue(rig.currentChange().getUpdatedMs() >= updated);
    }

    @Test
    void ordersAreWrittenWithTheirState() throws FleetException {
        rig.propose("v2");
        for (int i = 0; i < MAX_ROUNDS && rig.changeActive(); i++) {
            Set<String> ordered = new TreeSet<>();
            rig.orderLog.versions().forEach((node, versions) -> {
                if (versions.contains("v2")) {
                    ordered.add(node);
                }
            });
            assertEquals(ordered, new TreeSet<>(rig.currentChange().getMovedList()));
            rig.round();
        }
        List<String> executed = new ArrayList<>(rig.fleet.executedOrders);
        executed.removeIf(c -> c.endsWith("v1"));
        assertEquals(NODES, executed.size());
        assertEquals(NODES, new TreeSet<>(executed).size(), executed.toString());
        assertEquals(List.of(), rig.orderLog.violations);
    }
}
