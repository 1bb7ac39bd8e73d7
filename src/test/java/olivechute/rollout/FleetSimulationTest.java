package olivechute.rollout;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import olivechute.error.RolloutException;
import olivechute.rollout.SimFleet.Effect;
import org.junit.jupiter.api.Test;

/**
 * Error rates over many seeded rollouts on a simulated fleet. -Drollout.seeds=N: number of seeds with an equal version;
 * a quarter of that with each kind of regression.
 */
class FleetSimulationTest {
    private static final int SEEDS = Integer.getInteger("rollout.seeds", 100);

    private static List<SimFleet> run(int seeds, Effect effect) {
        return LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> runToEnd(new SimFleet(20261202 + seed, effect)))
                .toList();
    }

    private static void printSummary(String title, List<SimFleet> fleets) {
        long stopped = fleets.stream()
                .filter(fleet -> fleet.state.phase() == RolloutPhase.STOPPED)
                .count();
        System.out.println(String.format(
                Locale.ROOT,
                "%s: seeds %d from 20261202, stopped %d, done %d, before half %d, mean stage %.2f, "
                        + "mean nodes at most %.1f, seconds %.0f, held %.2f a rollout, jobs at new nodes %.0f against %.0f had all changed at once",
                title,
                fleets.size(),
                stopped,
                fleets.stream()
                        .filter(fleet -> fleet.state.phase() == RolloutPhase.DONE)
                        .count(),
                stoppedBeforeHalf(fleets),
                fleets.stream()
                        .mapToInt(fleet -> fleet.state.stage() + 1)
                        .average()
                        .orElse(0),
                fleets.stream().mapToInt(fleet -> fleet.maxMoved).average().orElse(0),
                fleets.stream()
                        .mapToLong(fleet -> (fleet.nowMs - SimFleet.START_MS) / 1000)
                        .average()
                        .orElse(0),
                fleets.stream().mapToInt(fleet -> fleet.holdCount).average().orElse(0),
                fleets.stream().mapToLong(fleet -> fleet.newRequests).average().orElse(0),
                fleets.stream()
                        .mapToLong(fleet -> fleet.requestsSinceMove)
                        .average()
                        .orElse(0)));
        fleets.stream()
                .limit(3)
                .forEach(fleet -> System.out.println("  " + fleet.state.phase() + ": " + fleet.state.reason()));
    }

    private static long stoppedBeforeHalf(List<SimFleet> fleets) {
        return fleets.stream()
                .filter(fleet -> fleet.state.phase() == RolloutPhase.STOPPED && fleet.maxMoved < 20)
                .count();
    }

    @Test
    void anEqualVersionIsNotStopped() {
        List<SimFleet> fleets = run(SEEDS, Effect.NONE);
        printSummary("equal version", fleets);
        List<SimFleet> stopped = fleets.stream()
                .filter(fleet -> fleet.state.phase() != RolloutPhase.DONE)
                .toList();
        stopped.stream()
                .limit(5)
                .forEach(fleet -> System.out.println("  " + fleet.state.spec().id() + " " + fleet.state.reason()));
        assertTrue(stopped.size() < 0.01 * SEEDS, stopped.size() + " of " + SEEDS);
        assertTrue(fleets.stream().allMatch(fleet -> fleet.maxUnavailableSeen <= 2));
    }

    /**
     * Old and new nodes of the zone are lost alike, so the rollout neither stops nor passes the stage; it continues
     * once they are back.
     */
    @Test
    void zoneOutageDuringAStageNeitherStopsNorAdvances() {
        List<SimFleet> fleets = LongStream.range(0, Math.max(20, SEEDS / 20))
                .parallel()
                .mapToObj(seed -> {
                    SimFleet fleet = new SimFleet(20261202 + seed, Effect.NONE);
                    for (int s = 0;
                            s < 3000 && (fleet.state.phase() != RolloutPhase.WATCHING || fleet.state.stage() != 1);
                            s++) {
                        runOneSecond(fleet);
                    }
                    for (int s = 0; s < 20; s++) {
                        fleet.runSecond();
                    }
                    fleet.setZoneLost("b", true);
                    for (int s = 0; s < 400; s++) {
                        fleet.runSecond();
                        assertTrue(
                                fleet.state.phase() == RolloutPhase.HELD && fleet.state.stage() == 1,
                                fleet.state.reason());
                    }
                    fleet.setZoneLost("b", false);
                    return runToEnd(fleet);
                })
                .toList();
        printSummary("zone lost for 400 s", fleets);
        assertTrue(fleets.stream().allMatch(fleet -> fleet.state.phase() == RolloutPhase.DONE));
    }

    private static SimFleet runToEnd(SimFleet fleet) {
        return run(fleet, 9000);
    }

    private static void runOneSecond(SimFleet fleet) {
        run(fleet, 1);
    }

    private static SimFleet run(SimFleet fleet, int seconds) {
        try {
            return fleet.run(seconds);
        } catch (RolloutException e) {
            throw new AssertionError(e);
        }
    }

    private static void assertStopped(String title, Effect effect, double minFraction) {
        List<SimFleet> fleets = run(Math.max(50, SEEDS / 4), effect);
        printSummary(title, fleets);
        assertTrue(
                stoppedBeforeHalf(fleets) >= minFraction * fleets.size(),
                stoppedBeforeHalf(fleets) + " of " + fleets.size());
        assertTrue(fleets.stream().allMatch(fleet -> fleet.maxUnavailableSeen <= 2));
    }

    @Test
    void servingFivePercentLessIsStoppedBeforeHalf() {
        assertStopped("5 % less of all", new Effect(0.95, 0.95, 0, 0, true), 0.95);
    }

    @Test
    void servingTenPercentLessOfOneClassIsStoppedBeforeHalf() {
        assertStopped("10 % less of sign", new Effect(1, 0.9, 0, 0, true), 0.95);
    }

    @Test
    void aSlowerVersionIsStopped() {
        assertStopped("30 ms slower", new Effect(1, 1, 30, 0, true), 0.99);
    }

    @Test
    void aVersionThatCrashesIsStopped() {
        assertStopped("crashes after 20 s", new Effect(1, 1, 0, 20, true), 0.99);
    }

    @Test
    void aVersionThatIsNeverReadyIsStopped() {
        assertStopped("never ready", new Effect(1, 1, 0, 0, false), 0.99);
    }
}
