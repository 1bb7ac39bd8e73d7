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

/**
 * Checks the waits and timeouts of calls against the protocol's bounds, in virtual time. Times are milliseconds unless
 * a name says otherwise.
 */
public class WatchTimeoutsTest {
    private static final long SEED = 20;
    private static final long POLL_INTERVAL_US = 10_000_000;
    private static final int NOTIFIED_AFTER_MS = 6000; // after discovery had a change, whatever happened to the calls
    private static final int DRAIN_GRACE_MS = 500;
    private static final int MAX_RETRY_PAUSE_MS =
            500; // the load balancer's longest pause before it retries after a first failure
    private static final int CALL_TIME_MS = 500; // connect, queueing and answer of a call, with a margin
    private static final int REJECTED_AFTER_MS = 2000; // a busy discovery rejects a call after this time
    private static final int MAX_BUSY_ANSWER_TIME_MS =
            3034; // the longest time after which an overloaded discovery was seen to answer
    private static final int NODES = 100;
    private static final int SEEDS = 20;
    private static final double SYNCHRONIZED_CALLS_PER_SECOND = 47; // calls that discovery can answer
    private static final double LATER_CALLS_PER_SECOND = 40;
    private static final int UNLOADED_CALLS_PER_SECOND =
            400; // without load: 60 nodes that started together were answered within 0.16 s
    private static final int MAX_ROUND_MS = 3250; // wait and answers of a hundred nodes

    @DataProvider
    public Object[][] chances() {
        return new Object[][] {{0.0}, {0.25}, {0.5}, {0.75}, {Math.nextDown(1.0)}};
    }

    /** Arguments are microseconds, as in all rules. */
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

    /** The change is made just after the call has started on a connection that stays silent from then on. */
    @Test(dataProvider = "everiesAndChances")
    public void silentWatchIsRepeatedInTimeEvenIfTheFirstRetryIsRejectedLate(long pollIntervalUs, double random) {
        WatchTimeouts timeouts = polled(pollIntervalUs, () -> random);
        Call call = timeouts.watch();
        assertTrue(call.waitMs() >= 1 && call.waitMs() <= 60_000, call.toString());
        assertTrue(
                REJECTED_AFTER_MS < timeouts.afterFailure().timeoutMs(),
                "the timeout must leave time for a rejection, so that the place in the queue is not given up");
        assertTrue(call.timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS < NOTIFIED_AFTER_MS, call.toString());
        assertTrue(
                call.timeoutMs() + REJECTED_AFTER_MS + MAX_RETRY_PAUSE_MS + CALL_TIME_MS
                        < NOTIFIED_AFTER_MS + DRAIN_GRACE_MS,
                call.toString());
    }

    /**
     * After a timeout the next call has a longer one, up to a limit. The timeout of calls to an agent stays the same,
     * as an agent answers at once or has nothing to report.
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
     * Guards against a timeout shortly before discovery handles the call: the call has delayed others for nothing, and
     * its retry is queued behind all of them.
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

    /**
     * The poll interval in the settings and the longest wait that it leaves where discovery is polled, in milliseconds.
     */
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
        assertEquals(
                shortest.waitMs(),
                maxWaitMs * 2 / 3,
                "the waits of a fleet must be spread over the same part of the longest one");
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

    /** A poll interval of almost 0 must still leave time for answers and must not lead to a busy loop of calls. */
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
     * A change counts as notified as soon as the agent has it, so a silent watch and a silent second call together must
     * stay within the drain grace.
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

    // ---- fleet whose watches all fall silent -------------------------------------------------------------

    /**
     * Calls that discovery gets from such a fleet in a minute, how many of them it rejects, and how many nodes are
     * notified too late.
     */
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

    /** The times at which the watches time out if all are sent at 0 and are silent. */
    private static double[] synchronizedTimeoutsMs(WatchTimeouts[] timeouts) {
        return Arrays.stream(timeouts).mapToDouble(c -> c.watch().timeoutMs()).toArray();
    }

    /**
     * All nodes send a watch at 0 and, as there are no changes, another one after each answer; discovery answers
     * {@value #UNLOADED_CALLS_PER_SECOND} calls a second. At {@code silentFromMs} all watches fall silent. Returns the
     * times at which they time out, counted from then.
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
     * Simulates a minute after a change at 0 that all silent watches miss. Discovery answers {@code callsPerSecond}
     * calls, one after the other, and rejects a call that has waited for 2 s. An answer with the change leads to
     * another call.
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
     * At the same rate of answers a fleet with random waits is notified in time, and a fleet whose waits are all equal
     * is not, however long they are.
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
            System.out.println("uniform waits, " + random[0] + ": " + uniform);
            assertTrue(
                    uniform.late > 0,
                    "the model must show late notifications without random waits: " + random[0] + ", " + uniform);
        }
    }

    /**
     * Nodes that started together: random waits desynchronize them while there are no changes, and with equal waits
     * they stay synchronized.
     */
    @Test
    public void fleetThatStartedTogetherIsNotifiedInTimeWithoutRejections() {
        System.out.println("seeds " + SEED + " to " + (SEED + SEEDS - 1));
        int[] rejected = new int[chances().length];
        int[] late = new int[chances().length];
        for (int i = 0; i < SEEDS; i++) {
            long seed = SEED + i;
            int silentFromMs = 60_000 + i * MAX_ROUND_MS / SEEDS; // at any point of a round of calls
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
        System.out.println("uniform waits, rejected " + Arrays.toString(rejected) + ", late " + Arrays.toString(late));
        for (int c = 0; c < late.length; c++) {
            assertTrue(
                    rejected[c] > 10 * SEEDS && late[c] > 0,
                    "the model must show late notifications without random waits: " + chances()[c][0]);
        }
    }
}
