package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import olivechute.error.FleetException;

/**
 * Two controllers on one store, either of which may stall before or after any write, and an operator who acts in
 * between.
 */
class InterleavingTest {
    private static final int STEPS = 150;

    @Property(tries = 300, seed = "20261202")
    void orderNumbersOnlyIncrease(@ForAll long seed) throws FleetException {
        Random random = new Random(seed);
        ControllerRig rig = new ControllerRig(4);
        int version = 2;
        for (int i = 0; i < STEPS; i++) {
            boolean useFirst = random.nextBoolean();
            RolloutController controller = useFirst ? rig.firstController : rig.secondController;
            RolloutController other = useFirst ? rig.secondController : rig.firstController;
            InterceptingStore store = useFirst ? rig.firstStore : rig.secondStore;
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> controller.tick();
                case 4, 5 -> rig.advanceFleet();
                case 6 -> rig.clock.advance(random.nextInt(2 * (int) RolloutController.LEASE_TTL.toMillis()));
                case 7 -> store.beforeNextWrite(() -> stall(rig, random.nextInt(4000), other));
                case 8 -> store.afterNextWrite(() -> stall(rig, random.nextInt(4000), other));
                case 9 -> {
                    if (!rig.changeActive()) {
                        rig.propose("v" + version++);
                    }
                }
                case 10 -> rig.fleet.setDisconnected("n" + (1 + random.nextInt(4)), random.nextInt(3) == 0);
                default -> runOperatorAction(rig, random);
            }
        }
        assertEquals(List.of(), rig.orderLog.violations, "seed " + seed);
        for (int i = 1; i <= 4; i++) {
            rig.fleet.setDisconnected("n" + i, false);
        }
        rig.clock.advance(2 * RolloutController.LEASE_TTL.toMillis());
        finish(rig, seed);
    }

    private static void stall(ControllerRig rig, int ms, RolloutController other) {
        rig.clock.advance(ms);
        other.tick();
    }

    private static void runOperatorAction(ControllerRig rig, Random random) throws FleetException {
        if (rig.changeActive() && !rig.currentChange().getPhase().equals("STOPPED")) {
            switch (random.nextInt(6)) {
                case 0 -> rig.client.stop();
                case 1 -> {
                    if (!rig.currentChange().getPhase().equals("ROLLING_BACK")) {
                        rig.client.pause();
                    }
                }
                default -> {
                    if (rig.currentChange().getPhase().equals("PAUSED")) {
                        rig.client.resume();
                    }
                }
            }
        }
    }

    /** The change can be brought to its end from any state, and all nodes then run the base version. */
    private static void finish(ControllerRig rig, long seed) throws FleetException {
        for (int i = 0; rig.changeActive(); i++) {
            assertTrue(
                    i < 300,
                    "the change has not ended, seed " + seed + ": "
                            + rig.currentChange().getPhase());
            if (rig.currentChange().getPhase().equals("PAUSED")) {
                rig.client.stop();
            }
            rig.secondController.tick();
            rig.round();
        }
        for (int i = 0; i < 4; i++) {
            rig.secondController.tick();
            rig.round();
        }
        assertEquals(List.of(rig.client.fleetState().baseVersion()), List.copyOf(rig.fleet.versions()), "seed " + seed);
        assertEquals(List.of(), rig.orderLog.violations, "seed " + seed);
    }
}
