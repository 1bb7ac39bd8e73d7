package olivechute.endpointlist;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import olivechute.endpointlist.WatchTimeouts.Call;
import olivechute.loadbalancing.ServiceRules;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The times of calls against the protocol's figures, in virtual time; milliseconds. */
public class WatchTimeoutsTest {
    private static final long SEED = 20;
    private static final long POLL_INTERVAL_US = 10_000_000;
    private static final int NOTIFIED_AFTER_MS = 6000; // after discovery had a change, whatever became of calls
    private static final int DRAIN_GRACE_MS = 500;
    private static final int MAX_RETRY_PAUSE_MS =
            500; // the module's longest before it asks again after a first failure
    private static final int CALL_TIME_MS = 500; // dial, queue and answer of a call, with room
    private static final int REJECTED_AFTER_MS = 2000; // after so long a busy discovery refuses
    private static final int MAX_BUSY_ANSWER_TIME_MS =
            3034; // the longest after which a crowded discovery was seen to answer
    private static final int NODES = 100;
    private static final int SEEDS = 20;
    private static final double SYNCHRONIZED_CALLS_PER_SECOND = 47; // calls that discovery answers
    private static final double LATER_CALLS_PER_SECOND = 40;
    private static final int UNLOADED_CALLS_PER_SECOND =
            400; // and on a good day: 60 nodes that started together were answered within 0.16 s
    private static final int MAX_ROUND_MS = 3250; // wait and turn of a hundred nodes

    @DataProvider
    public Object[][] chances() {
        return new Object[][] {{0.0}, {0.25}, {0.5}, {0.75}, {Math.nextDown(1.0)}};
    }

    /** In microseconds, as all rules. */
    private static ServiceRules rules(long pollIntervalUs, long drainGraceUs) {
        return new ServiceRules(0, pollIntervalUs, drainGraceUs, 0.3, 8_900_000, 3, 1_000_000, false);
    }

    private static WatchTimeouts polled(long pollIntervalUs, DoubleSupplier random) {
        return new WatchTimeouts(false, rules(pollIntervalUs, 1000 * DRAIN_GRACE_MS), random);
    }

    private static WatchTimeouts polled(double random) {
        return polled(POLL_INTERVAL_US, () -> random);
    }

    @DataProvider
    public Object[][] everiesAndChances() {
        long[] pollIntervalsUs = {POLL_INTERVAL_US, 0, 1, 1_000_000, Long.MAX_VALUE};
        return Arrays.stream(pollIntervalsUs)
                .boxed()
                .flatMap(e -> Arrays.stream(chances()).map(c -> new Object[] {e, c[0]}))
                .toArray(Object[][]::new);
    }

    /** The change is made just after the call has begun on a connection that is silent from then on. */
    @Test(dataProvider = "everiesAndChances")
    public void silentWatchIsRepeatedInTimeEvenIfTheFirstRetryIsRejectedLate(long pollIntervalUs, double random) {
        WatchTimeouts timeouts = polled(pollIntervalUs, () -> random);
        Call call = timeouts.watch();
        assertTrue(call.waitMs() >= 1 && call.waitMs() <= 60_000, call.toString());
        assertTrue(
                REJECTED_AFTER_MS < timeouts.afterFailure().timeoutMs(),
                "a refusal is waited for, so that the place in the queue is not given up");
        assertTrue(call.timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS < NOTIFIED_AFTER_MS, call.toString());
        assertTrue(
                call.timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS + CALL_TIME_MS
                        < NOTIFIED_AFTER_MS + DRAIN_GRACE_MS,
                call.toString());
    }

    /**
     * What was given up is waited for longer the next time, but never without end; an agent answers at once or has
     * nothing to say.
     */
    @Test
    public void timeoutDoublesAfterEachCallThatTimedOut() {
        WatchTimeouts timeouts = polled(0);
        Call call = timeouts.fullList();
        assertEquals(timeouts.withBackoff(call, 0), call);
        assertEquals(timeouts.withBackoff(call, 1), new Call(call.waitMs(), 2 * call.timeoutMs()));
        assertEquals(timeouts.withBackoff(call, 2), new Call(call.waitMs(), 4 * call.timeoutMs()));
        assertTrue(timeouts.withBackoff(call, Integer.MAX_VALUE).timeoutMs() <= 12_000);
        WatchTimeouts agent = new WatchTimeouts(true, rules(POLL_INTERVAL_US, 1000 * DRAIN_GRACE_MS), () -> 0);
        assertEquals(agent.withBackoff(agent.afterFailure(), 3), agent.afterFailure());
    }

