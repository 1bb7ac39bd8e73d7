package olivechute.loadbalancing;

import static olivechute.loadbalancing.Harness.MILLISECOND;
import static olivechute.loadbalancing.Harness.SECOND;
import static olivechute.loadbalancing.Harness.endpointInfo;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Runs many nodes against the same few endpoints in virtual time and checks the load that an endpoint, or discovery,
 * gets from all of them together. Times are microseconds.
 */
class FleetScenariosTest {
    private static final long SEED = 20261201;
    private static final long STEP_US = 10 * MILLISECOND;
    private static final long RUN_TIME_US = 200 * MILLISECOND;
    private static final int SLOTS_PER_ENDPOINT = 4;

    private record SentAttempt(Harness node, String requestId, int attempt) {}

    /**
     * An endpoint with four slots and a queue. If {@code down}, it accepts no connection, and has lost its requests
     * once it is up again. If {@code refusesConnections}, it refuses each connection at once, like an endpoint whose
     * connection table is full. If {@code failsRequests}, it answers each request with an error.
     */
    private static final class SimulatedEndpoint {
        final Deque<SentAttempt> queue = new ArrayDeque<>();
        final Map<SentAttempt, Long> runningUntilUs = new LinkedHashMap<>();
        final List<Long> arrivalsUs = new ArrayList<>();
        boolean down;
        boolean refusesConnections;
        boolean failsRequests;
    }

    private final List<Harness> nodes = new ArrayList<>();
    private final Map<String, SimulatedEndpoint> endpoints = new TreeMap<>();
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final Map<Harness, Double> requestsPerSecond = new LinkedHashMap<>();
    private long nowUs;
    private LoadBalancerSettings settings;
    private EndpointInfo[] initialList;

    private void startFleet(int nodeCount, double requestRate, int endpointCount) {
        RequestClass requestClass = new RequestClass(
                "c",
                5 * SECOND,
                150 * MILLISECOND,
                2,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                2 * SECOND,
                null,
                0);
        LoadBalancerSettings base =
                Harness.settings(List.of(requestClass), List.of(), LoadReporting.WITH_RESPONSES, true, false);
        settings = Harness.withoutProbes(base, nodeCount);
        initialList = new EndpointInfo[endpointCount];
        for (int w = 0; w < endpointCount; w++) {
            endpoints.put("w" + w, new SimulatedEndpoint());
            initialList[w] = endpointInfo("w" + w, 0, EndpointState.ACTIVE, 0);
        }
        for (int n = 0; n < nodeCount; n++) {
            startNode(n, requestRate);
        }
    }

    /** Starts a node that knows only the list. Attempts sent by the node that it replaces may still be running. */
    private void startNode(long seed, double requestRate) {
        Harness node = new Harness(settings, SEED + seed);
        node.advance(nowUs);
        node.updateList(ListUpdateKind.FULL, initialList);
        nodes.add(node);
        requestsPerSecond.put(node, requestRate);
    }

    private void updateList(EndpointInfo... changed) {
        for (EndpointInfo endpoint : changed) {
            endpoints.computeIfAbsent(endpoint.name(), w -> new SimulatedEndpoint());
        }
        nodes.forEach(node -> node.updateList(ListUpdateKind.DELTA, changed));
    }

    private void runUntil(long endUs) {
        while (nowUs < endUs) {
            nowUs += STEP_US;
            for (Harness node : nodes) {
                node.advance(nowUs - node.nowUs);
                if (random.nextDouble() < requestsPerSecond.get(node) * STEP_US / 1e6) {
                    node.submit("r" + node.requests.size(), "c", "a", 5 * SECOND);
                }
                deliverAttempts(node);
            }
            endpoints.values().forEach(this::processAttempts);
        }
    }

