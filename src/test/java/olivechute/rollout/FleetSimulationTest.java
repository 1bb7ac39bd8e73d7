package olivechute.rollout;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import olivechute.fault.ChangeFault;
import olivechute.rollout.SimFleet.Effect;
import org.junit.jupiter.api.Test;

/** Rates over many seeded rollouts on a simulated fleet. -Drollout.seeds=N: how many of the equal version; a quarter of it of each harm. */
class FleetSimulationTest {
    private static final int SEEDS = Integer.getInteger("rollout.seeds", 400);

    private static List<SimFleet> run(int seeds, Effect effect) {
        return LongStream.range(0, seeds).parallel().mapToObj(seed -> {
            try {
                return new SimFleet(20261202 + seed, effect).run(9000);
            } catch (ChangeFault e) {
                throw new AssertionError(e);
            }
        }).toList();
    }

    private static void told(String what, List<SimFleet> fleets) {
        long stopped = fleets.stream().filter(fleet -> fleet.progress.phase() == Phase.STOPPED).count();
        System.out.println(String.format(Locale.ROOT, "%s: seeds %d from 20261202, stopped %d, done %d, before half %d, mean stage %.2f, "
                + "mean nodes at most %.1f, seconds %.0f, held %.2f a rollout, jobs at new nodes %.0f against %.0f had all changed at once", what,
            fleets.size(), stopped, fleets.stream().filter(fleet -> fleet.progress.phase() == Phase.DONE).count(), early(fleets),
            fleets.stream().mapToInt(fleet -> fleet.progress.stage() + 1).average().orElse(0),
            fleets.stream().mapToInt(fleet -> fleet.most).average().orElse(0),
            fleets.stream().mapToLong(fleet -> (fleet.now - SimFleet.BEGIN) / 1000).average().orElse(0),
            fleets.stream().mapToInt(fleet -> fleet.held).average().orElse(0),
            fleets.stream().mapToLong(fleet -> fleet.jobsAtNew).average().orElse(0),
            fleets.stream().mapToLong(fleet -> fleet.jobsSinceMove).average().orElse(0)));
        fleets.stream().limit(3).forEach(fleet -> System.out.println("  " + fleet.progress.phase() + ": " + fleet.progress.reason()));
    }

    private static long early(List<SimFleet> fleets) {
        return fleets.stream().filter(fleet -> fleet.progress.phase() == Phase.STOPPED && fleet.most < 20).count();
    }

    @Test
    void anEqualVersionIsNotStopped() {
        List<SimFleet> fleets = run(SEEDS, Effect.NONE);
        told("equal version", fleets);
        List<SimFleet> stopped = fleets.stream().filter(fleet -> fleet.progress.phase() != Phase.DONE).toList();
        stopped.stream().limit(5).forEach(fleet -> System.out.println("  " + fleet.progress.change().id() + " " + fleet.progress.reason()));
        assertTrue(stopped.size() < 0.01 * SEEDS, stopped.size() + " of " + SEEDS);
        assertTrue(fleets.stream().allMatch(fleet -> fleet.mostAwaySeen <= 2));
    }

    private static void harm(String what, Effect effect, double least) {
        List<SimFleet> fleets = run(Math.max(50, SEEDS / 4), effect);
        told(what, fleets);
        assertTrue(early(fleets) >= least * fleets.size(), early(fleets) + " of " + fleets.size());
        assertTrue(fleets.stream().allMatch(fleet -> fleet.mostAwaySeen <= 2));
    }

    @Test
    void fivePercentLessOfAllIsStoppedBeforeHalf() {
        harm("5 % less of all", new Effect(0.95, 0.95, 0, 0, true), 0.95);
    }

    @Test
    void tenPercentLessOfSignIsStoppedBeforeHalf() {
        harm("10 % less of sign", new Effect(1, 0.9, 0, 0, true), 0.95);
    }

    @Test
    void aSlowerVersionIsStopped() {
        harm("30 ms slower", new Effect(1, 1, 30, 0, true), 0.99);
    }

    @Test
    void aVersionThatCrashesIsStopped() {
        harm("crashes after 20 s", new Effect(1, 1, 0, 20, true), 0.99);
    }

    @Test
    void aVersionThatIsNeverReadyIsStopped() {
        harm("never ready", new Effect(1, 1, 0, 0, false), 0.99);
    }
}