    /**
     * A call given up just before its turn has kept others waiting for nothing, and stands behind all of them the next
     * time.
     */
    @Test
    public void callDoesNotTimeOutBeforeABusyDiscoveryAnswers() {
        WatchTimeouts timeouts = polled(0);
        assertTrue(
                timeouts.afterFailure().timeoutMs() > MAX_BUSY_ANSWER_TIME_MS,
                timeouts.afterFailure().toString());
        assertTrue(
                timeouts.afterFailure().timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS < NOTIFIED_AFTER_MS,
                timeouts.afterFailure().toString());
    }

    @Test
    public void silentFullListCallIsRepeatedInTimeEvenIfTheFirstRetryIsRejected() {
        WatchTimeouts timeouts = polled(0);
        assertEquals(timeouts.fullList().waitMs(), 0);
        assertTrue(timeouts.fullList().timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS + CALL_TIME_MS
                < NOTIFIED_AFTER_MS);
    }

    /** Milliseconds of the settings, and the longest wait that they leave where discovery is asked. */
    @DataProvider
    public Object[][] everies() {
        return new Object[][] {
            {0, 3000}, {10_000, 3000}, {3400, 3000}, {3399, 2999}, {2500, 2100}, {1000, 600}, {450, 50}
        };
    }

    @Test(dataProvider = "everies")
    public void noCallOutlastsThePollInterval(int pollIntervalMs, int maxWaitMs) {
        Call shortest = polled(1000L * pollIntervalMs, () -> 0).watch();
        Call longest = polled(1000L * pollIntervalMs, () -> Math.nextDown(1.0)).watch();
        assertEquals(longest.waitMs(), maxWaitMs);
        assertEquals(shortest.waitMs(), maxWaitMs * 2 / 3, "a fleet is kept out of step by the same part of the wait");
        assertEquals(longest.timeoutMs() - longest.waitMs(), shortest.timeoutMs() - shortest.waitMs());
        assertTrue(pollIntervalMs == 0 || longest.timeoutMs() <= pollIntervalMs, longest.toString());
        for (Object[] grace : graces()) {
            WatchTimeouts agent =
                    new WatchTimeouts(true, rules(1000L * pollIntervalMs, 1000L * (int) grace[0]), () -> 0.5);
            assertTrue(
                    pollIntervalMs == 0
                            || (agent.watch().timeoutMs() <= pollIntervalMs
                                    && agent.agentRetryPauseMs() <= pollIntervalMs),
                    agent.watch().toString());
        }
    }

    /**
     * Settings that leave next to no time between two calls: answers still have time to come, and calls do not follow
     * each other without end.
     */
    @Test
    public void tinyPollIntervalDoesNotCauseABusyLoop() {
        for (long pollIntervalUs : new long[] {1, 1000, 40_000, 400_000}) {
            Call call = polled(pollIntervalUs, () -> 0).watch();
            assertTrue(
                    call.waitMs() >= 30 && call.timeoutMs() - call.waitMs() >= 400 && call.timeoutMs() <= 450,
                    pollIntervalUs + ": " + call);
            Call agent = new WatchTimeouts(true, rules(pollIntervalUs, 1000 * DRAIN_GRACE_MS), () -> 0).watch();
            assertTrue(agent.waitMs() >= 50, pollIntervalUs + ": " + agent);
        }
    }

    @DataProvider
    public Object[][] graces() {
        return new Object[][] {{300}, {500}, {800}, {1200}, {3000}, {20_000}};
    }