    /** Delivers the attempts that a node has just sent to their endpoints. */
    private void deliverAttempts(Harness node) {
        for (Harness.TrackedRequest request : node.requests.values()) {
            int attempt = request.outcomes.size() - 1;
            if (attempt < 0 || request.outcomes.get(attempt) != null) {
                continue;
            }
            SimulatedEndpoint endpoint = endpoints.get(request.endpoints.get(attempt));
            SentAttempt sent = new SentAttempt(node, request.request.id(), attempt);
            if (endpoint.refusesConnections || endpoint.failsRequests) {
                node.endAttempt(
                        request.request.id(),
                        attempt,
                        endpoint.refusesConnections ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.ERROR,
                        LoadReport.NONE);
            } else if (endpoint.down && !endpoint.runningUntilUs.containsKey(sent) && !endpoint.queue.contains(sent)) {
                if (nowUs >= request.sentAtUs.get(attempt) + 250 * MILLISECOND) {
                    node.endAttempt(request.request.id(), attempt, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
                }
            } else if (!endpoint.runningUntilUs.containsKey(sent) && !endpoint.queue.contains(sent)) {
                endpoint.queue.add(sent);
                endpoint.arrivalsUs.add(nowUs);
            }
        }
    }

    private void processAttempts(SimulatedEndpoint endpoint) {
        if (endpoint.down) {
            return;
        }
        for (Map.Entry<SentAttempt, Long> entry : new ArrayList<>(endpoint.runningUntilUs.entrySet())) {
            if (entry.getValue() <= nowUs) {
                endpoint.runningUntilUs.remove(entry.getKey());
                Harness node = entry.getKey().node();
                if (node.requests
                                .get(entry.getKey().requestId())
                                .outcomes
                                .get(entry.getKey().attempt())
                        == null) {
                    node.endAttempt(
                            entry.getKey().requestId(),
                            entry.getKey().attempt(),
                            AttemptOutcome.OK,
                            new LoadReport(
                                    Math.max(
                                            0,
                                            SLOTS_PER_ENDPOINT
                                                    - endpoint.runningUntilUs.size()
                                                    - endpoint.queue.size()),
                                    Double.NaN,
                                    0.5,
                                    10));
                }
            }
        }
        while (endpoint.runningUntilUs.size() < SLOTS_PER_ENDPOINT && !endpoint.queue.isEmpty()) {
            SentAttempt next = endpoint.queue.poll();
            endpoint.runningUntilUs.put(next, nowUs + RUN_TIME_US);
            next.node().loadBalancer.onAttemptSignal(nowUs, next.requestId(), next.attempt(), AttemptSignal.STARTED, 0);
        }
    }

    private int countAnswers(String answer) {
        return (int) nodes.stream()
                .flatMap(h -> h.requests.values().stream())
                .filter(s -> answer.equals(s.answer))
                .count();
    }

    private long countOutcomes(AttemptOutcome outcome) {
        return nodes.stream()
                .flatMap(h -> h.requests.values().stream())
                .flatMap(s -> s.outcomes.stream())
                .filter(o -> o == outcome)
                .count();
    }

    private int requestCount() {
        return nodes.stream().mapToInt(h -> h.requests.size()).sum();
    }

    private static int maxInWindow(List<Long> timesUs, long windowUs) {
        int most = 0;
        for (long from : timesUs) {
            most = Math.max(most, (int) timesUs.stream()
                    .filter(t -> t >= from && t < from + windowUs)
                    .count());
        }
        return most;
    }

    /**
     * Scenario join: six of ten endpoints are replaced within 7 s. No new endpoint may stay idle, nor get more at once
     * than it can handle.
     */
    @Test
    void replacedEndpointsAreUsedSoonAndNotOverloaded() {
        startFleet(20, 7, 10); // 70 % of what ten endpoints can handle
        runUntil(3 * SECOND);
        for (int i = 0; i < 6; i++) {
            updateList(
                    endpointInfo("new" + i, 0, EndpointState.ACTIVE, nowUs),
                    endpointInfo("w" + i, 0, EndpointState.DRAINING, 0));
            runUntil(3 * SECOND + (i + 1) * 1100L * MILLISECOND);
        }
        long replacedAtUs = nowUs;
        runUntil(replacedAtUs + 3 * SECOND);
        for (int i = 0; i < 6; i++) {
            List<Long> arrivalsUs = endpoints.get("new" + i).arrivalsUs;
            long startedAtUs = 3 * SECOND + i * 1100L * MILLISECOND;
            assertTrue(
                    !arrivalsUs.isEmpty() && arrivalsUs.get(0) < startedAtUs + 2 * SECOND,
                    "new" + i + " idle, seed " + SEED);
            List<Long> earlyArrivalsUs = arrivalsUs.stream()
                    .filter(t -> t < startedAtUs + 2 * SECOND)
                    .toList();
            assertTrue(
                    maxInWindow(earlyArrivalsUs, SECOND) * RUN_TIME_US <= 3 * 0.28 * SLOTS_PER_ENDPOINT * SECOND,
                    maxInWindow(earlyArrivalsUs, SECOND) + " at new" + i + " in a second, seed " + SEED);
        }
        runUntil(nowUs + 6 * SECOND);
        assertTrue(
                countAnswers("served") > 0.75 * requestCount(),
                countAnswers("served") + " of " + requestCount() + ", seed " + SEED);
    }

    /**
     * Scenario zone: three of ten endpoints cannot be reached for 5 s. The number of attempts that all nodes lose there
     * is limited, and the endpoints are used again afterwards.
     */
    @Test
    void unreachableZoneIsRarelyRetriedAndUsedAfterRecovery() {
        startFleet(20, 5, 10);
        runUntil(3 * SECOND);
        for (int w = 0; w < 3; w++) {
            endpoints.get("w" + w).down = true;
        }
        runUntil(8 * SECOND);
        long failedConnects = countOutcomes(AttemptOutcome.CONNECT_FAILED);
        // 30 of some 500 requests; without ejections after a failed connect there are 48.
        assertTrue(failedConnects <= 40, failedConnects + " failed connects, seed " + SEED);
        for (int w = 0; w < 3; w++) {
            SimulatedEndpoint endpoint = endpoints.get("w" + w);
            endpoint.down = false;
            endpoint.queue.clear();
            endpoint.runningUntilUs.clear();
            updateList(endpointInfo("w" + w, 0, EndpointState.ACTIVE, nowUs));
            endpoint.arrivalsUs.clear();
        }
        long recoveredAtUs = nowUs;
        runUntil(recoveredAtUs + 3 * SECOND);
        for (int w = 0; w < 3; w++) {
            List<Long> arrivalsUs = endpoints.get("w" + w).arrivalsUs;
            assertTrue(!arrivalsUs.isEmpty(), "w" + w + " idle, seed " + SEED);
            assertTrue(
                    maxInWindow(arrivalsUs, SECOND) * RUN_TIME_US <= 3 * 0.33 * SLOTS_PER_ENDPOINT * SECOND,
                    maxInWindow(arrivalsUs, SECOND) + " at w" + w + " in a second, seed " + SEED);
        }
    }

    /**
     * A node that gets one request in ten seconds has hardly any measurements and still serves each request; so does a
     * node with ten times the mean traffic.
     */
    @Test
    void requestsOfQuietAndBusyNodesAreServed() {
        startFleet(10, 5, 10);
        requestsPerSecond.put(nodes.get(0), 0.1);
        requestsPerSecond.put(nodes.get(1), 50.0);
        runUntil(40 * SECOND);
        List<Harness.TrackedRequest> quietNodeRequests = nodes.get(0).requests.values().stream()
                .filter(s -> s.arrivedAtUs < nowUs - 5 * SECOND)
                .toList();
        assertTrue(quietNodeRequests.size() >= 2, quietNodeRequests.size() + " requests, seed " + SEED);
        assertTrue(quietNodeRequests.stream().allMatch(s -> "served".equals(s.answer)), "seed " + SEED);
        long busyNodeServed = nodes.get(1).requests.values().stream()
                .filter(s -> "served".equals(s.answer))
                .count();
        assertTrue(
                busyNodeServed > 0.9 * nodes.get(1).requests.size(),
                busyNodeServed + " of " + nodes.get(1).requests.size() + ", seed " + SEED);
    }

    /**
     * Scenario herd: seven of ten nodes start within a second, without any measurements. Together they must not
     * overload an endpoint.
     */
    @Test
    void nodesThatStartTogetherOverloadNoEndpoint() {
        startFleet(20, 7, 10);
        runUntil(3 * SECOND);
        for (int n = 0; n < 14; n++) {
            requestsPerSecond.put(nodes.get(n), 0.0);
        }
        for (int n = 0; n < 14; n++) {
            startNode(100 + n, 7);
            runUntil(nowUs + 70 * MILLISECOND);
        }
        long fromUs = nowUs;
        int longestQueue = 0;
        while (nowUs < fromUs + 3 * SECOND) {
            runUntil(nowUs + 100 * MILLISECOND);
            longestQueue = Math.max(
                    longestQueue,
                    endpoints.values().stream()
                            .mapToInt(m -> m.queue.size())
                            .max()
                            .orElse(0));
        }
        assertTrue(longestQueue <= 2 * SLOTS_PER_ENDPOINT, longestQueue + " in one queue, seed " + SEED);
        assertTrue(
                countAnswers("served") > 0.85 * requestCount(),
                countAnswers("served") + " of " + requestCount() + ", seed " + SEED);
    }

    /**
     * Scenario zone: one of ten endpoints fails all of its requests. Each of a hundred nodes has to find out by itself,
     * and almost no request may be lost.
     */
    @Test
    void failingEndpointThatEachNodeRarelyUsesCostsFewRequests() {
        startFleet(100, 1.5, 10);
        endpoints.get("w0").failsRequests = true;
        runUntil(12 * SECOND);
        assertTrue(
                countOutcomes(AttemptOutcome.ERROR) > 20,
                countOutcomes(AttemptOutcome.ERROR) + " errors, seed " + SEED);
        // 31 of 1,751, for lack of capacity; 59 without retries.
        assertTrue(
                countAnswers("refused") + countAnswers("failed") <= 45,
                countAnswers("refused") + " rejected, seed " + SEED);
    }

    /**
     * An endpoint whose connection table is full refuses nodes without a connection at once: their requests go to other
     * endpoints, and they rarely retry there.
     */
    @Test
    void endpointThatRefusesConnectionsIsRarelyRetried() {
        startFleet(20, 5, 10);
        endpoints.get("w0").refusesConnections = true;
        runUntil(12 * SECOND);
        // 9; without ejections after a failed connect there are 14.
        assertTrue(
                countOutcomes(AttemptOutcome.CONNECT_FAILED) <= 12,
                countOutcomes(AttemptOutcome.CONNECT_FAILED) + " failed connects, seed " + SEED);
        assertTrue(
                countAnswers("served") > 0.9 * requestCount(),
                countAnswers("served") + " of " + requestCount() + ", seed " + SEED);
    }

    /**
     * A discovery that rejected the calls of all of a hundred nodes for three seconds and recovers must not be polled
     * by all of them at once.
     */
    @Test
    void pollsOfAHundredNodesAreSpreadOnceDiscoveryRecovers() {
        List<Long> callsUs = new ArrayList<>();
        long latestUs = 0;
        for (int n = 0; n < 100; n++) {
            Harness node = new Harness(
                    Harness.settings(
                            List.of(Harness.requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                            List.of(),
                            LoadReporting.NONE,
                            false,
                            false),
                    SEED + n);
            int watchCalls = 0;
            while (node.nowUs < 10 * SECOND) {
                if (node.watchCalls > watchCalls) {
                    watchCalls = node.watchCalls;
                    if (node.nowUs >= 3 * SECOND) {
                        break;
                    }
                    node.updateList(ListUpdateKind.FAILED);
                }
                node.advance(STEP_US);
            }
            callsUs.add(node.nowUs);
            latestUs = Math.max(latestUs, node.nowUs);
        }
        assertTrue(
                maxInWindow(callsUs, 100 * MILLISECOND) <= 20,
                maxInWindow(callsUs, 100 * MILLISECOND) + " calls in a tenth of a second, seed " + SEED);
        assertTrue(latestUs <= 3 * SECOND + 4 * SECOND, "the last call after " + latestUs + " us, seed " + SEED);
    }
}
