package olivechute.loadbalancing;

import static olivechute.loadbalancing.Harness.MS;
import static olivechute.loadbalancing.Harness.S;
import static olivechute.loadbalancing.Harness.askingEvery;
import static olivechute.loadbalancing.Harness.entry;
import static olivechute.loadbalancing.Harness.kind;
import static olivechute.loadbalancing.Harness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The module's decisions, one failure or rule at a time. */
@SuppressWarnings("ReferenceEquality") // strings made by the test itself
class ShareLoadBalancerTest {
    private static final List<Tenant> TWO = List.of(new Tenant("a", 0.5, 100), new Tenant("b", 0.5, 100));

    private static Harness plain(Idempotency effect, DeduplicationScope group) {
        return new Harness(settings(List.of(kind("c", effect, group)), TWO, LoadReporting.NONE, true, false), 1);
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,ALL,ERROR,resent",
        "IDEMPOTENT,ALL,RESET,resent",
        "IDEMPOTENT,ALL,REJECTED,resent",
        "IDEMPOTENT,ALL,CONNECT_FAILED,resent",
        "IDEMPOTENT,ALL,CANCELLED,resent",
        "IDEMPOTENT,ALL,NOT_SENT,refused",
        "NOT_IDEMPOTENT,ALL,ERROR,failed",
        "NOT_IDEMPOTENT,ALL,RESET,failed",
        "NOT_IDEMPOTENT,ALL,TIMEOUT,failed",
        "NOT_IDEMPOTENT,ALL,CANCELLED,failed",
        "NOT_IDEMPOTENT,ALL,REJECTED,resent",
        "NOT_IDEMPOTENT,ALL,CONNECT_FAILED,resent",
        "NOT_IDEMPOTENT,ALL,NOT_SENT,refused",
        "KEYED,ALL,RESET,resent",
        "KEYED,CELL,ERROR,resent",
        "KEYED,ALL,REJECTED,resent",
        "KEYED,CELL,NOT_SENT,refused",
        "IDEMPOTENT,ALL,TIMEOUT,resent",
        "KEYED,ALL,ERROR,resent",
        "KEYED,ALL,TIMEOUT,resent",
        "KEYED,ALL,CANCELLED,resent",
        "KEYED,ALL,CONNECT_FAILED,resent",
        "IDEMPOTENT,ALL,OK,served",
        "KEYED,ALL,OK,served",
        "NOT_IDEMPOTENT,ALL,OK,served"
    })
    void eachOutcomeIsAnsweredAsTheEffectAllows(
            Idempotency effect, DeduplicationScope group, AttemptOutcome outcome, String then) {
        Harness h = plain(effect, group);
        h.workers(3);
        h.request("r", "c", "a", 5 * S);
        h.advance(20 * MS);
        h.outcome("r", outcome);
        h.advance(20 * MS);
        assertEquals(then.equals("resent") ? 2 : 1, h.seen.get("r").workers.size());
        assertEquals(then.equals("resent") ? null : then, h.answer("r"));
    }

    @Test
    void aTimeOutAtTheDeadlineStillGetsItsAnswer() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.request("r", "c", "a", 5 * S);
        h.started("r");
        h.advance(5 * S); // the host cuts the attempt there
        assertEquals("refused", h.answer("r"));
    }

    @Test
    void anUnsafeRequestThatTimedOutIsFailedNotRefused() {
        Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.request("r", "c", "a", 5 * S);
        h.advance(5 * S); // the host cuts the attempt there
        assertEquals("failed", h.answer("r"));
    }

    @Test
    void aKeyedRepeatStaysInItsCellAndInItsWindow() {
        Harness h = plain(Idempotency.KEYED, DeduplicationScope.CELL);
        h.list(ListUpdateKind.FULL, entry("w0", 0, EndpointState.ACTIVE, 0));
        h.request("r", "c", "a", 5 * S);
        h.list(ListUpdateKind.FULL, entry("w0", 0, EndpointState.DRAINING, 0), entry("w2", 2, EndpointState.ACTIVE, 0));
        h.advance(50 * MS);
        h.outcome("r", AttemptOutcome.RESET);
        h.advance(100 * MS);
        assertEquals(1, h.seen.get("r").workers.size()); // w2 would not know the repeat
        h.advance(2 * S);
        assertEquals("failed", h.answer("r")); // it may have run: no refusal
    }

    /** Incident i6e9c8c: a try that came with under one tick left was never answered. */
    @Test
    void aTryWithNextToNoTimeLeftIsAnsweredAtOnce() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.request("r", "c", "a", 1 * MS);
        assertEquals("refused", h.answer("r"));
    }

    @Test
    void heldJobsAreRefusedOnceTheyCannotBeInTime() {
        Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.request("r", "c", "a", 5 * S);
        h.advance(299 * MS);
        assertNull(h.answer("r"));
        h.advance(5 * S);
        assertEquals("refused", h.answer("r"));
    }

    @Test
    void nothingGoesToAWorkerThatDrainsIsGoneOrIsMissingFromAFullList() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.list(
                ListUpdateKind.RESTORED,
                entry("w0", 0, EndpointState.ACTIVE, 0),
                entry("w1", 0, EndpointState.ACTIVE, 0),
                entry("w2", 0, EndpointState.ACTIVE, 0));
        h.list(ListUpdateKind.FULL, entry("w0", 0, EndpointState.ACTIVE, 0), entry("w1", 0, EndpointState.ACTIVE, 0));
        h.list(ListUpdateKind.DELTA, entry("w0", 0, EndpointState.DRAINING, 0));
        h.advance(600 * MS);
        for (int i = 0; i < 20; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            assertEquals("w1", h.workerOf("r" + i));
            h.advance(20 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
    }

    /** The setting's two readings: a list that loses workers, or a zone, proves nothing where only draining binds. */
    @Test
    void whereOnlyDrainingBindsAWorkerCalledGoneOrMissingIsStillSentTo() {
        for (boolean onlyDraining : new boolean[] {true, false}) {
            Harness h = new Harness(
                    Harness.with(
                            settings(
                                    List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                    TWO,
                                    LoadReporting.NONE,
                                    true,
                                    false),
                            onlyDraining,
                            TailObjective.NONE),
                    1);
            h.workers(3);
            h.list(ListUpdateKind.DELTA, entry("w1", 0, EndpointState.DRAINING, 0));
            h.list(
                    ListUpdateKind.DELTA,
                    entry("w0", 0, EndpointState.REMOVED, 0),
                    entry("w1", 0, EndpointState.REMOVED, 0));
            h.list(ListUpdateKind.FULL, entry("w9", 0, EndpointState.DRAINING, 0));
            h.advance(600 * MS);
            for (int i = 0; i < 40; i++) {
                h.request("r" + i, "c", "a", 5 * S);
                if (h.workerOf("r" + i) != null) {
                    h.started("r" + i);
                    h.advance(5 * MS);
                    h.outcome("r" + i, AttemptOutcome.OK);
                }
            }
            assertEquals(onlyDraining, h.seen.values().stream().anyMatch(r -> r.workers.contains("w0")));
            assertEquals(onlyDraining, h.seen.values().stream().anyMatch(r -> r.workers.contains("w2")));
            assertTrue(h.seen.values().stream().noneMatch(r -> r.workers.contains("w1") || r.workers.contains("w9")));
        }
    }

    /** One that is gone indeed is forgotten after some failures, so that it costs no attempts for ever. */
    @Test
    void aWorkerMissingFromTheListIsForgottenOnceItFails() {
        Harness h = new Harness(
                Harness.with(
                        settings(
                                List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                TWO,
                                LoadReporting.NONE,
                                true,
                                false),
                        true,
                        TailObjective.NONE),
                1);
        h.workers(1);
        h.list(ListUpdateKind.FULL, entry("w9", 0, EndpointState.DRAINING, 0));
        for (int i = 0; i < 12; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            if (h.workerOf("r" + i) != null) {
                h.outcome("r" + i, AttemptOutcome.CONNECT_FAILED);
            }
            h.advance(3 * S);
        }
        assertTrue(h.module.endpoints().get("w0") != null, "known until the list speaks again");
        h.list(ListUpdateKind.FULL, entry("w9", 0, EndpointState.DRAINING, 0));
        assertTrue(h.module.endpoints().get("w0") == null, "forgotten");
    }

    private static List<Long> pausesAfterFailures(Harness h) {
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            h.list(ListUpdateKind.FAILED);
            long from = h.now;
            int before = h.watches;
            while (h.watches == before) {
                h.advance(10 * MS);
            }
            asked.add(h.now - from);
        }
        return asked;
    }

    @ParameterizedTest
    @CsvSource({"300, 150, 300", "50, 25, 50", "1, 25, 50"})
    void noPauseAfterAFailedListCallIsLongerThanTheSettingsAskEvery(int askEvery, int least, int most) {
        LoadBalancerSettings settings = settings(
                List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                TWO,
                LoadReporting.NONE,
                false,
                false);
        List<Long> asked = pausesAfterFailures(new Harness(askingEvery(settings, askEvery * MS), 1));
        assertTrue(
                asked.stream().allMatch(wait -> wait >= least * MS && wait <= most * MS + 10 * MS), asked.toString());
    }

    @Test
    void aFailedListCallIsRepeatedWithBackoffAndTheOldListHolds() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        assertEquals(1, h.watches);
        List<Long> asked = pausesAfterFailures(h);
        assertTrue(asked.get(0) >= 250 * MS && asked.get(0) <= 510 * MS, asked.toString());
        // However many failed: 6 s after discovery had a change and could be reached it counts as told.
        assertTrue(
                asked.stream().skip(1).allMatch(wait -> wait >= 500 * MS - 10 * MS && wait <= S + 10 * MS),
                asked.toString());
        h.request("r", "c", "a", 5 * S);
        assertEquals("w0", h.workerOf("r"));
    }

    /** A watch that is started from outside, as by a move, may fail before the module's own is due. */
    @Test
    void failuresInARowLeadToOneFurtherWatchOnly() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        for (int i = 0; i < 3; i++) {
            h.list(ListUpdateKind.FAILED);
            h.advance(10 * MS);
        }
        h.advance(5 * S);
        assertEquals(2, h.watches, "the first one, and one after the failures");
    }

    @Test
    void aListThatMayBeOutOfDateIsNotSentByAndWhatWaitsGoesOnceItIsRenewed() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.listOutOfDateFor = 1;
        h.request("kept", "c", "a", 5 * S);
        h.advance(50 * MS);
        assertEquals(List.of(), h.seen.get("kept").workers);
        assertEquals(null, h.seen.get("kept").answer);
        h.listOutOfDateFor = 0;
        h.list(ListUpdateKind.DELTA);
        assertEquals(List.of("w0"), h.seen.get("kept").workers);
        h.listOutOfDateFor = 1;
        h.request("refused", "c", "a", 5 * S);
        h.advance(S);
        assertEquals(List.of(), h.seen.get("refused").workers);
        assertEquals("refused", h.seen.get("refused").answer);
    }

    /**
     * Their clients may try a node that has a list, while there is time; one that had an attempt may have nowhere else
     * to go.
     */
    @Test
    void whatHadNoAttemptIsRefusedAtOnceWhileTheListIsOutOfDateForLong() {
        Harness h = plain(Idempotency.KEYED, DeduplicationScope.ALL);
        h.workers(2);
        h.request("tried", "c", "a", 5 * S);
        assertEquals(1, h.seen.get("tried").workers.size());
        h.listOutOfDateFor = AdmissionControl.STALE_LIST_GRACE_US;
        h.outcome("tried", AttemptOutcome.CONNECT_FAILED);
        h.request("waits", "c", "a", 5 * S);
        h.advance(50 * MS);
        assertEquals(null, h.seen.get("waits").answer);
        h.listOutOfDateFor = AdmissionControl.STALE_LIST_GRACE_US + 1;
        h.request("refused", "c", "a", 5 * S);
        assertEquals("refused", h.seen.get("refused").answer);
        assertEquals("refused", h.seen.get("waits").answer);
        assertEquals(null, h.seen.get("tried").answer);
        h.listOutOfDateFor = 0;
        h.list(ListUpdateKind.DELTA);
        assertEquals(2, h.seen.get("tried").workers.size());
    }

    @Test
    void theColdBudgetHoldsInEveryWindow() {
        RequestClass c = kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        Harness h = Harness.learned(settings(List.of(c), TWO, LoadReporting.NONE, false, false), 1, 5 * MS);
        List<Long> sent = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            if (h.workerOf("r" + i) != null) {
                sent.add(h.now);
                h.advance(5 * MS);
                h.outcome("r" + i, AttemptOutcome.OK);
            }
            h.advance(5 * MS);
        }
        assertTrue(sent.size() > 3, "a cold worker still gets some work");
        // One slot known, 0.2 to 0.36 of it, 3 times that for a second, halved for slack and again for two nodes.
        double mostWork = 3 * 0.36 * S / 2 / 2;
        for (long from : sent) {
            long n = sent.stream().filter(t -> t > from && t < from + S).count();
            assertTrue(n * 5 * MS <= mostWork, n + " sends in a second");
        }
    }

    /** A refusal at a site without reports once counted as a report of no room, for the whole fleet. */
    @Test
    void aRefusalWhereNothingReportsLeavesTheOtherWorkersOpen() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(3);
        h.request("r", "c", "a", 5 * S);
        String first = h.workerOf("r");
        h.advance(5 * MS);
        h.outcome("r", AttemptOutcome.REJECTED);
        assertNotEquals(first, h.workerOf("r"));
        assertEquals(2, h.seen.get("r").workers.size());
    }

    /** Incident i6e9c8c: workers that refuse all while reporting room took 40% of the attempts. */
    @Test
    void aWorkerThatRefusesInARowIsRestedEverLonger() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.workers(1);
        int refused = 0;
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            h.request(id, "c", "a", 5 * S);
            if (h.workerOf(id) != null) {
                refused++;
                h.outcome(id, AttemptOutcome.REJECTED);
            }
            h.module.onProbeResult(h.now, "w0", true, MS, new LoadReport(4, Double.NaN, 0.1, 10));
            for (Harness.Seen s : h.seen.values()) {
                if (s.out() > 0) {
                    refused++;
                    h.outcome(s.request.id(), AttemptOutcome.REJECTED);
                }
            }
            h.advance(10 * MS);
        }
        assertTrue(refused <= 14, refused + " refusals in 4 s");
    }

    /** Incidents ife9dd5, i6e9c8c: probes went to the first workers of the list, the others stayed unheard. */
    @Test
    void unheardWorkersAreAskedBeforeOneIsUsed() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.workers(8);
        h.request("r", "c", "a", 5 * S);
        assertNull(h.workerOf("r"));
        List<String> asked = h.log.stream()
                .filter(l -> l.contains(" probe "))
                .map(l -> l.split(" ")[2])
                .toList();
        assertEquals(1, asked.size()); // one arrival pays for one probe here
        h.module.onProbeResult(h.now, asked.get(0), true, MS, new LoadReport(2, Double.NaN, 0.5, 10));
        assertEquals(asked.get(0), h.workerOf("r"));
    }

    @Test
    void aWorkerSilentToItsProbeIsLeftOutForAWhile() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.workers(2);
        h.request("r", "c", "a", 5 * S);
        String silent = h.log.get(h.log.size() - 1).split(" ")[2];
        h.advance(200 * MS);
        assertNotEquals(null, h.workerOf("r"));
        assertNotEquals(silent, h.workerOf("r"));
    }

    @Test
    void aQuietNodeUsesFewWorkersAndTheOpenConnectionsAmongThem() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.NONE,
                        false,
                        false),
                1);
        EndpointInfo[] entries = new EndpointInfo[60];
        for (int i = 0; i < 60; i++) {
            entries[i] = entry("w" + i, 0, EndpointState.ACTIVE, 0);
        }
        h.list(ListUpdateKind.FULL, entries);
        for (int i = 0; i < 200; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.advance(50 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        long used =
                h.seen.values().stream().map(x -> x.workers.get(0)).distinct().count();
        assertTrue(used <= 10, used + " workers used");
    }

    @Test
    void jobsSpillOverWhereTheirOwnZoneStartsThemLate() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.list(ListUpdateKind.FULL, entry("w0", 0, EndpointState.ACTIVE, 0), entry("w1", 1, EndpointState.ACTIVE, 0));
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.advance(h.workerOf("r" + i).equals("w0") ? 200 * MS : 2 * MS);
            h.started("r" + i);
            h.advance(10 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
            placed.merge(h.workerOf("r" + i), 1, Integer::sum);
        }
        assertTrue(placed.getOrDefault("w1", 0) > 30, placed.toString());
    }

    @Test
    void anOpenConnectionIsPreferredWhereDialsAreSlow() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.workers(6);
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            String w = h.workerOf("r" + i);
            h.advance(placed.containsKey(w) ? MS : 300 * MS); // the first job to each has to dial
            h.started("r" + i);
            h.advance(10 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
            placed.merge(w, 1, Integer::sum);
        }
        assertTrue(Collections.max(placed.values()) > 30, placed.toString());
    }

    /** The advice was the longest allowed whatever the load: it told nothing and kept repeats away. */
    @Test
    void aRefusalTellsWhenRoomIsLikely() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(new Tenant("a", 1, 0)),
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.request("early", "c", "a", 5 * S);
        h.advance(5 * S);
        assertEquals(900 * MS, h.seen.get("early").retryAfter); // it waited as long and saw no release
        h.workers(1);
        for (int i = 0; i < 40; i++) { // more than can run before they are given up
            h.request("r" + i, "c", "a", 700 * MS);
        }
        for (int i = 0; i < 8; i++) {
            h.advance(100 * MS);
            h.seen.values().stream().filter(s -> s.out() > 0).findFirst().ifPresent(s -> {
                h.module.onAttemptSignal(h.now, s.request.id(), 0, AttemptSignal.STARTED, 0);
                h.outcome(s.request.id(), AttemptOutcome.OK); // one finishes every 100 ms
            });
        }
        List<Long> advice = h.seen.values().stream()
                .filter(s -> s.retryAfter > 0 && s.request.timeLeftUs() < S)
                .map(s -> s.retryAfter)
                .toList();
        assertTrue(advice.size() > 1 && advice.stream().allMatch(a -> a >= 50 * MS && a <= S), advice.toString());
        assertTrue(Collections.max(advice) > Collections.min(advice), "those behind more wait longer " + advice);
    }

    @Test
    void aWorkerThatStartsJobsTooLateIsLeftAloneUntilThatFades() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.workers(1);
        for (int i = 0; i < 3; i++) { // opens the window, 100 ms a job
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            h.advance(100 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        h.request("queued", "c", "a", 5 * S);
        h.advance(2 * S);
        h.started("queued");
        h.outcome("queued", AttemptOutcome.OK);
        h.request("x", "c", "a", 5 * S); // could wait 350 ms, would wait 2 s
        h.advance(400 * MS);
        assertNull(h.workerOf("x"));
        assertEquals("refused", h.answer("x"));
        h.advance(8 * S);
        h.request("y", "c", "a", 5 * S);
        assertEquals("w0", h.workerOf("y"));
    }

    @Test
    void anIdleNodeHardlyWorks() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.workers(8);
        h.request("r", "c", "a", 5 * S);
        h.advance(S);
        h.outcome("r", AttemptOutcome.OK);
        h.advance(S);
        assertEquals(1, h.timers.size(), "timers pending");
        assertTrue(h.log.get(h.log.size() - 1).contains(" send r "), h.log.toString());
    }

    @Test
    void idleConnectionsAreClosedWhereHoldingThemCosts() {
        LoadBalancerSettings plain = settings(
                List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                TWO,
                LoadReporting.NONE,
                false,
                false);
        Harness h = new Harness(
                new LoadBalancerSettings(
                        plain.classes(),
                        plain.tenants(),
                        "z0",
                        2,
                        plain.rules(),
                        plain.limits(),
                        LoadReporting.NONE,
                        false,
                        true,
                        0.1,
                        new CostWeights(0, 0.01, 0.08, 0.08),
                        TailObjective.NONE,
                        true),
                1);
        h.workers(1);
        h.request("r", "c", "a", 5 * S);
        h.advance(10 * MS);
        h.outcome("r", AttemptOutcome.OK);
        h.advance(2 * S); // 200 jobs a second are told: soon worth it
        assertEquals(1, h.log.stream().filter(l -> l.endsWith(" close w0")).count());
    }

    @Test
    void manyNodesTogetherKeepTheColdBudgetAndStillUseIt() {
        RequestClass c = kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        LoadBalancerSettings plain = settings(List.of(c), TWO, LoadReporting.NONE, false, false);
        LoadBalancerSettings wide = new LoadBalancerSettings(
                plain.classes(),
                plain.tenants(),
                "z0",
                100,
                plain.rules(),
                plain.limits(),
                LoadReporting.NONE,
                false,
                true,
                0.1,
                plain.costs(),
                plain.tail(),
                true);
        List<Long> sent = new ArrayList<>();
        for (int node = 0; node < 100; node++) {
            Harness h = Harness.learned(wide, node, 20 * MS);
            for (int i = 0; i < 40; i++) {
                h.request("r" + i, "c", "a", 5 * S);
                h.advance(20 * MS);
                if ("w0".equals(h.workerOf("r" + i))) {
                    sent.add(h.seen.get("r" + i).sentAt.get(0));
                }
                if (h.workerOf("r" + i) != null) {
                    h.outcome("r" + i, AttemptOutcome.OK);
                }
            }
        }
        assertTrue(sent.size() > 3, sent.size() + " sends to a cold worker");
        for (long from : sent) { // 3 times 0.2 of one slot for a second
            long n = sent.stream().filter(t -> t >= from && t < from + S).count();
            assertTrue(n * 20 * MS <= 3 * 0.24 * S, n + " sends in a second");
        }
    }

    /** Hosts that reset kept connections at the next request were rested as if they were down. */
    @Test
    void oneResetRestsAWorkerShortlyAndTheNextLonger() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.request("r", "c", "a", 5 * S);
        h.outcome("r", AttemptOutcome.RESET);
        h.advance(60 * MS);
        assertEquals(2, h.seen.get("r").workers.size());
        h.outcome("r", AttemptOutcome.RESET);
        h.advance(60 * MS);
        assertEquals(2, h.seen.get("r").workers.size());
    }

    /** A dial that hangs looked like a queue there, and the worker was passed over for seconds after. */
    @Test
    void aFailedDialLeavesNoWaitAtItsWorker() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        for (int i = 0; i < 10; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            h.advance(100 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        h.request("dial", "c", "a", 5 * S);
        h.advance(600 * MS);
        h.outcome("dial", AttemptOutcome.CONNECT_FAILED);
        h.advance(300 * MS); // its rest is over
        h.request("x", "c", "a", 5 * S);
        assertEquals("w0", h.workerOf("x"));
    }

    /** A job whose start is never told would block its worker until its end. */
    @Test
    void aJobSilentPastItsAimNoLongerBlocksItsWorker() {
        Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        for (int i = 0; i < 10; i++) { // opens the window
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            h.advance(100 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        h.request("lost", "c", "a", 5 * S);
        h.advance(400 * MS);
        h.request("x", "c", "a", 5 * S);
        assertNull(h.workerOf("x"));
        h.advance(3 * S); // given up for lost: it waits for nothing any more
        h.request("y", "c", "a", 5 * S);
        assertEquals("w0", h.workerOf("y"));
    }

    /** stadshjulet-app big-1, ife9dd5: a flooding tenant held every slot, the others found none. */
    @Test
    void aSurplusJobLeavesSlotsFreeForTheOthers() {
        List<Tenant> tenants = List.of(new Tenant("a", 0.5, 0.1), new Tenant("b", 0.5, 0.1));
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.workers(1);
        h.module.onProbeResult(h.now, "w0", true, MS, new LoadReport(20, Double.NaN, 0.9, 10));
        for (int i = 0; i <= TenantQuota.BURST_REQUESTS; i++) { // all but the last are within the quota
            h.request("r" + i, "c", "a", 5 * S);
            assertEquals("w0", h.workerOf("r" + i));
            h.outcome("r" + i, 0, AttemptOutcome.OK, LoadReport.NONE);
        }
        oneFreeSlot(h);
        h.request("over", "c", "a", 5 * S);
        assertNull(h.workerOf("over"));
        h.advance(600 * MS);
        oneFreeSlot(h);
        h.request("under", "c", "b", 5 * S);
        assertEquals("w0", h.workerOf("under"));
    }

    /** In-share jobs that came a few at once were taken for surplus and refused, on quiet days too. */
    @Test
    void aShortBurstOfATenantWithinItsQuotaIsServedByTheLastFreeSlot() {
        Harness h = new Harness(flooded(TailObjective.NONE), 1);
        h.workers(1);
        h.now = 20 * S;
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(4, Double.NaN, 1, 10));
        for (int i = 0; i < 10; i++) { // at most 5 a second are this node's part
            oneFreeSlot(h);
            h.request("r" + i, "c", "a", 5 * S);
            assertEquals("w0", h.workerOf("r" + i));
            h.outcome("r" + i, 0, AttemptOutcome.OK, LoadReport.NONE);
        }
    }

    private static Harness twoNodes() {
        List<Tenant> tenants = List.of(new Tenant("a", 0.3, 60), new Tenant("b", 0.3, 60), new Tenant("d", 0.4, 80));
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.workers(1);
        h.module.onProbeResult(h.now, "w0", true, MS, new LoadReport(6, Double.NaN, 0.1, 10)); // it has so many
        return h;
    }

    /** Jobs of each tenant at an even pace, one free slot for each; how many were left waiting as surplus. */
    private static int waiting(Harness h, String part, long time, Map<String, Integer> perSecond) {
        int waiting = 0;
        for (int i = 0; i < time / (10 * MS); i++) {
            for (Map.Entry<String, Integer> e : perSecond.entrySet()) {
                for (int j = i * e.getValue() / 100; j < (i + 1) * e.getValue() / 100; j++) {
                    String id = part + e.getKey() + j;
                    oneFreeSlot(h);
                    h.request(id, "c", e.getKey(), 5 * S);
                    if (h.workerOf(id) == null) {
                        waiting++;
                        h.module.onClientGone(h.now, id);
                        h.seen.remove(id);
                    } else {
                        h.outcome(id, 0, AttemptOutcome.OK, LoadReport.NONE);
                    }
                }
            }
            h.advance(10 * MS);
        }
        return waiting;
    }

    /** The incident r6ab6c9: as the other node restarted, all that came here was taken for floods and left waiting. */
    @Test
    void aNodeThatTakesOverAnothersTrafficDoesNotTakeItForFloods() {
        Harness h = twoNodes();
        waiting(h, "before", 15 * S, Map.of("a", 30, "b", 30, "d", 40));
        waiting(h, "at", 2 * S, Map.of("a", 60, "b", 60, "d", 80));
        int after = waiting(h, "after", 3 * S, Map.of("a", 60, "b", 60, "d", 80));
        assertTrue(after < 150, after + " of 600 left waiting");
    }

    @Test
    void aFloodOfOneTenantIsStillAFlood() {
        Harness h = twoNodes();
        waiting(h, "before", 15 * S, Map.of("a", 30, "b", 30, "d", 40));
        waiting(h, "at", 2 * S, Map.of("a", 200, "b", 30, "d", 40));
        int after = waiting(h, "after", 3 * S, Map.of("a", 200, "b", 30, "d", 40));
        assertTrue(after > 350, after + " of 510 over the quota left waiting");
    }

    /**
     * The same incident: a node late by itself saw every worker start late, sent nothing more, and so never saw better.
     */
    @Test
    void whereAllStartLateAndNothingMoreIsToldTheyGetJobsAgain() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.workers(3);
        for (int i = 0; i < 3; i++) {
            h.request("late" + i, "c", "a", 5 * S);
        }
        h.advance(900 * MS);
        for (int i = 0; i < 3; i++) {
            h.started("late" + i);
            h.outcome("late" + i, 0, AttemptOutcome.OK, new LoadReport(3, Double.NaN, 0.1, 10));
        }
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.advance(20 * MS);
            if (h.workerOf("r" + i) != null) {
                sent++;
                h.started("r" + i);
                h.outcome("r" + i, 0, AttemptOutcome.OK, new LoadReport(3, Double.NaN, 0.1, 10));
            }
            h.advance(80 * MS);
        }
        assertTrue(sent >= 5, sent + " of 20 sent");
    }

    /** What was no sign of load leaves the job time for another place, and its worker free. */
    @ParameterizedTest
    @CsvSource({"ACCEPT_TIMEOUT", "STALE_CONNECTION", "SUPPRESSED"})
    void aConnectionThatFellSilentOrStaleOrWasHeldBackIsNoFaultOfItsWorker(AttemptOutcome outcome) {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.request("r", "c", "a", 5 * S);
        h.advance(700 * MS); // past its latest start
        h.outcome("r", outcome);
        assertEquals(2, h.seen.get("r").workers.size());
    }

    /**
     * join+vast: every node took those that had just started to be as full as the rest, so they stood idle for ten
     * seconds.
     */
    @Test
    void aWorkerThatJustStartedIsNotTakenToBeAsFullAsTheOthers() {
        RequestClass c = new RequestClass(
                "c", 5 * S, 50 * MS, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 2 * S, null, 0);
        Harness h = new Harness(
                Harness.unasked(settings(List.of(c), List.of(), LoadReporting.WITH_RESPONSES, true, false), 1), 1);
        h.workers(6);
        for (int i = 0; i < 6; i++) {
            full(h, "w" + i);
        }
        h.advance(150 * MS);
        h.request("r0", "c", "a", 5 * S);
        assertEquals(null, h.workerOf("r0"));
        h.list(ListUpdateKind.DELTA, entry("new", 0, EndpointState.ACTIVE, h.now));
        assertEquals("new", h.workerOf("r0"));
        h.request("r1", "c", "a", 5 * S);
        assertEquals(null, h.workerOf("r1"), "a second one, before anything is heard of the first");
    }

    /** It reports time and again that it has no slot free. */
    private static void full(Harness h, String worker) {
        for (int n = 0; n < 30; n++) {
            h.module.onProbeResult(h.now, worker, true, MS, new LoadReport(0, Double.NaN, 0.9, 10));
        }
    }

    /** zone+vast: a job may run on at a worker that could not be told; another attempt of it would be a second copy. */
    @Test
    void aJobThatMayRunOnUntoldIsRefusedAtOnce() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(2);
        h.request("r", "c", "a", 5 * S);
        h.advance(100 * MS);
        h.outcome("r", AttemptOutcome.CANCEL_UNCONFIRMED);
        assertEquals(1, h.seen.get("r").workers.size());
        assertEquals("refused", h.seen.get("r").answer);
    }

    /** silent+leave: slow kinds stood idle with four to seven free slots while jobs were refused. */
    @ParameterizedTest
    @CsvSource({"100,w2", "5,"})
    void aWorkerThatIsSlowByItsKindGetsWhatTheOthersHaveNoRoomFor(int finished, String gets) {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.workers(3);
        for (int i = 0; i < 3; i++) {
            LatencyStats latency = h.module.endpoints().get("w" + i).latencyStats;
            latency.recentRelativeRunTime = i == 2 ? 3 : 1;
            latency.longTermRelativeRunTime = latency.recentRelativeRunTime;
            latency.sampleCount = finished;
            for (int n = 0; n < 20; n++) {
                h.module.onProbeResult(h.now, "w" + i, true, MS, new LoadReport(i == 2 ? 4 : 0, Double.NaN, 0.5, 10));
            }
        }
        h.advance(150 * MS); // it is looked at
        h.request("r", "c", "a", 5 * S);
        assertEquals(gets, h.workerOf("r"));
    }

    /** Jobs went to a slow worker as often as to a fast one that was free as well, and ended late. */
    @Test
    void ofTwoFreeWorkersTheOneThatRunsJobsFasterIsTaken() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.workers(2);
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(4, Double.NaN, 0.1, 10));
        h.module.onProbeResult(h.now, "w1", true, 1, new LoadReport(4, Double.NaN, 0.1, 10));
        int slow = 0;
        for (int i = 0; i < 80; i++) {
            h.request("r" + i, "c", null, 5 * S);
            boolean late = h.workerOf("r" + i).equals("w1");
            slow += late && i >= 40 ? 1 : 0;
            h.advance(late ? 400 * MS : 200 * MS);
            h.outcome("r" + i, 0, AttemptOutcome.OK, new LoadReport(4, Double.NaN, 0.1, 10));
        }
        assertEquals(0, slow);
    }

    /** It says so until that is usual too. */
    private static void oneFreeSlot(Harness h) {
        for (int i = 0; i < 20; i++) {
            h.module.onProbeResult(h.now, "w0", true, MS, new LoadReport(1, Double.NaN, 0.9, 10));
        }
    }

    private static LoadBalancerSettings flooded(TailObjective tail) {
        List<Tenant> tenants = List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 10));
        return Harness.with(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                false,
                tail);
    }

    /** i3de4ba: clients tried ten times each, and the repeats of refused jobs ate the quota of their tenant. */
    @Test
    void aRefusedJobGivesItsPlaceInTheQuotaBackAndRepeatsAreNoArrivals() {
        Harness h = new Harness(flooded(new TailObjective(0.3, 0.01)), 1);
        h.workers(1);
        h.now = 20 * S; // no room: the only worker has just said so
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(0, Double.NaN, 1, 10));
        h.request("first", "c", "a", 5 * S);
        h.advance(200 * MS);
        for (int i = 0; i < 30; i++) { // all these in the quota, none of them served
            h.retry("r" + i, "c", "a", 4_800 * MS);
            assertEquals("refused", h.answer("r" + i));
        }
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(1, Double.NaN, 0, 10));
        h.request("next", "c", "a", 5 * S); // still in the quota: one free slot is enough
        assertEquals("w0", h.workerOf("next"));
    }

    /** i6d7315: every refusal, and each repeat after it, came after the aim and was a miss. */
    @Test
    void whereTheTailIsWeighedJobsAreAnsweredWithinHalfTheirAimAndSurplusAtOnce() {
        for (TailObjective tail : new TailObjective[] {TailObjective.NONE, new TailObjective(0.3, 0.01)}) {
            Harness h = new Harness(flooded(tail), 1);
            for (int i = 0; i < 12; i++) { // nobody to send to
                h.request("r" + i, "c", "a", 5 * S);
            }
            assertNull(h.answer("r0"));
            assertEquals(tail == TailObjective.NONE ? null : "refused", h.answer("r11"));
            h.advance(190 * MS);
            assertEquals(tail == TailObjective.NONE ? null : "refused", h.answer("r0"));
        }
    }

    /** A fresh tanger day: first tries with little time left were taken for late repeats and refused unseen. */
    @Test
    void aFirstTryWithLittleTimeLeftIsServedWhereRepeatsAreMarked() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(2);
        h.request("usual", "c", "a", 5 * S);
        h.started("usual");
        h.outcome("usual", AttemptOutcome.OK);
        h.request("short", "c", "a", 100 * MS);
        assertTrue(h.workerOf("short") != null);
        h.outcome("short", AttemptOutcome.OK);
        h.retry("late", "c", "a", 100 * MS);
        assertEquals("refused", h.answer("late"));
    }

    /** casa-main quiet: jobs far shorter than the age of a report were held for reports of no room long past. */
    @Test
    void anOldReportOfNoRoomFadesToTheUsualWhereJobsAreShort() {
        for (long run : new long[] {20 * MS, 4 * S}) {
            Harness h = new Harness(
                    settings(
                            List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO,
                            LoadReporting.WITH_RESPONSES,
                            true,
                            false),
                    1);
            h.workers(1);
            for (int i = 0; i < 200; i++) { // learns what a job takes and what is usual
                h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
                h.request("l" + i, "c", "a", 5 * S);
                h.started("l" + i);
                h.advance(run);
                h.outcome("l" + i, AttemptOutcome.OK);
            }
            h.advance(600 * MS); // own jobs no longer explain what is in use
            h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(0, Double.NaN, 1, 10));
            h.request("r", "c", "a", 5 * S);
            assertEquals(run < 100 * MS ? "w0" : null, h.workerOf("r"));
        }
    }

    /** casa-main: in its first half second a node asked, and answered every job before the probes were back. */
    @Test
    void askingFitsIntoTheTimeAJobIsHeld() {
        Harness h = new Harness(flooded(new TailObjective(0.3, 0.01)), 1);
        h.workers(6);
        h.request("r", "c", "a", 5 * S);
        h.advance(148 * MS); // held 150 ms at most
        assertTrue(h.workerOf("r") != null);
    }

    /** i8c875b: every worker failed a third of its jobs, and three errors in a row put most of them to rest. */
    @Test
    void errorsRestAWorkerOnlyWhereItsPeersHaveFewer() {
        for (boolean all : new boolean[] {true, false}) {
            Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            h.workers(4);
            int[] last = new int[4];
            for (int i = 0; i < 2000; i++) {
                h.request("r" + i, "c", "a", 5 * S);
                String w = h.workerOf("r" + i);
                if (w != null) {
                    int n = w.charAt(1) - '0';
                    last[n] += i >= 1000 ? 1 : 0;
                    h.started("r" + i);
                    h.advance(5 * MS);
                    // the bad fail most of their jobs, several in a row
                    h.outcome("r" + i, (all || n == 0) && i % 7 != 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
                }
                h.advance(5 * MS);
            }
            int sum = last[0] + last[1] + last[2] + last[3];
            assertTrue(sum > 950, sum + " of the last 1000 found a worker");
            assertTrue(all ? last[0] > 100 : last[0] < 100, "the bad one got " + last[0]);
        }
    }

    /** tanger-contrats big-2: workers that left one class unanswered were blocked for all of them, over and over. */
    @Test
    void aClassNotAnsweredAtAWorkerIsBarredThereAndTheOthersGoOn() {
        List<RequestClass> classes = List.of(
                kind("bad", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                kind("good", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        Harness h = new Harness(settings(classes, TWO, LoadReporting.WITH_RESPONSES, true, false), 1);
        h.workers(1);
        for (int i = 0; i < 2; i++) {
            h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
            h.request("b" + i, "bad", "a", 5 * S);
            assertEquals("w0", h.workerOf("b" + i), "one alone may be a lost message");
            h.advance(5 * S); // never told to have started
            assertEquals("failed", h.answer("b" + i));
            h.advance(i == 0 ? 8 * S : 0); // the wait that the first one showed fades
        }
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
        h.request("barred", "bad", "a", 5 * S);
        h.request("good", "good", "b", 5 * S);
        assertNull(h.workerOf("barred"));
        assertEquals("w0", h.workerOf("good"));
        h.started("good");
        h.outcome("good", AttemptOutcome.OK);
        h.advance(9 * S); // not for ever
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
        h.request("again", "bad", "a", 5 * S);
        assertEquals("w0", h.workerOf("again"));
    }

    /**
     * A node of a large fleet hears of few workers at a time. Guards against one or two of them without room standing
     * for all that were not heard: nothing was sent then, so nothing was heard, and jobs were refused while most
     * workers stood idle.
     */
    @ParameterizedTest
    @CsvSource({"1, sent", "2, sent", "10, held"})
    void fewReportsOfNoRoomDoNotSpeakForTheWorkersNotHeard(int heard, String then) {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.workers(20);
        for (int i = 0; i < heard; i++) {
            h.module.onProbeResult(h.now, "w" + i, true, 1, new LoadReport(0, Double.NaN, 1, 10));
        }
        h.advance(200 * MS); // a round of judging
        h.request("next", "c", "a", 5 * S);
        h.advance(60 * MS); // rounds of asking, unanswered
        assertEquals(then, h.workerOf("next") == null ? "held" : "sent");
    }

    /** A report of no room may be untrue: what the worker does decides, unless the whole fleet is busy. */
    @Test
    void aWorkerThatReportsNoRoomIsTriedWhereTheFleetHasRoom() {
        for (boolean busy : new boolean[] {false, true}) {
            Harness h = new Harness(
                    settings(
                            List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO,
                            LoadReporting.WITH_RESPONSES,
                            true,
                            false),
                    1);
            h.workers(4);
            int there = 0;
            for (int i = 0; i < 400; i++) {
                for (int k = 0; k < 4; k++) {
                    h.module.onProbeResult(
                            h.now, "w" + k, true, 1, new LoadReport(k == 0 || busy ? 0 : 4, Double.NaN, 1, 10));
                }
                h.request("r" + i, "c", "a", 5 * S);
                if (h.workerOf("r" + i) != null) {
                    there += h.workerOf("r" + i).equals("w0") ? 1 : 0;
                    h.started("r" + i);
                    h.advance(40 * MS);
                    h.outcome("r" + i, AttemptOutcome.OK);
                }
                h.advance(10 * MS);
            }
            assertTrue(busy ? there == 0 : there > 2, there + " of 400 to the one that reports no room");
        }
    }

    /** A worker that died and came back within the list's delay got its full load while cold. */
    @Test
    void aWorkerThatBrokeOffAndTookNoConnectionIsColdWhenItIsBack() {
        for (boolean died : new boolean[] {true, false}) {
            Harness h = new Harness(
                    settings(
                            List.of(kind("c", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO,
                            LoadReporting.NONE,
                            true,
                            false),
                    1);
            h.now = 100 * S;
            h.workers(1);
            h.request("a", "c", "a", 5 * S);
            h.started("a");
            h.outcome("a", died ? AttemptOutcome.RESET : AttemptOutcome.OK);
            h.advance(S);
            h.request("b", "c", "a", 5 * S);
            h.outcome("b", AttemptOutcome.CONNECT_FAILED);
            h.advance(S);
            assertEquals(died, h.module.endpoints().get("w0").slowStartCapacity(h.now, h.settings.rules()) < 1);
        }
    }

    /** Jobs that need more memory than a worker has left wait for another. */
    @Test
    void memoryCountsAsWellAsSlots() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.workers(1);
        h.module.onProbeResult(h.now, "w0", true, 1, new LoadReport(4, 1, 0.5, 10));
        h.arrive("big", "c", "a", 5 * S, 1.5, false);
        assertNull(h.workerOf("big"));
        h.arrive("fits", "c", "a", 5 * S, 0.8, false);
        assertEquals("w0", h.workerOf("fits"));
    }

    /** The one case in which the answer waits: an attempt is out and its class forbids another. */
    @Test
    void whatIsGivenUpOnIsAnsweredAtOnce() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT, AttemptOutcome.NOT_SENT
        }) {
            Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            h.workers(2);
            h.request("r", "c", "a", 5 * S);
            h.started("r");
            h.advance(200 * MS);
            assertNull(h.answer("r"), "its attempt is out");
            h.outcome("r", outcome);
            assertEquals(outcome.neverExecuted() ? "refused" : "failed", h.answer("r"));
        }
    }

    @Test
    void oneJobIsOnItsWayAtATimeWhereStartsAreTold() {
        Harness h = plain(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        for (int i = 0; i < 40; i++) { // opens the window wide
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            h.advance(10 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        h.request("x", "c", "a", 5 * S);
        h.request("y", "c", "a", 5 * S);
        h.advance(50 * MS);
        assertEquals("w0", h.workerOf("x"));
        assertNull(h.workerOf("y"));
        h.started("x");
        assertEquals("w0", h.workerOf("y"));
    }

    @Test
    void placementFollowsCounts() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO,
                        LoadReporting.NONE,
                        false,
                        false),
                3);
        h.workers(3);
        h.module.endpoints().get("w1").tenantInstances[0] = 30; // 10 : 30 : 10
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            placed.merge(h.workerOf("r" + i), 1, Integer::sum);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        assertEquals(3000, placed.get("w1"), 150);
        assertEquals(1000, placed.get("w0"), 120);
    }

    @Test
    void releaseTurnsFollowTotalCountsAndSkipEmptyQueues() {
        List<Tenant> three = List.of(new Tenant("a", 0.4, 1), new Tenant("b", 0.3, 1), new Tenant("idle", 0.3, 1));
        RequestClass slow = new RequestClass(
                "c", 60 * S, 50 * S, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h = new Harness(settings(List.of(slow), three, LoadReporting.NONE, true, false), 3);
        h.workers(1);
        int[] counts = h.module.endpoints().get("w0").tenantInstances;
        counts[0] = 15;
        counts[1] = 5;
        for (int i = 0; i < 100; i++) {
            h.request("a" + i, "c", "a", 60 * S);
            h.request("b" + i, "c", "b", 60 * S);
        }
        int fromA = 0;
        for (int i = 0; i < 80; i++) {
            String last = h.log.stream()
                    .filter(l -> l.contains(" send "))
                    .reduce((x, y) -> y)
                    .orElseThrow();
            String id = last.split(" ")[2];
            fromA += id.startsWith("a") ? 1 : 0;
            h.started(id);
            h.outcome(id, AttemptOutcome.OK);
        }
        assertEquals(60, fromA, 3);
    }

    @Test
    void shortClassesGoFirstWithinATenant() {
        RequestClass shortOne = new RequestClass(
                "short", 4 * S, 3 * S, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        RequestClass longOne = new RequestClass(
                "long", 40 * S, 30 * S, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h = new Harness(settings(List.of(longOne, shortOne), TWO, LoadReporting.NONE, true, false), 1);
        h.workers(1);
        h.request("x", "long", "a", 40 * S);
        h.advance(100 * MS);
        h.request("l", "long", "a", 40 * S);
        h.request("s", "short", "a", 4 * S);
        h.advance(100 * MS);
        h.started("x");
        h.outcome("x", AttemptOutcome.OK);
        assertEquals("w0", h.workerOf("s"));
        assertNull(h.workerOf("l"));
    }

    @Test
    void theNewestGoesFirstOnceTheOldestHasUsedHalfItsWait() {
        RequestClass c = new RequestClass(
                "c", 4 * S, 1 * S, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h = new Harness(settings(List.of(c), TWO, LoadReporting.NONE, true, false), 1);
        h.workers(1);
        h.request("x", "c", "a", 4 * S);
        h.request("old", "c", "a", 4 * S);
        h.advance(600 * MS);
        h.request("new", "c", "a", 4 * S);
        h.started("x");
        h.outcome("x", AttemptOutcome.OK);
        assertEquals("w0", h.workerOf("new"));
        assertNull(h.workerOf("old"));
    }

    @Test
    void aWorkerFarSlowerThanItsPeersIsLeftAloneButNeverMostOfThem() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(4);
        int toSlow = 0;
        for (int i = 0; i < 200; i++) {
            h.request("r" + i, "c", "a", 5 * S);
            h.started("r" + i);
            boolean slow = h.workerOf("r" + i).equals("w0");
            toSlow += slow && i >= 100 ? 1 : 0;
            h.advance(slow ? 1000 * MS : 100 * MS);
            h.outcome("r" + i, AttemptOutcome.OK);
        }
        assertTrue(toSlow < 12, toSlow + " of 100 to the slow worker");
        for (int i = 0; i < 40; i++) { // all slow together: it is not the workers
            h.request("s" + i, "c", "a", 5 * S);
            assertNotEquals(null, h.workerOf("s" + i));
            h.started("s" + i);
            h.advance(1000 * MS);
            h.outcome("s" + i, AttemptOutcome.OK);
        }
    }

    @Test
    void absurdReportsNeitherCrashNorStarve() {
        Harness h = new Harness(
                settings(
                        List.of(kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.WITH_RESPONSES,
                        false,
                        true),
                1);
        h.workers(2);
        double[] lies = {Double.NaN, -5, 1e300, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY};
        for (int i = 0; i < 50; i++) {
            h.request("r" + i, "c", i % 3 == 0 ? null : "nobody", 5 * S);
            h.advance(250 * MS); // asks first, and nobody answers
            assertNotEquals(null, h.workerOf("r" + i), "request " + i);
            h.outcome("r" + i, 0, AttemptOutcome.OK, new LoadReport(lies[i % 5], Double.NaN, Double.NaN, -1));
        }
    }

    @Test
    void unknownTenantsClassesAndLateEventsDoNoHarm() {
        Harness h = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.workers(1);
        h.request("u", "c", "stranger", 5 * S);
        assertEquals("w0", h.workerOf("u"));
        h.started("u");
        h.outcome("u", AttemptOutcome.OK);
        h.module.onAttemptEnd(h.now, "u", 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        h.module.onAttemptEnd(h.now, "never", 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        h.module.onAttemptSignal(h.now, "u", 7, AttemptSignal.STARTED, 0);
        h.module.onClientGone(h.now, "u");
        h.module.onProbeResult(h.now, "nobody", true, 1, LoadReport.NONE);
        h.module.onTimer(h.now, 999);
        h.request("odd", "no such class", "a", 5 * S);
        assertEquals("failed", h.answer("odd"));
    }

    @Test
    void contradictorySettingsAreNamed() {
        assertTrue(assertThrows(
                        IllegalArgumentException.class, () -> settings(List.of(), TWO, LoadReporting.NONE, true, false))
                .getMessage()
                .startsWith("classes"));
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> settings(
                                List.of(kind("c", null, DeduplicationScope.ALL)), TWO, LoadReporting.NONE, true, false))
                .getMessage()
                .startsWith("classes.idempotency of c"));
        assertThrows(IllegalArgumentException.class, () -> new ShareLoadBalancer(null, 1, null));
    }

    @Test
    void randomEventsNeverBreakARuleAndRepeatExactly() {
        for (int seed = 0; seed < 40; seed++) {
            List<String> first = randomRun(seed, null);
            assertEquals(first, randomRun(seed, null), "seed " + seed);
        }
    }

    @Test
    void twoInstancesInOneProcessActAsWhenAlone() {
        List<String> alone = randomRun(3, null);
        Harness other = plain(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        other.workers(2);
        assertEquals(alone, randomRun(3, other));
    }

    private static List<String> randomRun(int seed, Harness beside) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean parallel = random.nextBoolean();
        List<RequestClass> classes = List.of(
                kind("safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                kind("unsafe", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                kind("all", Idempotency.KEYED, DeduplicationScope.ALL),
                kind("zone", Idempotency.KEYED, DeduplicationScope.ZONE),
                kind("cell", Idempotency.KEYED, DeduplicationScope.CELL));
        LoadBalancerSettings plain =
                settings(classes, TWO, LoadReporting.values()[random.nextInt(3)], random.nextBoolean(), parallel);
        Harness h = new Harness(
                Harness.with(
                        plain,
                        random.nextBoolean(),
                        random.nextBoolean() ? TailObjective.NONE : new TailObjective(0.3, 0.01)),
                seed);
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        for (int i = 0; i < 1000; i++) {
            switch (random.nextInt(6)) {
                case 0, 1 ->
                    h.request(
                            "r" + i,
                            classes.get(random.nextInt(5)).name(),
                            random.nextBoolean() ? "a" : "b",
                            random.nextInt(8) == 0 ? random.nextLong(20 * MS) : random.nextLong(5 * S) + 1);
                case 2 -> {
                    EndpointInfo[] some = new EndpointInfo[random.nextInt(6)];
                    for (int k = 0; k < some.length; k++) {
                        int w = k + random.nextInt(3);
                        some[k] = entry(
                                "w" + w,
                                w % 3,
                                EndpointState.values()[random.nextInt(20) / 8],
                                random.nextInt(3) == 0 ? h.now : 0);
                    }
                    if (random.nextInt(4) == 0) {
                        h.list(ListUpdateKind.values()[random.nextInt(3)], distinct(some));
                    }
                }
                default -> h.advance(random.nextLong(40 * MS));
            }
            for (Harness.Seen s : h.seen.values()) {
                for (int n = 0; n < s.outcomes.size(); n++) {
                    if (s.outcomes.get(n) == null) {
                        if (random.nextInt(12) == 0) {
                            h.outcome(
                                    s.request.id(),
                                    n,
                                    outcomes[random.nextInt(8)],
                                    new LoadReport(random.nextInt(6), Double.NaN, 0.5, 10));
                        } else if (random.nextInt(3) == 0) {
                            h.module.onAttemptSignal(h.now, s.request.id(), n, AttemptSignal.STARTED, 0);
                        }
                    }
                }
            }
            if (beside != null) {
                beside.request("b" + i, "c", "a", 5 * S);
            }
        }
        h.advance(6 * S);
        for (Harness.Seen s : h.seen.values()) {
            assertTrue(s.answer != null, "unanswered " + s.request.id());
        }
        return h.log;
    }

    private static EndpointInfo[] distinct(EndpointInfo[] entries) {
        Map<String, EndpointInfo> by = new LinkedHashMap<>();
        for (EndpointInfo e : entries) {
            by.putIfAbsent(e.name(), e);
        }
        return by.values().toArray(new EndpointInfo[0]);
    }
}