    /**
     * What an agent has counts at once: watch, silence, second call and its silence together stay within the drain's
     * grace.
     */
    @Test(dataProvider = "graces")
    public void agentIsPolledAgainWithinTheDrainGrace(int drainGraceMs) {
        WatchTimeouts timeouts = new WatchTimeouts(true, rules(POLL_INTERVAL_US, 1000L * drainGraceMs), () -> 0.5);
        int silentMs = timeouts.watch().timeoutMs() + timeouts.afterFailure().timeoutMs();
        assertTrue(timeouts.watch().waitMs() >= 1, timeouts.watch().toString());
        assertTrue(silentMs < drainGraceMs, "a silent watch and its second call: " + silentMs);
        assertTrue(timeouts.agentRetryPauseMs() + timeouts.watch().waitMs() < drainGraceMs);
        assertTrue(timeouts.firstAnswerTimeoutMs() > 0 && timeouts.firstAnswerTimeoutMs() < 1000);
    }

    // ---- a fleet whose watches all fall silent -------------------------------------------------------------

    /** What a discovery does with such a fleet in a minute: calls, refused ones, and nodes that hear too late. */
    private record FleetCalls(int calls, int rejected, int late) {}

    private record ScheduledCall(double atMs, int node, boolean afterSilentWatch) {}

    private static PriorityQueue<ScheduledCall> callQueue() {
        return new PriorityQueue<>(
                Comparator.comparingDouble(ScheduledCall::atMs).thenComparing(ScheduledCall::node));
    }

    private static WatchTimeouts[] randomizedFleet(long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        WatchTimeouts[] timeouts = new WatchTimeouts[NODES];
        Arrays.setAll(timeouts, i -> polled(POLL_INTERVAL_US, seeds.split()::nextDouble));
        return timeouts;
    }

    private static WatchTimeouts[] uniformFleet(double random) {
        WatchTimeouts[] timeouts = new WatchTimeouts[NODES];
        Arrays.fill(timeouts, polled(random));
        return timeouts;
    }

    /** When each watch is given up, all asked for at 0 and silent. */
    private static double[] synchronizedTimeoutsMs(WatchTimeouts[] timeouts) {
        return Arrays.stream(timeouts).mapToDouble(c -> c.watch().timeoutMs()).toArray();
    }

    /**
     * All nodes ask at 0 and go on so, as there is no news, before a discovery that answers {@value #QUICK} calls a
     * second; at {@code cut} all watches fall silent. When each is given up, from the cut on.
     */
    private static double[] timeoutsAfterIdlePeriodMs(WatchTimeouts[] timeouts, int silentFromMs) {
        double[] timedOutAtMs = new double[timeouts.length];
        double discoveryFreeAtMs = 0;
        PriorityQueue<ScheduledCall> queue = callQueue();
        for (int i = 0; i < timeouts.length; i++) {
            queue.add(new ScheduledCall(0, i, false));
        }
        while (queue.peek().atMs < silentFromMs) {
            ScheduledCall scheduled = queue.remove();
            discoveryFreeAtMs = Math.max(scheduled.atMs, discoveryFreeAtMs) + 1000.0 / UNLOADED_CALLS_PER_SECOND;
            Call call = timeouts[scheduled.node].watch();
            timedOutAtMs[scheduled.node] = discoveryFreeAtMs + call.timeoutMs() - silentFromMs;
            queue.add(new ScheduledCall(discoveryFreeAtMs + call.waitMs(), scheduled.node, false));
        }
        return timedOutAtMs;
    }

