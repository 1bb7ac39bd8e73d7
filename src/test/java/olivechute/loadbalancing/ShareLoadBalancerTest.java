package olivechute.loadbalancing;

import static olivechute.loadbalancing.Harness.MILLISECOND;
import static olivechute.loadbalancing.Harness.SECOND;
import static olivechute.loadbalancing.Harness.endpointInfo;
import static olivechute.loadbalancing.Harness.requestClass;
import static olivechute.loadbalancing.Harness.settings;
import static olivechute.loadbalancing.Harness.withPollInterval;
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

/** Checks the load balancer's decisions, one failure or rule at a time. Times are microseconds. */
@SuppressWarnings("ReferenceEquality") // strings made by the test itself
class ShareLoadBalancerTest {
    private static final List<Tenant> TWO_TENANTS = List.of(new Tenant("a", 0.5, 100), new Tenant("b", 0.5, 100));

    private static Harness newHarness(Idempotency idempotency, DeduplicationScope deduplicationScope) {
        return new Harness(
                settings(
                        List.of(requestClass("c", idempotency, deduplicationScope)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
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
    void eachOutcomeIsHandledAsIdempotencyAllows(
            Idempotency idempotency, DeduplicationScope deduplicationScope, AttemptOutcome outcome, String expected) {
        Harness h = newHarness(idempotency, deduplicationScope);
        h.listActiveEndpoints(3);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(20 * MILLISECOND);
        h.endAttempt("r", outcome);
        h.advance(20 * MILLISECOND);
        assertEquals(
                expected.equals("resent") ? 2 : 1, h.requests.get("r").endpoints.size());
        assertEquals(expected.equals("resent") ? null : expected, h.answerOf("r"));
    }

    @Test
    void timeoutAtTheDeadlineIsStillAnswered() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.submit("r", "c", "a", 5 * SECOND);
        h.reportStarted("r");
        h.advance(5 * SECOND); // the attempt times out at the deadline
        assertEquals("refused", h.answerOf("r"));
    }

    @Test
    void nonIdempotentRequestThatTimedOutFailsAndIsNotRejected() {
        Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(5 * SECOND); // the attempt times out at the deadline
        assertEquals("failed", h.answerOf("r"));
    }

    @Test
    void keyedRetryStaysWithinItsCellAndDeduplicationWindow() {
        Harness h = newHarness(Idempotency.KEYED, DeduplicationScope.CELL);
        h.updateList(ListUpdateKind.FULL, endpointInfo("w0", 0, EndpointState.ACTIVE, 0));
        h.submit("r", "c", "a", 5 * SECOND);
        h.updateList(
                ListUpdateKind.FULL,
                endpointInfo("w0", 0, EndpointState.DRAINING, 0),
                endpointInfo("w2", 2, EndpointState.ACTIVE, 0));
        h.advance(50 * MILLISECOND);
        h.endAttempt("r", AttemptOutcome.RESET);
        h.advance(100 * MILLISECOND);
        assertEquals(1, h.requests.get("r").endpoints.size()); // w2 would not recognise the retry
        h.advance(2 * SECOND);
        assertEquals("failed", h.answerOf("r")); // it may have been executed, so it must not be rejected
    }

    /** Incident i6e9c8c: a request that arrived with less than one tick left was never answered. */
    @Test
    void requestWithAlmostNoTimeLeftIsAnsweredAtOnce() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.submit("r", "c", "a", 1 * MILLISECOND);
        assertEquals("refused", h.answerOf("r"));
    }

    @Test
    void queuedRequestsAreRejectedOnceTheyCannotFinishInTime() {
        Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(299 * MILLISECOND);
        assertNull(h.answerOf("r"));
        h.advance(5 * SECOND);
        assertEquals("refused", h.answerOf("r"));
    }

    @Test
    void nothingIsSentToADrainingRemovedOrUnlistedEndpoint() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.updateList(
                ListUpdateKind.RESTORED,
                endpointInfo("w0", 0, EndpointState.ACTIVE, 0),
                endpointInfo("w1", 0, EndpointState.ACTIVE, 0),
                endpointInfo("w2", 0, EndpointState.ACTIVE, 0));
        h.updateList(
                ListUpdateKind.FULL,
                endpointInfo("w0", 0, EndpointState.ACTIVE, 0),
                endpointInfo("w1", 0, EndpointState.ACTIVE, 0));
        h.updateList(ListUpdateKind.DELTA, endpointInfo("w0", 0, EndpointState.DRAINING, 0));
        h.advance(600 * MILLISECOND);
        for (int i = 0; i < 20; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            assertEquals("w1", h.lastEndpointOf("r" + i));
            h.advance(20 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
    }

    /**
     * Checks both values of the setting: where only draining binds, endpoints or a whole zone missing from a list may
     * still be used.
     */
    @Test
    void removedOrUnlistedEndpointIsStillUsedWhereOnlyDrainingBinds() {
        for (boolean onlyDrainingBinds : new boolean[] {true, false}) {
            Harness h = new Harness(
                    Harness.withDrainRuleAndTail(
                            settings(
                                    List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                    TWO_TENANTS,
                                    LoadReporting.NONE,
                                    true,
                                    false),
                            onlyDrainingBinds,
                            TailObjective.NONE),
                    1);
            h.listActiveEndpoints(3);
            h.updateList(ListUpdateKind.DELTA, endpointInfo("w1", 0, EndpointState.DRAINING, 0));
            h.updateList(
                    ListUpdateKind.DELTA,
                    endpointInfo("w0", 0, EndpointState.REMOVED, 0),
                    endpointInfo("w1", 0, EndpointState.REMOVED, 0));
            h.updateList(ListUpdateKind.FULL, endpointInfo("w9", 0, EndpointState.DRAINING, 0));
            h.advance(600 * MILLISECOND);
            for (int i = 0; i < 40; i++) {
                h.submit("r" + i, "c", "a", 5 * SECOND);
                if (h.lastEndpointOf("r" + i) != null) {
                    h.reportStarted("r" + i);
                    h.advance(5 * MILLISECOND);
                    h.endAttempt("r" + i, AttemptOutcome.OK);
                }
            }
            assertEquals(
                    onlyDrainingBinds,
                    h.requests.values().stream().anyMatch(request -> request.endpoints.contains("w0")));
            assertEquals(
                    onlyDrainingBinds,
                    h.requests.values().stream().anyMatch(request -> request.endpoints.contains("w2")));
            assertTrue(h.requests.values().stream()
                    .noneMatch(request -> request.endpoints.contains("w1") || request.endpoints.contains("w9")));
        }
    }

    /** An endpoint that is really gone is removed after some failures, so that it does not cost attempts forever. */
    @Test
    void unlistedEndpointIsRemovedOnceItFails() {
        Harness h = new Harness(
                Harness.withDrainRuleAndTail(
                        settings(
                                List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                TWO_TENANTS,
                                LoadReporting.NONE,
                                true,
                                false),
                        true,
                        TailObjective.NONE),
                1);
        h.listActiveEndpoints(1);
        h.updateList(ListUpdateKind.FULL, endpointInfo("w9", 0, EndpointState.DRAINING, 0));
        for (int i = 0; i < 12; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            if (h.lastEndpointOf("r" + i) != null) {
                h.endAttempt("r" + i, AttemptOutcome.CONNECT_FAILED);
            }
            h.advance(3 * SECOND);
        }
        assertTrue(h.loadBalancer.endpoints().get("w0") != null, "kept until the next list");
        h.updateList(ListUpdateKind.FULL, endpointInfo("w9", 0, EndpointState.DRAINING, 0));
        assertTrue(h.loadBalancer.endpoints().get("w0") == null, "removed");
    }

    private static List<Long> pausesAfterFailures(Harness h) {
        List<Long> pausesUs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            h.updateList(ListUpdateKind.FAILED);
            long fromUs = h.nowUs;
            int watchCallsBefore = h.watchCalls;
            while (h.watchCalls == watchCallsBefore) {
                h.advance(10 * MILLISECOND);
            }
            pausesUs.add(h.nowUs - fromUs);
        }
        return pausesUs;
    }

    @ParameterizedTest
    @CsvSource({"300, 150, 300", "50, 25, 50", "1, 25, 50"})
    void noPauseAfterAFailedListCallExceedsThePollInterval(int pollIntervalMs, int minMs, int maxMs) {
        LoadBalancerSettings settings = settings(
                List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                TWO_TENANTS,
                LoadReporting.NONE,
                false,
                false);
        List<Long> pausesUs =
                pausesAfterFailures(new Harness(withPollInterval(settings, pollIntervalMs * MILLISECOND), 1));
        assertTrue(
                pausesUs.stream()
                        .allMatch(pauseUs ->
                                pauseUs >= minMs * MILLISECOND && pauseUs <= maxMs * MILLISECOND + 10 * MILLISECOND),
                pausesUs.toString());
    }

    @Test
    void failedListCallIsRetriedWithBackoffAndTheOldListStaysInUse() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        assertEquals(1, h.watchCalls);
        List<Long> pausesUs = pausesAfterFailures(h);
        assertTrue(pausesUs.get(0) >= 250 * MILLISECOND && pausesUs.get(0) <= 510 * MILLISECOND, pausesUs.toString());
        // However many calls failed, a change counts as notified 6 s after discovery had it and was reachable.
        assertTrue(
                pausesUs.stream()
                        .skip(1)
                        .allMatch(pauseUs -> pauseUs >= 500 * MILLISECOND - 10 * MILLISECOND
                                && pauseUs <= SECOND + 10 * MILLISECOND),
                pausesUs.toString());
        h.submit("r", "c", "a", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("r"));
    }

    /**
     * A watch that the node starts, as after a move of discovery, may fail before the load balancer's own retry is due.
     */
    @Test
    void consecutiveFailuresLeadToOnlyOneFurtherWatch() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 3; i++) {
            h.updateList(ListUpdateKind.FAILED);
            h.advance(10 * MILLISECOND);
        }
        h.advance(5 * SECOND);
        assertEquals(2, h.watchCalls, "the first watch, and one after the failures");
    }

    @Test
    void staleListIsNotUsedAndQueuedRequestsAreSentOnceItIsRenewed() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.listStaleForUs = 1;
        h.submit("kept", "c", "a", 5 * SECOND);
        h.advance(50 * MILLISECOND);
        assertEquals(List.of(), h.requests.get("kept").endpoints);
        assertEquals(null, h.requests.get("kept").answer);
        h.listStaleForUs = 0;
        h.updateList(ListUpdateKind.DELTA);
        assertEquals(List.of("w0"), h.requests.get("kept").endpoints);
        h.listStaleForUs = 1;
        h.submit("refused", "c", "a", 5 * SECOND);
        h.advance(SECOND);
        assertEquals(List.of(), h.requests.get("refused").endpoints);
        assertEquals("refused", h.requests.get("refused").answer);
    }

    /**
     * Clients of requests without an attempt may try a node with a current list while there is time; a request that had
     * an attempt may have no alternative.
     */
    @Test
    void requestsWithoutAttemptsAreRejectedAtOnceWhileTheListIsStaleForLong() {
        Harness h = newHarness(Idempotency.KEYED, DeduplicationScope.ALL);
        h.listActiveEndpoints(2);
        h.submit("tried", "c", "a", 5 * SECOND);
        assertEquals(1, h.requests.get("tried").endpoints.size());
        h.listStaleForUs = AdmissionControl.STALE_LIST_GRACE_US;
        h.endAttempt("tried", AttemptOutcome.CONNECT_FAILED);
        h.submit("waits", "c", "a", 5 * SECOND);
        h.advance(50 * MILLISECOND);
        assertEquals(null, h.requests.get("waits").answer);
        h.listStaleForUs = AdmissionControl.STALE_LIST_GRACE_US + 1;
        h.submit("refused", "c", "a", 5 * SECOND);
        assertEquals("refused", h.requests.get("refused").answer);
        assertEquals("refused", h.requests.get("waits").answer);
        assertEquals(null, h.requests.get("tried").answer);
        h.listStaleForUs = 0;
        h.updateList(ListUpdateKind.DELTA);
        assertEquals(2, h.requests.get("tried").endpoints.size());
    }

    @Test
    void slowStartAllowanceHoldsInEveryWindow() {
        RequestClass requestClass = requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        Harness h = Harness.withLearnedRunTime(
                settings(List.of(requestClass), TWO_TENANTS, LoadReporting.NONE, false, false), 1, 5 * MILLISECOND);
        List<Long> sentAtUs = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            if (h.lastEndpointOf("r" + i) != null) {
                sentAtUs.add(h.nowUs);
                h.advance(5 * MILLISECOND);
                h.endAttempt("r" + i, AttemptOutcome.OK);
            }
            h.advance(5 * MILLISECOND);
        }
        assertTrue(sentAtUs.size() > 3, "an endpoint in slow start still gets some requests");
        // One known slot, 0.2 to 0.36 of it, 3 times that for a second, halved as a margin and halved again for two
        // nodes.
        double maxRunTimeUs = 3 * 0.36 * SECOND / 2 / 2;
        for (long fromUs : sentAtUs) {
            long sends = sentAtUs.stream()
                    .filter(t -> t > fromUs && t < fromUs + SECOND)
                    .count();
            assertTrue(sends * 5 * MILLISECOND <= maxRunTimeUs, sends + " sends in a second");
        }
    }

    /**
     * Where endpoints send no load reports, a rejection was once taken for a report of no free slots in the whole
     * fleet.
     */
    @Test
    void rejectionWithoutLoadReportsLeavesOtherEndpointsUsable() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(3);
        h.submit("r", "c", "a", 5 * SECOND);
        String first = h.lastEndpointOf("r");
        h.advance(5 * MILLISECOND);
        h.endAttempt("r", AttemptOutcome.REJECTED);
        assertNotEquals(first, h.lastEndpointOf("r"));
        assertEquals(2, h.requests.get("r").endpoints.size());
    }

    /** Incident i6e9c8c: endpoints that rejected all requests while reporting free slots took 40% of the attempts. */
    @Test
    void ejectionsGrowWithConsecutiveRejections() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.listActiveEndpoints(1);
        int rejections = 0;
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            h.submit(id, "c", "a", 5 * SECOND);
            if (h.lastEndpointOf(id) != null) {
                rejections++;
                h.endAttempt(id, AttemptOutcome.REJECTED);
            }
            h.loadBalancer.onProbeResult(h.nowUs, "w0", true, MILLISECOND, new LoadReport(4, Double.NaN, 0.1, 10));
            for (Harness.TrackedRequest s : h.requests.values()) {
                if (s.attemptsInFlight() > 0) {
                    rejections++;
                    h.endAttempt(s.request.id(), AttemptOutcome.REJECTED);
                }
            }
            h.advance(10 * MILLISECOND);
        }
        assertTrue(rejections <= 14, rejections + " rejections in 4 s");
    }

    /**
     * Incidents ife9dd5, i6e9c8c: probes went to the first endpoints of the list, and the others never got to report
     * their load.
     */
    @Test
    void endpointsWithoutALoadReportAreProbedBeforeUse() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.listActiveEndpoints(8);
        h.submit("r", "c", "a", 5 * SECOND);
        assertNull(h.lastEndpointOf("r"));
        List<String> probed = h.actionLog.stream()
                .filter(l -> l.contains(" probe "))
                .map(l -> l.split(" ")[2])
                .toList();
        assertEquals(1, probed.size()); // one arriving request allows one probe here
        h.loadBalancer.onProbeResult(h.nowUs, probed.get(0), true, MILLISECOND, new LoadReport(2, Double.NaN, 0.5, 10));
        assertEquals(probed.get(0), h.lastEndpointOf("r"));
    }

    @Test
    void endpointThatDoesNotAnswerItsProbeIsNotUsed() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.listActiveEndpoints(2);
        h.submit("r", "c", "a", 5 * SECOND);
        String silent = h.actionLog.get(h.actionLog.size() - 1).split(" ")[2];
        h.advance(200 * MILLISECOND);
        assertNotEquals(null, h.lastEndpointOf("r"));
        assertNotEquals(silent, h.lastEndpointOf("r"));
    }

    @Test
    void quietNodeUsesFewEndpoints() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        false,
                        false),
                1);
        EndpointInfo[] endpoints = new EndpointInfo[60];
        for (int i = 0; i < 60; i++) {
            endpoints[i] = endpointInfo("w" + i, 0, EndpointState.ACTIVE, 0);
        }
        h.updateList(ListUpdateKind.FULL, endpoints);
        for (int i = 0; i < 200; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.advance(50 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        long used = h.requests.values().stream()
                .map(request -> request.endpoints.get(0))
                .distinct()
                .count();
        assertTrue(used <= 10, used + " endpoints used");
    }

    @Test
    void requestsSpillOverWhenTheirOwnZoneStartsThemLate() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.updateList(
                ListUpdateKind.FULL,
                endpointInfo("w0", 0, EndpointState.ACTIVE, 0),
                endpointInfo("w1", 1, EndpointState.ACTIVE, 0));
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.advance(h.lastEndpointOf("r" + i).equals("w0") ? 200 * MILLISECOND : 2 * MILLISECOND);
            h.reportStarted("r" + i);
            h.advance(10 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
            placed.merge(h.lastEndpointOf("r" + i), 1, Integer::sum);
        }
        assertTrue(placed.getOrDefault("w1", 0) > 30, placed.toString());
    }

    @Test
    void openConnectionIsPreferredWhereConnectsAreSlow() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.listActiveEndpoints(6);
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            String endpoint = h.lastEndpointOf("r" + i);
            h.advance(
                    placed.containsKey(endpoint)
                            ? MILLISECOND
                            : 300 * MILLISECOND); // the first request to each endpoint has to connect
            h.reportStarted("r" + i);
            h.advance(10 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
            placed.merge(endpoint, 1, Integer::sum);
        }
        assertTrue(Collections.max(placed.values()) > 30, placed.toString());
    }

    /**
     * Retry-After used to be the longest allowed, whatever the load: it carried no information and kept retries away.
     */
    @Test
    void retryAfterEstimatesWhenCapacityIsLikely() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(new Tenant("a", 1, 0)),
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.submit("early", "c", "a", 5 * SECOND);
        h.advance(5 * SECOND);
        assertEquals(
                900 * MILLISECOND,
                h.requests.get("early").retryAfterUs); // it was queued that long and no request was dequeued
        h.listActiveEndpoints(1);
        for (int i = 0; i < 40; i++) { // more than can run before their clients give up
            h.submit("r" + i, "c", "a", 700 * MILLISECOND);
        }
        for (int i = 0; i < 8; i++) {
            h.advance(100 * MILLISECOND);
            h.requests.values().stream()
                    .filter(s -> s.attemptsInFlight() > 0)
                    .findFirst()
                    .ifPresent(s -> {
                        h.loadBalancer.onAttemptSignal(h.nowUs, s.request.id(), 0, AttemptSignal.STARTED, 0);
                        h.endAttempt(s.request.id(), AttemptOutcome.OK); // one finishes every 100 ms
                    });
        }
        List<Long> retryAftersUs = h.requests.values().stream()
                .filter(s -> s.retryAfterUs > 0 && s.request.timeLeftUs() < SECOND)
                .map(s -> s.retryAfterUs)
                .toList();
        assertTrue(
                retryAftersUs.size() > 1 && retryAftersUs.stream().allMatch(a -> a >= 50 * MILLISECOND && a <= SECOND),
                retryAftersUs.toString());
        assertTrue(
                Collections.max(retryAftersUs) > Collections.min(retryAftersUs),
                "requests behind more others get a longer Retry-After " + retryAftersUs);
    }

    @Test
    void endpointThatStartsRequestsTooLateIsAvoidedUntilTheEstimateDecays() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        true,
                        false),
                1);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 3; i++) { // opens the concurrency window, 100 ms a request
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            h.advance(100 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        h.submit("queued", "c", "a", 5 * SECOND);
        h.advance(2 * SECOND);
        h.reportStarted("queued");
        h.endAttempt("queued", AttemptOutcome.OK);
        h.submit("x", "c", "a", 5 * SECOND); // may be queued for 350 ms, would be queued for 2 s
        h.advance(400 * MILLISECOND);
        assertNull(h.lastEndpointOf("x"));
        assertEquals("refused", h.answerOf("x"));
        h.advance(8 * SECOND);
        h.submit("y", "c", "a", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("y"));
    }

    @Test
    void idleNodeSetsOneTimerOnly() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.ON_PROBE,
                        true,
                        false),
                1);
        h.listActiveEndpoints(8);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(SECOND);
        h.endAttempt("r", AttemptOutcome.OK);
        h.advance(SECOND);
        assertEquals(1, h.timers.size(), "timers pending");
        assertTrue(h.actionLog.get(h.actionLog.size() - 1).contains(" send r "), h.actionLog.toString());
    }

    @Test
    void idleConnectionsAreClosedWhereHoldingThemCosts() {
        LoadBalancerSettings base = settings(
                List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                TWO_TENANTS,
                LoadReporting.NONE,
                false,
                false);
        Harness h = new Harness(
                new LoadBalancerSettings(
                        base.classes(),
                        base.tenants(),
                        "z0",
                        2,
                        base.rules(),
                        base.limits(),
                        LoadReporting.NONE,
                        false,
                        true,
                        0.1,
                        new CostWeights(0, 0.01, 0.08, 0.08),
                        TailObjective.NONE,
                        true),
                1);
        h.listActiveEndpoints(1);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(10 * MILLISECOND);
        h.endAttempt("r", AttemptOutcome.OK);
        h.advance(2 * SECOND); // 200 requests a second are expected, so closing soon pays off
        assertEquals(
                1, h.actionLog.stream().filter(l -> l.endsWith(" close w0")).count());
    }

    @Test
    void manyNodesTogetherKeepWithinTheSlowStartAllowanceAndUseIt() {
        RequestClass requestClass = requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        LoadBalancerSettings base = settings(List.of(requestClass), TWO_TENANTS, LoadReporting.NONE, false, false);
        LoadBalancerSettings largeFleet = new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                "z0",
                100,
                base.rules(),
                base.limits(),
                LoadReporting.NONE,
                false,
                true,
                0.1,
                base.costs(),
                base.tail(),
                true);
        List<Long> sentAtUs = new ArrayList<>();
        for (int node = 0; node < 100; node++) {
            Harness h = Harness.withLearnedRunTime(largeFleet, node, 20 * MILLISECOND);
            for (int i = 0; i < 40; i++) {
                h.submit("r" + i, "c", "a", 5 * SECOND);
                h.advance(20 * MILLISECOND);
                if ("w0".equals(h.lastEndpointOf("r" + i))) {
                    sentAtUs.add(h.requests.get("r" + i).sentAtUs.get(0));
                }
                if (h.lastEndpointOf("r" + i) != null) {
                    h.endAttempt("r" + i, AttemptOutcome.OK);
                }
            }
        }
        assertTrue(sentAtUs.size() > 3, sentAtUs.size() + " sends to an endpoint in slow start");
        for (long fromUs : sentAtUs) { // 3 times 0.2 of one slot for a second
            long sends = sentAtUs.stream()
                    .filter(t -> t >= fromUs && t < fromUs + SECOND)
                    .count();
            assertTrue(sends * 20 * MILLISECOND <= 3 * 0.24 * SECOND, sends + " sends in a second");
        }
    }

    /** Endpoints that reset idle connections at the next request were ejected as if they were down. */
    @Test
    void firstResetEjectsBrieflyAndTheNextForLonger() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.submit("r", "c", "a", 5 * SECOND);
        h.endAttempt("r", AttemptOutcome.RESET);
        h.advance(60 * MILLISECOND);
        assertEquals(2, h.requests.get("r").endpoints.size());
        h.endAttempt("r", AttemptOutcome.RESET);
        h.advance(60 * MILLISECOND);
        assertEquals(2, h.requests.get("r").endpoints.size());
    }

    /** A hanging connect was taken for queueing at the endpoint, which was then avoided for seconds. */
    @Test
    void failedConnectDoesNotCountAsQueueingTime() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 10; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            h.advance(100 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        h.submit("dial", "c", "a", 5 * SECOND);
        h.advance(600 * MILLISECOND);
        h.endAttempt("dial", AttemptOutcome.CONNECT_FAILED);
        h.advance(300 * MILLISECOND); // its ejection is over
        h.submit("x", "c", "a", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("x"));
    }

    /** Guards against a request without a start signal that blocks its endpoint until it ends. */
    @Test
    void requestWithoutStartSignalPastItsObjectiveNoLongerBlocksItsEndpoint() {
        Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 10; i++) { // opens the concurrency window
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            h.advance(100 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        h.submit("lost", "c", "a", 5 * SECOND);
        h.advance(400 * MILLISECOND);
        h.submit("x", "c", "a", 5 * SECOND);
        assertNull(h.lastEndpointOf("x"));
        h.advance(3 * SECOND); // assumed lost: it no longer counts as waiting for its start
        h.submit("y", "c", "a", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("y"));
    }

    /**
     * Scenario stadshjulet-app big-1, incident ife9dd5: a flooding tenant occupied every slot, and the others found
     * none free.
     */
    @Test
    void requestOverQuotaLeavesFreeSlotsToOtherTenants() {
        List<Tenant> tenants = List.of(new Tenant("a", 0.5, 0.1), new Tenant("b", 0.5, 0.1));
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.listActiveEndpoints(1);
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, MILLISECOND, new LoadReport(20, Double.NaN, 0.9, 10));
        for (int i = 0; i <= TenantQuota.BURST_REQUESTS; i++) { // all but the last are within the quota
            h.submit("r" + i, "c", "a", 5 * SECOND);
            assertEquals("w0", h.lastEndpointOf("r" + i));
            h.endAttempt("r" + i, 0, AttemptOutcome.OK, LoadReport.NONE);
        }
        reportOneFreeSlot(h);
        h.submit("over", "c", "a", 5 * SECOND);
        assertNull(h.lastEndpointOf("over"));
        h.advance(600 * MILLISECOND);
        reportOneFreeSlot(h);
        h.submit("under", "c", "b", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("under"));
    }

    /**
     * Requests within their tenant's share that arrived a few at a time were counted as over quota and rejected, even
     * under low load.
     */
    @Test
    void shortBurstWithinQuotaMayUseTheLastFreeSlot() {
        Harness h = new Harness(settingsWithSmallQuotas(TailObjective.NONE), 1);
        h.listActiveEndpoints(1);
        h.nowUs = 20 * SECOND;
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(4, Double.NaN, 1, 10));
        for (int i = 0; i < 10; i++) { // this node's part is at most 5 a second
            reportOneFreeSlot(h);
            h.submit("r" + i, "c", "a", 5 * SECOND);
            assertEquals("w0", h.lastEndpointOf("r" + i));
            h.endAttempt("r" + i, 0, AttemptOutcome.OK, LoadReport.NONE);
        }
    }

    private static Harness harnessOfTwoNodeFleet() {
        List<Tenant> tenants = List.of(new Tenant("a", 0.3, 60), new Tenant("b", 0.3, 60), new Tenant("d", 0.4, 80));
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.listActiveEndpoints(1);
        h.loadBalancer.onProbeResult(
                h.nowUs, "w0", true, MILLISECOND, new LoadReport(6, Double.NaN, 0.1, 10)); // this many slots are free
        return h;
    }

    /**
     * Submits requests of each tenant at an even rate, with one free slot for each; returns how many were queued as
     * over quota.
     */
    private static int countQueued(
            Harness h, String idPrefix, long durationUs, Map<String, Integer> requestsPerSecond) {
        int queued = 0;
        for (int i = 0; i < durationUs / (10 * MILLISECOND); i++) {
            for (Map.Entry<String, Integer> tenantRate : requestsPerSecond.entrySet()) {
                for (int j = i * tenantRate.getValue() / 100; j < (i + 1) * tenantRate.getValue() / 100; j++) {
                    String id = idPrefix + tenantRate.getKey() + j;
                    reportOneFreeSlot(h);
                    h.submit(id, "c", tenantRate.getKey(), 5 * SECOND);
                    if (h.lastEndpointOf(id) == null) {
                        queued++;
                        h.loadBalancer.onClientDisconnected(h.nowUs, id);
                        h.requests.remove(id);
                    } else {
                        h.endAttempt(id, 0, AttemptOutcome.OK, LoadReport.NONE);
                    }
                }
            }
            h.advance(10 * MILLISECOND);
        }
        return queued;
    }

    /**
     * Incident r6ab6c9: when the other node restarted, all requests that arrived here were counted as over quota and
     * left queued.
     */
    @Test
    void takenOverTrafficOfAnotherNodeIsNotTreatedAsOverQuota() {
        Harness h = harnessOfTwoNodeFleet();
        countQueued(h, "before", 15 * SECOND, Map.of("a", 30, "b", 30, "d", 40));
        countQueued(h, "at", 2 * SECOND, Map.of("a", 60, "b", 60, "d", 80));
        int queuedAfter = countQueued(h, "after", 3 * SECOND, Map.of("a", 60, "b", 60, "d", 80));
        assertTrue(queuedAfter < 150, queuedAfter + " of 600 left queued");
    }

    @Test
    void floodOfOneTenantIsStillOverQuota() {
        Harness h = harnessOfTwoNodeFleet();
        countQueued(h, "before", 15 * SECOND, Map.of("a", 30, "b", 30, "d", 40));
        countQueued(h, "at", 2 * SECOND, Map.of("a", 200, "b", 30, "d", 40));
        int queuedAfter = countQueued(h, "after", 3 * SECOND, Map.of("a", 200, "b", 30, "d", 40));
        assertTrue(queuedAfter > 350, queuedAfter + " of 510 over the quota left queued");
    }

    /**
     * Incident r6ab6c9: a node that was late itself saw every endpoint start requests late, sent no more requests, and
     * so never got better measurements.
     */
    @Test
    void endpointsThatAllStartedLateAreUsedAgainWithoutNewSignals() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.listActiveEndpoints(3);
        for (int i = 0; i < 3; i++) {
            h.submit("late" + i, "c", "a", 5 * SECOND);
        }
        h.advance(900 * MILLISECOND);
        for (int i = 0; i < 3; i++) {
            h.reportStarted("late" + i);
            h.endAttempt("late" + i, 0, AttemptOutcome.OK, new LoadReport(3, Double.NaN, 0.1, 10));
        }
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.advance(20 * MILLISECOND);
            if (h.lastEndpointOf("r" + i) != null) {
                sent++;
                h.reportStarted("r" + i);
                h.endAttempt("r" + i, 0, AttemptOutcome.OK, new LoadReport(3, Double.NaN, 0.1, 10));
            }
            h.advance(80 * MILLISECOND);
        }
        assertTrue(sent >= 5, sent + " of 20 sent");
    }

    /** Outcomes that are no sign of load leave the request time for another attempt and do not exclude the endpoint. */
    @ParameterizedTest
    @CsvSource({"ACCEPT_TIMEOUT", "STALE_CONNECTION", "SUPPRESSED"})
    void connectionFaultsDoNotCountAgainstTheEndpoint(AttemptOutcome outcome) {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(700 * MILLISECOND); // past its latest start
        h.endAttempt("r", outcome);
        assertEquals(2, h.requests.get("r").endpoints.size());
    }

    /**
     * Scenario join+vast: every node assumed that endpoints which had just started were as busy as the others, so they
     * stood idle for ten seconds.
     */
    @Test
    void newEndpointIsNotAssumedToBeAsBusyAsTheOthers() {
        RequestClass requestClass = new RequestClass(
                "c",
                5 * SECOND,
                50 * MILLISECOND,
                2,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                2 * SECOND,
                null,
                0);
        Harness h = new Harness(
                Harness.withoutProbes(
                        settings(List.of(requestClass), List.of(), LoadReporting.WITH_RESPONSES, true, false), 1),
                1);
        h.listActiveEndpoints(6);
        for (int i = 0; i < 6; i++) {
            reportNoFreeSlots(h, "w" + i);
        }
        h.advance(150 * MILLISECOND);
        h.submit("r0", "c", "a", 5 * SECOND);
        assertEquals(null, h.lastEndpointOf("r0"));
        h.updateList(ListUpdateKind.DELTA, endpointInfo("new", 0, EndpointState.ACTIVE, h.nowUs));
        assertEquals("new", h.lastEndpointOf("r0"));
        h.submit("r1", "c", "a", 5 * SECOND);
        assertEquals(null, h.lastEndpointOf("r1"), "a second request, before any report on the first");
    }

    /** Reports repeatedly that an endpoint has no free slot. */
    private static void reportNoFreeSlots(Harness h, String endpoint) {
        for (int n = 0; n < 30; n++) {
            h.loadBalancer.onProbeResult(h.nowUs, endpoint, true, MILLISECOND, new LoadReport(0, Double.NaN, 0.9, 10));
        }
    }

    /**
     * Scenario zone+vast: a request may still be running at an endpoint that did not confirm its cancellation; another
     * attempt would be a second execution.
     */
    @Test
    void requestWhoseCancelIsUnconfirmedIsRejectedAtOnce() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(2);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(100 * MILLISECOND);
        h.endAttempt("r", AttemptOutcome.CANCEL_UNCONFIRMED);
        assertEquals(1, h.requests.get("r").endpoints.size());
        assertEquals("refused", h.requests.get("r").answer);
    }

    /**
     * Scenario silent+leave: endpoints of slow kinds stood idle with four to seven free slots while requests were
     * rejected.
     */
    @ParameterizedTest
    @CsvSource({"100,w2", "5,"})
    void consistentlySlowEndpointIsUsedWhenTheOthersAreFull(int finishedRequests, String expectedEndpoint) {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.listActiveEndpoints(3);
        for (int i = 0; i < 3; i++) {
            LatencyStats latency = h.loadBalancer.endpoints().get("w" + i).latencyStats;
            latency.recentRelativeRunTime = i == 2 ? 3 : 1;
            latency.longTermRelativeRunTime = latency.recentRelativeRunTime;
            latency.sampleCount = finishedRequests;
            for (int n = 0; n < 20; n++) {
                h.loadBalancer.onProbeResult(
                        h.nowUs, "w" + i, true, MILLISECOND, new LoadReport(i == 2 ? 4 : 0, Double.NaN, 0.5, 10));
            }
        }
        h.advance(150 * MILLISECOND); // an examination period passes
        h.submit("r", "c", "a", 5 * SECOND);
        assertEquals(expectedEndpoint, h.lastEndpointOf("r"));
    }

    /** Requests went to a slow endpoint as often as to a fast one that was free as well, and finished late. */
    @Test
    void fasterOfTwoFreeEndpointsIsChosen() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.WITH_RESPONSES,
                        false,
                        false),
                1);
        h.listActiveEndpoints(2);
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(4, Double.NaN, 0.1, 10));
        h.loadBalancer.onProbeResult(h.nowUs, "w1", true, 1, new LoadReport(4, Double.NaN, 0.1, 10));
        int sentToSlow = 0;
        for (int i = 0; i < 80; i++) {
            h.submit("r" + i, "c", null, 5 * SECOND);
            boolean toSlow = h.lastEndpointOf("r" + i).equals("w1");
            sentToSlow += toSlow && i >= 40 ? 1 : 0;
            h.advance(toSlow ? 400 * MILLISECOND : 200 * MILLISECOND);
            h.endAttempt("r" + i, 0, AttemptOutcome.OK, new LoadReport(4, Double.NaN, 0.1, 10));
        }
        assertEquals(0, sentToSlow);
    }

    /** Reports one free slot until that is the baseline as well. */
    private static void reportOneFreeSlot(Harness h) {
        for (int i = 0; i < 20; i++) {
            h.loadBalancer.onProbeResult(h.nowUs, "w0", true, MILLISECOND, new LoadReport(1, Double.NaN, 0.9, 10));
        }
    }

    private static LoadBalancerSettings settingsWithSmallQuotas(TailObjective tail) {
        List<Tenant> tenants = List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 10));
        return Harness.withDrainRuleAndTail(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        tenants,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                false,
                tail);
    }

    /**
     * Incident i3de4ba: clients tried ten times each, and the retries of rejected requests used up their tenant's
     * quota.
     */
    @Test
    void rejectedRequestReturnsItsQuotaAndRetriesDoNotCountAsArrivals() {
        Harness h = new Harness(settingsWithSmallQuotas(new TailObjective(0.3, 0.01)), 1);
        h.listActiveEndpoints(1);
        h.nowUs = 20 * SECOND; // no capacity: the only endpoint has just reported it
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(0, Double.NaN, 1, 10));
        h.submit("first", "c", "a", 5 * SECOND);
        h.advance(200 * MILLISECOND);
        for (int i = 0; i < 30; i++) { // all within the quota, none of them served
            h.submitRetry("r" + i, "c", "a", 4_800 * MILLISECOND);
            assertEquals("refused", h.answerOf("r" + i));
        }
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(1, Double.NaN, 0, 10));
        h.submit("next", "c", "a", 5 * SECOND); // still within the quota: one free slot is enough
        assertEquals("w0", h.lastEndpointOf("next"));
    }

    /**
     * Incident i6d7315: every rejection, and each retry after it, came after the latency objective and counted as a
     * miss.
     */
    @Test
    void tailObjectiveRejectsWithinHalfTheLatencyObjectiveAndOverQuotaAtOnce() {
        for (TailObjective tail : new TailObjective[] {TailObjective.NONE, new TailObjective(0.3, 0.01)}) {
            Harness h = new Harness(settingsWithSmallQuotas(tail), 1);
            for (int i = 0; i < 12; i++) { // no endpoint to send to
                h.submit("r" + i, "c", "a", 5 * SECOND);
            }
            assertNull(h.answerOf("r0"));
            assertEquals(tail == TailObjective.NONE ? null : "refused", h.answerOf("r11"));
            h.advance(190 * MILLISECOND);
            assertEquals(tail == TailObjective.NONE ? null : "refused", h.answerOf("r0"));
        }
    }

    /**
     * In a newly generated tanger scenario, first tries with little time left were taken for late retries and rejected
     * without an attempt.
     */
    @Test
    void firstTryWithLittleTimeLeftIsServedWhereRetriesAreMarked() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(2);
        h.submit("usual", "c", "a", 5 * SECOND);
        h.reportStarted("usual");
        h.endAttempt("usual", AttemptOutcome.OK);
        h.submit("short", "c", "a", 100 * MILLISECOND);
        assertTrue(h.lastEndpointOf("short") != null);
        h.endAttempt("short", AttemptOutcome.OK);
        h.submitRetry("late", "c", "a", 100 * MILLISECOND);
        assertEquals("refused", h.answerOf("late"));
    }

    /**
     * Scenario casa-main quiet: requests far shorter than the age of a load report were queued because of old reports
     * of no free slots.
     */
    @Test
    void oldReportOfNoFreeSlotsDecaysToTheBaselineForShortRequests() {
        for (long runTimeUs : new long[] {20 * MILLISECOND, 4 * SECOND}) {
            Harness h = new Harness(
                    settings(
                            List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO_TENANTS,
                            LoadReporting.WITH_RESPONSES,
                            true,
                            false),
                    1);
            h.listActiveEndpoints(1);
            for (int i = 0; i < 200; i++) { // learns the run time of a request and the baseline of the reports
                h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
                h.submit("l" + i, "c", "a", 5 * SECOND);
                h.reportStarted("l" + i);
                h.advance(runTimeUs);
                h.endAttempt("l" + i, AttemptOutcome.OK);
            }
            h.advance(600 * MILLISECOND); // the node's own requests no longer explain the slots in use
            h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(0, Double.NaN, 1, 10));
            h.submit("r", "c", "a", 5 * SECOND);
            assertEquals(runTimeUs < 100 * MILLISECOND ? "w0" : null, h.lastEndpointOf("r"));
        }
    }

    /**
     * Scenario casa-main: in its first half second a node sent probes, and answered every request before the results
     * arrived.
     */
    @Test
    void probingFitsIntoTheQueueingTime() {
        Harness h = new Harness(settingsWithSmallQuotas(new TailObjective(0.3, 0.01)), 1);
        h.listActiveEndpoints(6);
        h.submit("r", "c", "a", 5 * SECOND);
        h.advance(148 * MILLISECOND); // queued for 150 ms at most
        assertTrue(h.lastEndpointOf("r") != null);
    }

    /**
     * Incident i8c875b: every endpoint failed a third of its requests, and three consecutive errors ejected most of
     * them.
     */
    @Test
    void errorsEjectAnEndpointOnlyIfItsPeersHaveFewer() {
        for (boolean allFail : new boolean[] {true, false}) {
            Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            h.listActiveEndpoints(4);
            int[] sentTo = new int[4];
            for (int i = 0; i < 2000; i++) {
                h.submit("r" + i, "c", "a", 5 * SECOND);
                String endpoint = h.lastEndpointOf("r" + i);
                if (endpoint != null) {
                    int index = endpoint.charAt(1) - '0';
                    sentTo[index] += i >= 1000 ? 1 : 0;
                    h.reportStarted("r" + i);
                    h.advance(5 * MILLISECOND);
                    // a failing endpoint fails most of its requests, several in a row
                    h.endAttempt(
                            "r" + i, (allFail || index == 0) && i % 7 != 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
                }
                h.advance(5 * MILLISECOND);
            }
            int sum = sentTo[0] + sentTo[1] + sentTo[2] + sentTo[3];
            assertTrue(sum > 950, sum + " of the last 1000 were sent");
            assertTrue(allFail ? sentTo[0] > 100 : sentTo[0] < 100, "sent to w0: " + sentTo[0]);
        }
    }

    /**
     * Scenario tanger-contrats big-2: endpoints that left one class unanswered were excluded for all classes, again and
     * again.
     */
    @Test
    void unansweredClassIsExcludedAtItsEndpointAndOthersAreNot() {
        List<RequestClass> classes = List.of(
                requestClass("bad", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                requestClass("good", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        Harness h = new Harness(settings(classes, TWO_TENANTS, LoadReporting.WITH_RESPONSES, true, false), 1);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 2; i++) {
            h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
            h.submit("b" + i, "bad", "a", 5 * SECOND);
            assertEquals("w0", h.lastEndpointOf("b" + i), "a single one may be a lost message");
            h.advance(5 * SECOND); // never signalled to have started
            assertEquals("failed", h.answerOf("b" + i));
            h.advance(i == 0 ? 8 * SECOND : 0); // the queueing time seen with the first request decays
        }
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
        h.submit("barred", "bad", "a", 5 * SECOND);
        h.submit("good", "good", "b", 5 * SECOND);
        assertNull(h.lastEndpointOf("barred"));
        assertEquals("w0", h.lastEndpointOf("good"));
        h.reportStarted("good");
        h.endAttempt("good", AttemptOutcome.OK);
        h.advance(9 * SECOND); // the exclusion ends
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(3, Double.NaN, 0, 10));
        h.submit("again", "bad", "a", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("again"));
    }

    /**
     * A node of a large fleet gets load reports of few endpoints at a time. Guards against one or two endpoints without
     * free slots standing for all that sent no report: nothing was sent then, so no reports came, and requests were
     * rejected while most endpoints stood idle.
     */
    @ParameterizedTest
    @CsvSource({"1, sent", "2, sent", "10, held"})
    void fewReportsOfNoFreeSlotsDoNotStandForEndpointsWithoutReports(int reporting, String expected) {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.listActiveEndpoints(20);
        for (int i = 0; i < reporting; i++) {
            h.loadBalancer.onProbeResult(h.nowUs, "w" + i, true, 1, new LoadReport(0, Double.NaN, 1, 10));
        }
        h.advance(200 * MILLISECOND); // an examination period passes
        h.submit("next", "c", "a", 5 * SECOND);
        h.advance(60 * MILLISECOND); // several probes without an answer
        assertEquals(expected, h.lastEndpointOf("next") == null ? "held" : "sent");
    }

    /** A report of no free slots may be untrue: what the endpoint does decides, unless the whole fleet is busy. */
    @Test
    void endpointThatReportsNoFreeSlotsIsTriedIfTheFleetHasCapacity() {
        for (boolean fleetBusy : new boolean[] {false, true}) {
            Harness h = new Harness(
                    settings(
                            List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO_TENANTS,
                            LoadReporting.WITH_RESPONSES,
                            true,
                            false),
                    1);
            h.listActiveEndpoints(4);
            int sentToFull = 0;
            for (int i = 0; i < 400; i++) {
                for (int k = 0; k < 4; k++) {
                    h.loadBalancer.onProbeResult(
                            h.nowUs, "w" + k, true, 1, new LoadReport(k == 0 || fleetBusy ? 0 : 4, Double.NaN, 1, 10));
                }
                h.submit("r" + i, "c", "a", 5 * SECOND);
                if (h.lastEndpointOf("r" + i) != null) {
                    sentToFull += h.lastEndpointOf("r" + i).equals("w0") ? 1 : 0;
                    h.reportStarted("r" + i);
                    h.advance(40 * MILLISECOND);
                    h.endAttempt("r" + i, AttemptOutcome.OK);
                }
                h.advance(10 * MILLISECOND);
            }
            assertTrue(
                    fleetBusy ? sentToFull == 0 : sentToFull > 2,
                    sentToFull + " of 400 to the endpoint that reports no free slots");
        }
    }

    /** An endpoint that crashed and came back before the list showed it got its full load during slow start. */
    @Test
    void endpointThatResetAndRefusedConnectionsIsInSlowStartWhenItReturns() {
        for (boolean died : new boolean[] {true, false}) {
            Harness h = new Harness(
                    settings(
                            List.of(requestClass("c", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL)),
                            TWO_TENANTS,
                            LoadReporting.NONE,
                            true,
                            false),
                    1);
            h.nowUs = 100 * SECOND;
            h.listActiveEndpoints(1);
            h.submit("a", "c", "a", 5 * SECOND);
            h.reportStarted("a");
            h.endAttempt("a", died ? AttemptOutcome.RESET : AttemptOutcome.OK);
            h.advance(SECOND);
            h.submit("b", "c", "a", 5 * SECOND);
            h.endAttempt("b", AttemptOutcome.CONNECT_FAILED);
            h.advance(SECOND);
            assertEquals(died, h.loadBalancer.endpoints().get("w0").slowStartCapacity(h.nowUs, h.settings.rules()) < 1);
        }
    }

    /** Requests that need more memory than an endpoint has left are queued for another one. */
    @Test
    void memoryCountsAsWellAsSlots() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.WITH_RESPONSES,
                        true,
                        false),
                1);
        h.listActiveEndpoints(1);
        h.loadBalancer.onProbeResult(h.nowUs, "w0", true, 1, new LoadReport(4, 1, 0.5, 10));
        h.submitRequest("big", "c", "a", 5 * SECOND, 1.5, false);
        assertNull(h.lastEndpointOf("big"));
        h.submitRequest("fits", "c", "a", 5 * SECOND, 0.8, false);
        assertEquals("w0", h.lastEndpointOf("fits"));
    }

    /** The one case in which the answer is delayed: an attempt is in flight and the class forbids another one. */
    @Test
    void abandonedRequestIsAnsweredAtOnce() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT, AttemptOutcome.NOT_SENT
        }) {
            Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
            h.listActiveEndpoints(2);
            h.submit("r", "c", "a", 5 * SECOND);
            h.reportStarted("r");
            h.advance(200 * MILLISECOND);
            assertNull(h.answerOf("r"), "its attempt is in flight");
            h.endAttempt("r", outcome);
            assertEquals(outcome.neverExecuted() ? "refused" : "failed", h.answerOf("r"));
        }
    }

    @Test
    void oneUnstartedRequestAtATimeWhereStartsAreSignalled() {
        Harness h = newHarness(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        for (int i = 0; i < 40; i++) { // opens the concurrency window wide
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            h.advance(10 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        h.submit("x", "c", "a", 5 * SECOND);
        h.submit("y", "c", "a", 5 * SECOND);
        h.advance(50 * MILLISECOND);
        assertEquals("w0", h.lastEndpointOf("x"));
        assertNull(h.lastEndpointOf("y"));
        h.reportStarted("x");
        assertEquals("w0", h.lastEndpointOf("y"));
    }

    @Test
    void placementFollowsInstanceCounts() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        TWO_TENANTS,
                        LoadReporting.NONE,
                        false,
                        false),
                3);
        h.listActiveEndpoints(3);
        h.loadBalancer.endpoints().get("w1").tenantInstances[0] = 30; // 10 : 30 : 10
        Map<String, Integer> placed = new LinkedHashMap<>();
        for (int i = 0; i < 5000; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            placed.merge(h.lastEndpointOf("r" + i), 1, Integer::sum);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        assertEquals(3000, placed.get("w1"), 150);
        assertEquals(1000, placed.get("w0"), 120);
    }

    @Test
    void dequeueOrderFollowsInstanceCountsAndSkipsEmptyQueues() {
        List<Tenant> tenants = List.of(new Tenant("a", 0.4, 1), new Tenant("b", 0.3, 1), new Tenant("idle", 0.3, 1));
        RequestClass slow = new RequestClass(
                "c", 60 * SECOND, 50 * SECOND, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h = new Harness(settings(List.of(slow), tenants, LoadReporting.NONE, true, false), 3);
        h.listActiveEndpoints(1);
        int[] counts = h.loadBalancer.endpoints().get("w0").tenantInstances;
        counts[0] = 15;
        counts[1] = 5;
        for (int i = 0; i < 100; i++) {
            h.submit("a" + i, "c", "a", 60 * SECOND);
            h.submit("b" + i, "c", "b", 60 * SECOND);
        }
        int fromA = 0;
        for (int i = 0; i < 80; i++) {
            String last = h.actionLog.stream()
                    .filter(line -> line.contains(" send "))
                    .reduce((x, y) -> y)
                    .orElseThrow();
            String id = last.split(" ")[2];
            fromA += id.startsWith("a") ? 1 : 0;
            h.reportStarted(id);
            h.endAttempt(id, AttemptOutcome.OK);
        }
        assertEquals(60, fromA, 3);
    }

    @Test
    void shortClassesGoFirstWithinATenant() {
        RequestClass shortClass = new RequestClass(
                "short", 4 * SECOND, 3 * SECOND, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        RequestClass longClass = new RequestClass(
                "long", 40 * SECOND, 30 * SECOND, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h =
                new Harness(settings(List.of(longClass, shortClass), TWO_TENANTS, LoadReporting.NONE, true, false), 1);
        h.listActiveEndpoints(1);
        h.submit("x", "long", "a", 40 * SECOND);
        h.advance(100 * MILLISECOND);
        h.submit("l", "long", "a", 40 * SECOND);
        h.submit("s", "short", "a", 4 * SECOND);
        h.advance(100 * MILLISECOND);
        h.reportStarted("x");
        h.endAttempt("x", AttemptOutcome.OK);
        assertEquals("w0", h.lastEndpointOf("s"));
        assertNull(h.lastEndpointOf("l"));
    }

    @Test
    void newestRequestGoesFirstOnceTheOldestHasWaitedHalfItsTime() {
        RequestClass requestClass = new RequestClass(
                "c", 4 * SECOND, 1 * SECOND, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null, 0);
        Harness h = new Harness(settings(List.of(requestClass), TWO_TENANTS, LoadReporting.NONE, true, false), 1);
        h.listActiveEndpoints(1);
        h.submit("x", "c", "a", 4 * SECOND);
        h.submit("old", "c", "a", 4 * SECOND);
        h.advance(600 * MILLISECOND);
        h.submit("new", "c", "a", 4 * SECOND);
        h.reportStarted("x");
        h.endAttempt("x", AttemptOutcome.OK);
        assertEquals("w0", h.lastEndpointOf("new"));
        assertNull(h.lastEndpointOf("old"));
    }

    @Test
    void endpointFarSlowerThanItsPeersIsAvoidedButNotIfAllAreSlow() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(4);
        int toSlow = 0;
        for (int i = 0; i < 200; i++) {
            h.submit("r" + i, "c", "a", 5 * SECOND);
            h.reportStarted("r" + i);
            boolean slow = h.lastEndpointOf("r" + i).equals("w0");
            toSlow += slow && i >= 100 ? 1 : 0;
            h.advance(slow ? 1000 * MILLISECOND : 100 * MILLISECOND);
            h.endAttempt("r" + i, AttemptOutcome.OK);
        }
        assertTrue(toSlow < 12, toSlow + " of 100 to the slow endpoint");
        for (int i = 0; i < 40; i++) { // all are slow together, so no endpoint is an outlier
            h.submit("s" + i, "c", "a", 5 * SECOND);
            assertNotEquals(null, h.lastEndpointOf("s" + i));
            h.reportStarted("s" + i);
            h.advance(1000 * MILLISECOND);
            h.endAttempt("s" + i, AttemptOutcome.OK);
        }
    }

    @Test
    void invalidLoadReportsNeitherCrashNorStarve() {
        Harness h = new Harness(
                settings(
                        List.of(requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.WITH_RESPONSES,
                        false,
                        true),
                1);
        h.listActiveEndpoints(2);
        double[] invalidValues = {Double.NaN, -5, 1e300, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY};
        for (int i = 0; i < 50; i++) {
            h.submit("r" + i, "c", i % 3 == 0 ? null : "nobody", 5 * SECOND);
            h.advance(250 * MILLISECOND); // probes first, and no endpoint answers
            assertNotEquals(null, h.lastEndpointOf("r" + i), "request " + i);
            h.endAttempt(
                    "r" + i, 0, AttemptOutcome.OK, new LoadReport(invalidValues[i % 5], Double.NaN, Double.NaN, -1));
        }
    }

    @Test
    void unknownTenantsAndClassesAndLateEventsAreTolerated() {
        Harness h = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        h.listActiveEndpoints(1);
        h.submit("u", "c", "stranger", 5 * SECOND);
        assertEquals("w0", h.lastEndpointOf("u"));
        h.reportStarted("u");
        h.endAttempt("u", AttemptOutcome.OK);
        h.loadBalancer.onAttemptEnd(h.nowUs, "u", 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        h.loadBalancer.onAttemptEnd(h.nowUs, "never", 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        h.loadBalancer.onAttemptSignal(h.nowUs, "u", 7, AttemptSignal.STARTED, 0);
        h.loadBalancer.onClientDisconnected(h.nowUs, "u");
        h.loadBalancer.onProbeResult(h.nowUs, "nobody", true, 1, LoadReport.NONE);
        h.loadBalancer.onTimer(h.nowUs, 999);
        h.submit("odd", "no such class", "a", 5 * SECOND);
        assertEquals("failed", h.answerOf("odd"));
    }

    @Test
    void contradictorySettingsAreRejectedByName() {
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> settings(List.of(), TWO_TENANTS, LoadReporting.NONE, true, false))
                .getMessage()
                .startsWith("classes"));
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> settings(
                                List.of(requestClass("c", null, DeduplicationScope.ALL)),
                                TWO_TENANTS,
                                LoadReporting.NONE,
                                true,
                                false))
                .getMessage()
                .startsWith("classes.idempotency of c"));
        assertThrows(IllegalArgumentException.class, () -> new ShareLoadBalancer(null, 1, null));
    }

    @Test
    void randomEventsBreakNoRuleAndAreDeterministic() {
        for (int seed = 0; seed < 40; seed++) {
            List<String> first = randomRun(seed, null);
            assertEquals(first, randomRun(seed, null), "seed " + seed);
        }
    }

    @Test
    void instancesInOneProcessAreIndependent() {
        List<String> expected = randomRun(3, null);
        Harness other = newHarness(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        other.listActiveEndpoints(2);
        assertEquals(expected, randomRun(3, other));
    }

    private static List<String> randomRun(int seed, Harness otherInstance) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean hedgingAllowed = random.nextBoolean();
        List<RequestClass> classes = List.of(
                requestClass("safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                requestClass("unsafe", Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL),
                requestClass("all", Idempotency.KEYED, DeduplicationScope.ALL),
                requestClass("zone", Idempotency.KEYED, DeduplicationScope.ZONE),
                requestClass("cell", Idempotency.KEYED, DeduplicationScope.CELL));
        LoadBalancerSettings base = settings(
                classes, TWO_TENANTS, LoadReporting.values()[random.nextInt(3)], random.nextBoolean(), hedgingAllowed);
        Harness h = new Harness(
                Harness.withDrainRuleAndTail(
                        base,
                        random.nextBoolean(),
                        random.nextBoolean() ? TailObjective.NONE : new TailObjective(0.3, 0.01)),
                seed);
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        for (int i = 0; i < 1000; i++) {
            switch (random.nextInt(6)) {
                case 0, 1 ->
                    h.submit(
                            "r" + i,
                            classes.get(random.nextInt(5)).name(),
                            random.nextBoolean() ? "a" : "b",
                            random.nextInt(8) == 0
                                    ? random.nextLong(20 * MILLISECOND)
                                    : random.nextLong(5 * SECOND) + 1);
                case 2 -> {
                    EndpointInfo[] endpoints = new EndpointInfo[random.nextInt(6)];
                    for (int k = 0; k < endpoints.length; k++) {
                        int number = k + random.nextInt(3);
                        endpoints[k] = endpointInfo(
                                "w" + number,
                                number % 3,
                                EndpointState.values()[random.nextInt(20) / 8],
                                random.nextInt(3) == 0 ? h.nowUs : 0);
                    }
                    if (random.nextInt(4) == 0) {
                        h.updateList(ListUpdateKind.values()[random.nextInt(3)], distinct(endpoints));
                    }
                }
                default -> h.advance(random.nextLong(40 * MILLISECOND));
            }
            for (Harness.TrackedRequest request : h.requests.values()) {
                for (int attempt = 0; attempt < request.outcomes.size(); attempt++) {
                    if (request.outcomes.get(attempt) == null) {
                        if (random.nextInt(12) == 0) {
                            h.endAttempt(
                                    request.request.id(),
                                    attempt,
                                    outcomes[random.nextInt(8)],
                                    new LoadReport(random.nextInt(6), Double.NaN, 0.5, 10));
                        } else if (random.nextInt(3) == 0) {
                            h.loadBalancer.onAttemptSignal(
                                    h.nowUs, request.request.id(), attempt, AttemptSignal.STARTED, 0);
                        }
                    }
                }
            }
            if (otherInstance != null) {
                otherInstance.submit("b" + i, "c", "a", 5 * SECOND);
            }
        }
        h.advance(6 * SECOND);
        for (Harness.TrackedRequest request : h.requests.values()) {
            assertTrue(request.answer != null, "unanswered " + request.request.id());
        }
        return h.actionLog;
    }

    private static EndpointInfo[] distinct(EndpointInfo[] endpoints) {
        Map<String, EndpointInfo> byName = new LinkedHashMap<>();
        for (EndpointInfo endpoint : endpoints) {
            byName.putIfAbsent(endpoint.name(), endpoint);
        }
        return byName.values().toArray(new EndpointInfo[0]);
    }
}