    /**
     * A change at 0 that all silent watches miss. Discovery answers {@code perSecond} calls in turn and refuses what
     * has waited for 2 s; an answer with news leads to another call.
     */
    private static FleetCalls simulateMinute(
            WatchTimeouts[] timeouts, double[] timedOutAtMs, double callsPerSecond, long seed) {
        int calls = 0;
        int rejected = 0;
        int late = 0;
        double discoveryFreeAtMs = 0;
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<ScheduledCall> queue = callQueue();
        for (int i = 0; i < timeouts.length; i++) {
            queue.add(new ScheduledCall(timedOutAtMs[i], i, true));
        }
        while (queue.peek().atMs < 60_000) {
            ScheduledCall scheduled = queue.remove();
            calls++;
            double startMs = Math.max(scheduled.atMs, discoveryFreeAtMs);
            if (startMs > scheduled.atMs + REJECTED_AFTER_MS) {
                rejected++;
                queue.add(new ScheduledCall(
                        scheduled.atMs + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS * (1 + random.nextDouble()) / 2,
                        scheduled.node,
                        scheduled.afterSilentWatch));
                continue;
            }
            discoveryFreeAtMs = startMs + 1000 / callsPerSecond;
            late += scheduled.afterSilentWatch && discoveryFreeAtMs > NOTIFIED_AFTER_MS + DRAIN_GRACE_MS ? 1 : 0;
            queue.add(new ScheduledCall(
                    discoveryFreeAtMs
                            + (scheduled.afterSilentWatch
                                    ? 0
                                    : timeouts[scheduled.node].watch().waitMs()),
                    scheduled.node,
                    false));
        }
        return new FleetCalls(calls, rejected, late);
    }

    /**
     * At one and the same rate the drawn fleet is told in time, and one that waits equally long is not, whatever wait
     * it is.
     */
    @Test
    public void synchronizedFleetIsNotifiedInTimeWithoutRejections() {
        System.out.println("seeds " + SEED + " to " + (SEED + SEEDS - 1));
        for (long seed = SEED; seed < SEED + SEEDS; seed++) {
            WatchTimeouts[] timeouts = randomizedFleet(seed);
            FleetCalls randomized =
                    simulateMinute(timeouts, synchronizedTimeoutsMs(timeouts), SYNCHRONIZED_CALLS_PER_SECOND, seed);
            assertEquals(randomized.rejected, 0, seed + ": " + randomized);
            assertEquals(randomized.late, 0, seed + ": " + randomized);
            assertTrue(randomized.calls <= NODES * 60 / 2, seed + ": " + randomized);
        }
        for (Object[] random : chances()) {
            WatchTimeouts[] timeouts = uniformFleet((double) random[0]);
            FleetCalls uniform =
                    simulateMinute(timeouts, synchronizedTimeoutsMs(timeouts), SYNCHRONIZED_CALLS_PER_SECOND, SEED);
            System.out.println("without chance, " + random[0] + ": " + uniform);
            assertTrue(
                    uniform.late > 0,
                    "the model tells a fleet in step from one that is not: " + random[0] + ", " + uniform);
        }
    }

    /**
     * Nodes that started together: those with drawn waits lose their step while nothing happens, the others keep it for
     * ever.
     */
    @Test
    public void fleetThatStartedTogetherIsNotifiedInTimeWithoutRejections() {
        System.out.println("seeds " + SEED + " to " + (SEED + SEEDS - 1));
        int[] rejected = new int[chances().length];
        int[] late = new int[chances().length];
        for (int i = 0; i < SEEDS; i++) {
            long seed = SEED + i;
            int silentFromMs = 60_000 + i * MAX_ROUND_MS / SEEDS; // anywhere in a round
            WatchTimeouts[] timeouts = randomizedFleet(seed);
            FleetCalls randomized = simulateMinute(
                    timeouts, timeoutsAfterIdlePeriodMs(timeouts, silentFromMs), LATER_CALLS_PER_SECOND, seed);
            assertEquals(randomized.rejected, 0, seed + ": " + randomized);
            assertEquals(randomized.late, 0, seed + ": " + randomized);
            for (int c = 0; c < late.length; c++) {
                WatchTimeouts[] uniformTimeouts = uniformFleet((double) chances()[c][0]);
                FleetCalls uniform = simulateMinute(
                        uniformTimeouts,
                        timeoutsAfterIdlePeriodMs(uniformTimeouts, silentFromMs),
                        LATER_CALLS_PER_SECOND,
                        seed);
                rejected[c] += uniform.rejected;
                late[c] += uniform.late;
            }
        }
        System.out.println("without chance, refused " + Arrays.toString(rejected) + ", late " + Arrays.toString(late));
        for (int c = 0; c < late.length; c++) {
            assertTrue(
                    rejected[c] > 10 * SEEDS && late[c] > 0,
                    "the model tells a fleet in step from one that is not: " + chances()[c][0]);
        }
    }
}
