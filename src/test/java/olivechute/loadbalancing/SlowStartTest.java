package olivechute.loadbalancing;

import static olivechute.loadbalancing.Harness.MILLISECOND;
import static olivechute.loadbalancing.Harness.SECOND;
import static olivechute.loadbalancing.Harness.endpointInfo;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks the calls of all nodes together to endpoints that have just started, in virtual time. Let N be the number of
 * calls of mean run time that an endpoint withstands in a window of {@code overload_for} with the capacity that it has
 * when the window begins. No window may contain more than N + 2 sqrt(N) + 2 calls. Times are microseconds.
 */
class SlowStartTest {
    private static final long SEED = 20261202;
    private static final long STEP_US = 10 * MILLISECOND;
    private static final long REPORT_LAG_US = 500 * MILLISECOND; // age of a load report when it arrives
    private static final long LISTED_AT_US = 4 * SECOND;
    private static final int[] FLEET_SIZES = {3, 30, 100};

    /** The settings and the traffic of a fleet, and the slots of its endpoints. */
    private record Scenario(
            String name,
            int nodes,
            int warmEndpoints,
            int newEndpoints,
            int slots,
            double slowStartCapacity,
            long slowStartDurationUs,
            double overloadMultiple,
            long overloadWindowUs,
            List<Long> meanRunTimesUs,
            double utilization,
            LoadReporting loadReporting) {}

    private record SentAttempt(Node node, String requestId, int attempt, int classIndex) {}

    private record Arrival(long atUs, double runTimeUs) {}

    /** One node and its part of all traffic, in requests per microsecond for each class. */
    private static final class Node {
        final Harness harness;
        final double[] requestsPerUs;
        int requestCount;

        Node(Harness harness, double[] requestsPerUs) {
            this.harness = harness;
            this.requestsPerUs = requestsPerUs;
        }
    }

    /**
     * An endpoint: its queued attempts, its running attempts with the times at which they end, the free slots that it
     * has yet to report, and the attempts that arrived.
     */
    private static final class SimulatedEndpoint {
        final Deque<SentAttempt> queue = new ArrayDeque<>();
        final Map<SentAttempt, Long> runningUntilUs = new LinkedHashMap<>();
        final Deque<Integer> freeSlotReports = new ArrayDeque<>();
        final List<Arrival> arrivals = new ArrayList<>();
        long startedAtUs;
        boolean down;
        boolean saturated;
        boolean reportsAllSlotsFree; // however many of them are in use
    }

    private Scenario scenario;
    private LoadBalancerSettings settings;
    private SplittableRandom random;
    private long nowUs;
    private double trafficMultiple; // present traffic as a multiple of the scenario's
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, SimulatedEndpoint> endpoints = new TreeMap<>();
    private final Map<SentAttempt, Integer> deliveredAttempts = new HashMap<>();

    private void setUp(Scenario newScenario, long seed) {
        scenario = newScenario;
        random = new SplittableRandom(seed);
        nowUs = 0;
        trafficMultiple = 1;
        nodes.clear();
        endpoints.clear();
        deliveredAttempts.clear();
        List<RequestClass> classes = new ArrayList<>();
        for (int c = 0; c < newScenario.meanRunTimesUs().size(); c++) {
            classes.add(new RequestClass(
                    "c" + c,
                    5 * SECOND,
                    Math.min(
                            SECOND,
                            150 * MILLISECOND + newScenario.meanRunTimesUs().get(c)),
                    2,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    2 * SECOND,
                    null,
                    0));
        }
        LoadBalancerSettings base = Harness.withoutProbes(
                Harness.settings(classes, List.of(), newScenario.loadReporting(), true, false), newScenario.nodes());
        ServiceRules rules = base.rules();
        settings = Harness.withRules(
                base,
                new ServiceRules(
                        rules.answerSlackUs(),
                        rules.listPollIntervalUs(),
                        rules.drainGraceUs(),
                        newScenario.slowStartCapacity(),
                        newScenario.slowStartDurationUs(),
                        newScenario.overloadMultiple(),
                        newScenario.overloadWindowUs(),
                        rules.keepsUnlistedEndpoints()));
        EndpointInfo[] warmList = new EndpointInfo[newScenario.warmEndpoints()];
        for (int w = 0; w < newScenario.warmEndpoints(); w++) {
            endpoints.put("w" + w, new SimulatedEndpoint());
            warmList[w] = endpointInfo("w" + w, 0, EndpointState.ACTIVE, 0);
        }
        // A tenth of the nodes has five parts of the traffic, a third has almost none, the others have one. All classes
        // take the same
        // total run time.
        double[] trafficParts = new double[newScenario.nodes()];
        double sum = 0;
        for (int n = 0; n < trafficParts.length; n++) {
            trafficParts[n] = n % 10 == 0 ? 5 : n % 3 == 1 ? 0.05 : 1;
            sum += trafficParts[n];
        }
        for (int n = 0; n < trafficParts.length; n++) {
            double[] requestsPerUs = new double[newScenario.meanRunTimesUs().size()];
            for (int c = 0; c < requestsPerUs.length; c++) {
                requestsPerUs[c] = newScenario.utilization()
                        * newScenario.warmEndpoints()
                        * newScenario.slots()
                        * trafficParts[n]
                        / sum
                        / requestsPerUs.length
                        / newScenario.meanRunTimesUs().get(c);
            }
            Harness harness = new Harness(settings, seed + n);
            harness.updateList(ListUpdateKind.FULL, warmList);
            nodes.add(new Node(harness, requestsPerUs));
        }
    }

    private double meanRunTimeUs() {
        double callsPerUs = 0;
        for (long meanRunTimeUs : scenario.meanRunTimesUs()) {
            callsPerUs += 1.0 / meanRunTimeUs;
        }
        return scenario.meanRunTimesUs().size() / callsPerUs;
    }

    /** The new endpoints start, and all nodes are notified at once. */
    private void addNewEndpoints() {
        EndpointInfo[] newList = new EndpointInfo[scenario.newEndpoints()];
        for (int w = 0; w < newList.length; w++) {
            newList[w] = endpointInfo("new" + w, 0, EndpointState.ACTIVE, nowUs);
            SimulatedEndpoint endpoint = new SimulatedEndpoint();
            endpoint.startedAtUs = nowUs;
            endpoints.put("new" + w, endpoint);
        }
        nodes.forEach(node -> node.harness.updateList(ListUpdateKind.DELTA, newList));
    }

    private double capacityPart(SimulatedEndpoint endpoint, long atUs) {
        return endpoint.startedAtUs == 0 || atUs - endpoint.startedAtUs >= scenario.slowStartDurationUs()
                ? 1
                : scenario.slowStartCapacity()
                        + (1 - scenario.slowStartCapacity())
                                * Math.max(0, atUs - endpoint.startedAtUs)
                                / scenario.slowStartDurationUs();
    }

    private void runUntil(long endUs) {
        while (nowUs < endUs) {
            nowUs += STEP_US;
            for (Node node : nodes) {
                node.harness.advance(nowUs - node.harness.nowUs);
                for (int c = 0; c < node.requestsPerUs.length; c++) {
                    for (double expected = trafficMultiple * node.requestsPerUs[c] * STEP_US;
                            expected > 0 && random.nextDouble() < expected;
                            expected--) {
                        node.harness.submit("r" + node.requestCount++, "c" + c, "a", 5 * SECOND);
                    }
                }
                deliverAttempts(node);
            }
            endpoints.values().forEach(this::processAttempts);
        }
    }

    /** Delivers the attempts that a node has just sent, and drops its requests that are complete. */
    private void deliverAttempts(Node node) {
        Harness harness = node.harness;
        for (Harness.TrackedRequest request : new ArrayList<>(harness.requests.values())) {
            int attempt = request.outcomes.size() - 1;
            if (attempt >= 0 && request.outcomes.get(attempt) == null) {
                deliver(node, request, attempt);
            }
        }
        for (Iterator<Harness.TrackedRequest> iterator =
                        harness.requests.values().iterator();
                iterator.hasNext(); ) {
            Harness.TrackedRequest request = iterator.next();
            if (request.answer != null && request.attemptsInFlight() == 0) {
                iterator.remove();
            }
        }
    }

    private void deliver(Node node, Harness.TrackedRequest request, int attempt) {
        SimulatedEndpoint endpoint = endpoints.get(request.endpoints.get(attempt));
        int classIndex = Integer.parseInt(request.requestClass.name().substring(1));
        SentAttempt sent = new SentAttempt(node, request.request.id(), attempt, classIndex);
        if (endpoint.down) {
            endpoint.arrivals.add(new Arrival(nowUs, scenario.meanRunTimesUs().get(classIndex)));
            node.harness.endAttempt(request.request.id(), attempt, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
        } else if (!deliveredAttempts.containsKey(sent)) {
            deliveredAttempts.put(sent, attempt);
            endpoint.queue.add(sent);
            endpoint.arrivals.add(new Arrival(
                    request.sentAtUs.get(attempt), scenario.meanRunTimesUs().get(classIndex)));
        }
    }

    private void processAttempts(SimulatedEndpoint endpoint) {
        if (endpoint.down) {
            return;
        }
        for (Map.Entry<SentAttempt, Long> entry : new ArrayList<>(endpoint.runningUntilUs.entrySet())) {
            if (entry.getValue() <= nowUs) {
                endpoint.runningUntilUs.remove(entry.getKey());
                deliveredAttempts.remove(entry.getKey());
                Harness harness = entry.getKey().node().harness;
                Harness.TrackedRequest request =
                        harness.requests.get(entry.getKey().requestId());
                if (request != null && request.outcomes.get(entry.getKey().attempt()) == null) {
                    harness.endAttempt(
                            entry.getKey().requestId(),
                            entry.getKey().attempt(),
                            AttemptOutcome.OK,
                            scenario.loadReporting() == LoadReporting.NONE
                                    ? LoadReport.NONE
                                    : new LoadReport(endpoint.freeSlotReports.peekFirst(), Double.NaN, 0.5, 10));
                }
            }
        }
        int availableSlots = endpoint.saturated
                ? 1
                : (int) Math.max(1, Math.floor(capacityPart(endpoint, nowUs) * scenario.slots()));
        while (endpoint.runningUntilUs.size() < availableSlots && !endpoint.queue.isEmpty()) {
            SentAttempt next = endpoint.queue.poll();
            Harness.TrackedRequest request = next.node().harness.requests.get(next.requestId());
            if (request != null && request.outcomes.get(next.attempt()) == null) {
                endpoint.runningUntilUs.put(
                        next,
                        nowUs
                                + (long) (scenario.meanRunTimesUs().get(next.classIndex())
                                        * (0.5 + random.nextDouble())));
                next.node()
                        .harness
                        .loadBalancer
                        .onAttemptSignal(nowUs, next.requestId(), next.attempt(), AttemptSignal.STARTED, 0);
            }
        }
        endpoint.freeSlotReports.addLast(
                endpoint.saturated
                        ? 0
                        : endpoint.reportsAllSlotsFree
                                ? scenario.slots()
                                : Math.max(
                                        0, scenario.slots() - endpoint.runningUntilUs.size() - endpoint.queue.size()));
        if (endpoint.freeSlotReports.size() > REPORT_LAG_US / STEP_US) {
            endpoint.freeSlotReports.removeFirst();
        }
    }

    /** The largest load of any window, as a multiple of the allowed load. */
    private double maxWindowLoad(SimulatedEndpoint endpoint) {
        double meanRunTimeUs = meanRunTimeUs();
        double max = 0;
        int last = 0;
        double sumUs = 0;
        for (int first = 0;
                first < endpoint.arrivals.size()
                        && endpoint.arrivals.get(first).atUs() < endpoint.startedAtUs + scenario.slowStartDurationUs();
                first++) {
            long fromUs = endpoint.arrivals.get(first).atUs();
            for (;
                    last < endpoint.arrivals.size()
                            && endpoint.arrivals.get(last).atUs() < fromUs + scenario.overloadWindowUs();
                    last++) {
                sumUs += endpoint.arrivals.get(last).runTimeUs();
            }
            double allowedCalls = scenario.overloadMultiple()
                    * capacityPart(endpoint, fromUs)
                    * scenario.slots()
                    * scenario.overloadWindowUs()
                    / meanRunTimeUs;
            max = Math.max(max, sumUs / meanRunTimeUs / (allowedCalls + 2 * Math.sqrt(allowedCalls) + 2));
            sumUs -= endpoint.arrivals.get(first).runTimeUs();
        }
        return max;
    }

    /**
     * The load that the new endpoints got since they started, as a part of their capacity in that time, or of the load
     * that they withstand where that is less.
     */
    private double usedCapacity() {
        double receivedUs = 0;
        double availableUs = 0;
        for (SimulatedEndpoint endpoint : endpoints.values()) {
            if (endpoint.startedAtUs > 0) {
                receivedUs += endpoint.arrivals.stream()
                        .mapToDouble(Arrival::runTimeUs)
                        .sum();
                for (long atUs = endpoint.startedAtUs; atUs < nowUs; atUs += STEP_US) {
                    availableUs += STEP_US
                            * capacityPart(endpoint, atUs)
                            * scenario.slots()
                            * Math.min(1, scenario.overloadMultiple());
                }
            }
        }
        return receivedUs / availableUs;
    }

    private void assertLoadAndUse(String pattern, double minUsed) {
        double maxLoad = 0;
        for (SimulatedEndpoint endpoint : endpoints.values()) {
            maxLoad = Math.max(maxLoad, endpoint.startedAtUs > 0 ? maxWindowLoad(endpoint) : 0);
        }
        String summary = String.format(
                "seed %d, %s, %s: fullest window %.2f of the allowed load, new endpoints got %.3f of their capacity, "
                        + "at least %.3f expected",
                SEED, pattern, scenario, maxLoad, usedCapacity(), minUsed);
        System.out.println(summary);
        assertTrue(maxLoad <= 1 && usedCapacity() >= minUsed, summary);
    }

    private void runSteady(Scenario newScenario, long seed, double minUsed) {
        setUp(newScenario, seed);
        runUntil(LISTED_AT_US);
        addNewEndpoints();
        runUntil(LISTED_AT_US + newScenario.slowStartDurationUs() / 2);
        assertLoadAndUse("steady", minUsed);
    }

    /**
     * Six in ten of the other endpoints report no free slots, and half of these accept no connections: nodes use far
     * more endpoints than usual.
     */
    private void runSaturated(Scenario newScenario, long seed, double minUsed) {
        setUp(newScenario, seed);
        runUntil(LISTED_AT_US);
        for (int w = 0; w < newScenario.warmEndpoints() * 6 / 10; w++) {
            endpoints.get("w" + w).down = w % 2 == 0;
            endpoints.get("w" + w).saturated = true;
        }
        runUntil(LISTED_AT_US + SECOND);
        addNewEndpoints();
        runUntil(LISTED_AT_US + SECOND + newScenario.slowStartDurationUs() / 2);
        assertLoadAndUse("saturated", minUsed);
    }

    /**
     * All nodes get traffic at the same time, around the end of an overload window that began when they were notified.
     */
    private void runWaves(Scenario newScenario, long seed, double minUsed) {
        setUp(newScenario, seed);
        runUntil(LISTED_AT_US);
        addNewEndpoints();
        long windowUs = newScenario.overloadWindowUs();
        for (long windowStartUs = LISTED_AT_US;
                windowStartUs < LISTED_AT_US + newScenario.slowStartDurationUs() / 2;
                windowStartUs += 2 * windowUs) {
            trafficMultiple = 0;
            runUntil(windowStartUs + windowUs * 8 / 10);
            trafficMultiple = 3;
            runUntil(windowStartUs + windowUs * 12 / 10);
            trafficMultiple = 0.3;
            runUntil(windowStartUs + 2 * windowUs);
        }
        assertLoadAndUse("waves", minUsed);
    }

    private void runAllPatterns(Scenario newScenario) {
        runAllPatterns(newScenario, 0.1, 0.1, 0.1);
    }

    private void runAllPatterns(
            Scenario newScenario, double minUsedSteady, double minUsedSaturated, double minUsedWaves) {
        runSteady(newScenario, SEED, minUsedSteady);
        runSaturated(newScenario, SEED, minUsedSaturated);
        runWaves(newScenario, SEED, minUsedWaves);
    }

    private static Scenario mixed(int nodes) {
        return new Scenario(
                "mixed",
                nodes,
                10,
                4,
                8,
                0.3,
                8 * SECOND,
                1.5,
                SECOND,
                List.of(30 * MILLISECOND, 600 * MILLISECOND),
                0.9,
                LoadReporting.WITH_RESPONSES);
    }

    @Test
    void typicalSettings() {
        for (int fleetSize : FLEET_SIZES) {
            runAllPatterns(new Scenario(
                    "typical",
                    fleetSize,
                    10,
                    4,
                    8,
                    0.3,
                    8 * SECOND,
                    3,
                    SECOND,
                    List.of(100 * MILLISECOND),
                    0.9,
                    LoadReporting.WITH_RESPONSES));
        }
    }

    @Test
    void manyNewEndpointsOfLowCapacityAmongManyOthers() {
        for (int fleetSize : FLEET_SIZES) {
            Scenario wide = new Scenario(
                    "wide",
                    fleetSize,
                    60,
                    10,
                    4,
                    0.1,
                    8 * SECOND,
                    1.2,
                    SECOND,
                    List.of(100 * MILLISECOND),
                    0.5,
                    LoadReporting.WITH_RESPONSES);
            runSaturated(wide, SEED, 0.1);
        }
    }

    @Test
    void overloadWindowThatIsLongAgainstSlowStart() {
        for (int fleetSize : FLEET_SIZES) {
            runAllPatterns(new Scenario(
                    "long",
                    fleetSize,
                    10,
                    4,
                    8,
                    0.1,
                    8 * SECOND,
                    1.2,
                    4 * SECOND,
                    List.of(100 * MILLISECOND),
                    0.9,
                    LoadReporting.WITH_RESPONSES));
        }
    }

    @Test
    void classesOfUnequalRunTimeShareTheAllowance() {
        runAllPatterns(mixed(3));
        runAllPatterns(mixed(30)); // 100 nodes are checked against stricter bounds below
    }

    /**
     * A tenth of a hundred nodes has half of the traffic. When all nodes had equal parts of the allowance, and each
     * class could use its own part only, the new endpoints got 0.198, 0.252 and 0.128 of their capacity here.
     */
    @Test
    void busyNodesGetMoreOfTheAllowanceThanQuietOnes() {
        runAllPatterns(mixed(100), 0.24, 0.31, 0.18);
    }

    /**
     * Load reports without any load make each node assume that it has most of the fleet's traffic. Its part must still
     * be no more than an equal part of N.
     */
    @Test
    void reportsOfNoLoadDoNotCauseOverload() {
        for (int fleetSize : FLEET_SIZES) {
            Scenario falseReports = new Scenario(
                    "false reports",
                    fleetSize,
                    10,
                    2,
                    8,
                    0.1,
                    16 * SECOND,
                    1,
                    SECOND,
                    List.of(100 * MILLISECOND),
                    0.9,
                    LoadReporting.WITH_RESPONSES);
            setUp(falseReports, SEED);
            endpoints.values().forEach(endpoint -> endpoint.reportsAllSlotsFree = true);
            runUntil(LISTED_AT_US);
            trafficMultiple = 3;
            addNewEndpoints();
            runUntil(LISTED_AT_US + falseReports.slowStartDurationUs() / 2);
            assertLoadAndUse("false reports", 0.1);
        }
    }

    @Test
    void noLoadReports() {
        for (int fleetSize : FLEET_SIZES) {
            runSaturated(
                    new Scenario(
                            "no reports",
                            fleetSize,
                            20,
                            4,
                            4,
                            0.3,
                            8 * SECOND,
                            2,
                            SECOND,
                            List.of(150 * MILLISECOND),
                            0.7,
                            LoadReporting.NONE),
                    SEED,
                    0.1);
        }
    }

    /**
     * Nodes that have been up for a few seconds have seen one or two of an endpoint's slots in use, and no load is
     * reported. Each node estimates the attempts of all nodes at the other endpoints from its own attempts in flight
     * there.
     */
    @Test
    void newEndpointsGetTheirPartWithoutLoadReports() {
        runAllPatterns(unreported(30), 0.4, 0.6, 0.36);
        runAllPatterns(unreported(100), 0.25, 0.4, 0.22);
    }

    private static Scenario unreported(int nodes) {
        return new Scenario(
                "unreported",
                nodes,
                30,
                10,
                4,
                0.3,
                8 * SECOND,
                3,
                SECOND,
                List.of(200 * MILLISECOND),
                0.7,
                LoadReporting.NONE);
    }

    /**
     * Endpoints withstand little overload, nodes have run for long enough to know the number of slots, and a tenth of
     * them has half of the traffic.
     */
    @Test
    void unequalTrafficWithoutLoadReportsDoesNotCauseOverload() {
        for (int fleetSize : FLEET_SIZES) {
            Scenario unequal = new Scenario(
                    "unequal, unreported",
                    fleetSize,
                    10,
                    4,
                    8,
                    0.1,
                    8 * SECOND,
                    1.2,
                    4 * SECOND,
                    List.of(100 * MILLISECOND),
                    0.9,
                    LoadReporting.NONE);
            runAllPatterns(unequal);
            setUp(unequal, SEED);
            runUntil(10 * LISTED_AT_US);
            trafficMultiple = 2;
            addNewEndpoints();
            runUntil(10 * LISTED_AT_US + unequal.slowStartDurationUs() / 2);
            assertLoadAndUse("long uptime", 0.1);
        }
    }

    @Test
    void randomSettings() {
        SplittableRandom settingsRandom = new SplittableRandom(SEED);
        for (int i = 0; i < 12; i++) {
            List<Long> meanRunTimesUs = new ArrayList<>();
            for (int c = 1 + settingsRandom.nextInt(3); c > 0; c--) {
                meanRunTimesUs.add((long) (20 * MILLISECOND * Math.pow(20, settingsRandom.nextDouble())));
            }
            Scenario generated = new Scenario(
                    "random " + i,
                    FLEET_SIZES[i % 3],
                    6 + settingsRandom.nextInt(20),
                    1 + settingsRandom.nextInt(6),
                    2 + settingsRandom.nextInt(10),
                    0.1 + 0.4 * settingsRandom.nextDouble(),
                    4 * SECOND + settingsRandom.nextInt(8_000_000),
                    1 + 3 * settingsRandom.nextDouble(),
                    SECOND / 2 + settingsRandom.nextInt(2_000_000),
                    meanRunTimesUs,
                    0.5 + 0.4 * settingsRandom.nextDouble(),
                    LoadReporting.WITH_RESPONSES);
            runSaturated(generated, SEED + i, 0.1);
        }
    }

    /**
     * The endpoint is down for long, and the list does not show it. Its slow start must count from its return, whenever
     * the nodes assume that it went down.
     */
    @Test
    void endpointThatWasDownForLongIsInSlowStartWhenItReturns() {
        for (int fleetSize : FLEET_SIZES) {
            setUp(
                    new Scenario(
                            "recovered",
                            fleetSize,
                            10,
                            0,
                            8,
                            0.1,
                            12 * SECOND,
                            1.2,
                            SECOND,
                            List.of(100 * MILLISECOND),
                            0.9,
                            LoadReporting.WITH_RESPONSES),
                    SEED);
            runUntil(LISTED_AT_US);
            SimulatedEndpoint endpoint = endpoints.get("w0");
            endpoint.down = true;
            resetAttempts(endpoint);
            runUntil(LISTED_AT_US + 6 * SECOND);
            endpoint.down = false;
            endpoint.arrivals.clear();
            endpoint.freeSlotReports.clear();
            endpoint.startedAtUs = nowUs;
            runUntil(nowUs + 8 * SECOND);
            assertLoadAndUse("recovered", 0.1);
        }
    }

    /**
     * An endpoint may return at any moment of its ejection, so at the end of the ejection it must be assumed to have
     * just started.
     */
    @Test
    void endpointSeenDownBeginsSlowStartWhenItsEjectionEnds() {
        Harness harness = new Harness(
                Harness.withoutProbes(
                        Harness.settings(
                                List.of(Harness.requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                List.of(),
                                LoadReporting.NONE,
                                true,
                                false),
                        1),
                SEED);
        harness.nowUs = 100 * SECOND;
        harness.listActiveEndpoints(1);
        for (int i = 0; i < 20; i++) { // learns the run time of a request: 20 ms
            harness.submit("l" + i, "c", "a", 60 * SECOND);
            harness.reportStarted("l" + i);
            harness.advance(20 * MILLISECOND);
            harness.endAttempt("l" + i, AttemptOutcome.OK);
        }
        harness.submit("a", "c", "a", 60 * SECOND);
        harness.reportStarted("a");
        harness.endAttempt("a", AttemptOutcome.RESET);
        Endpoint endpoint = harness.loadBalancer.endpoints().get("w0");
        OutlierState ejection = endpoint.outlierState;
        for (int i = 0; i < 8; i++) {
            harness.advance(Math.max(0, ejection.ejectedUntilUs - harness.nowUs)
                    + SECOND); // and an overload window, as each attempt counts
            harness.submit("b" + i, "c", "a", 60 * SECOND);
            for (Harness.TrackedRequest request : new ArrayList<>(harness.requests.values())) {
                if (request.attemptsInFlight() > 0) {
                    harness.endAttempt(request.request.id(), AttemptOutcome.CONNECT_FAILED);
                }
            }
            assertTrue(ejection.ejectedUntilUs > harness.nowUs, "not ejected at " + i + ", seed " + SEED);
            assertTrue(
                    endpoint.slowStartCapacity(ejection.ejectedUntilUs, harness.settings.rules())
                            == harness.settings.rules().slowStartCapacity(),
                    endpoint.slowStartCapacity(ejection.ejectedUntilUs, harness.settings.rules())
                            + " after an ejection of " + (ejection.ejectedUntilUs - harness.nowUs) + " us, seed "
                            + SEED);
        }
    }

    /** Resets all queued and running attempts of an endpoint. */
    private void resetAttempts(SimulatedEndpoint endpoint) {
        List<SentAttempt> lost = new ArrayList<>(endpoint.runningUntilUs.keySet());
        lost.addAll(endpoint.queue);
        endpoint.runningUntilUs.clear();
        endpoint.queue.clear();
        for (SentAttempt attempt : lost) {
            deliveredAttempts.remove(attempt);
            Harness.TrackedRequest request = attempt.node().harness.requests.get(attempt.requestId());
            if (request != null && request.outcomes.get(attempt.attempt()) == null) {
                attempt.node()
                        .harness
                        .endAttempt(attempt.requestId(), attempt.attempt(), AttemptOutcome.RESET, LoadReport.NONE);
            }
        }
    }

    /**
     * One new endpoint, and more requests at each of a hundred nodes than it may send there: the sum of the sends in
     * the first window, over many fleets.
     */
    @Test
    void sumOfFirstSendsAndItsDeviationAreAsDesigned() {
        checkSums(0);
    }

    /**
     * The same where all nodes consider the endpoint when they are notified, and get their requests in a window that
     * begins within the first one and ends after it.
     */
    @Test
    void sumOfSendsIsNoLargerInAWindowThatOverlapsTwo() {
        checkSums(SECOND * 8 / 10);
    }

    private static void checkSums(long delayUs) {
        int fleets = 40;
        List<Integer> sums = new ArrayList<>();
        LoadBalancerSettings fleetSettings = Harness.withoutProbes(
                Harness.settings(
                        List.of(Harness.requestClass("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.NONE,
                        false,
                        false),
                100);
        for (int fleet = 0; fleet < fleets; fleet++) {
            int sum = 0;
            for (int node = 0; node < 100; node++) {
                sum += countSendsToNewEndpoint(fleetSettings, SEED + 1000L * fleet + node, delayUs);
            }
            sums.add(sum);
        }
        // One slot, a fifth of it at the start and all of it after 20 s, three times that for a second: 30 calls of 20
        // ms at
        // the start.
        double allowedCalls = 3 * (0.2 + 0.8 * delayUs / (20 * SECOND)) * SECOND / (20 * MILLISECOND);
        double expectedMean = Math.pow(Math.sqrt(1 + allowedCalls) - 1, 2);
        double mean = sums.stream().mapToInt(x -> x).average().orElse(0);
        double deviation = Math.sqrt(
                sums.stream().mapToDouble(x -> (x - mean) * (x - mean)).sum() / (fleets - 1));
        String summary = String.format(
                "seed %d, window after %d us: mean %.1f of %.1f, deviation %.1f, of %s",
                SEED, delayUs, mean, expectedMean, deviation, sums);
        System.out.println(summary);
        assertTrue(mean <= expectedMean + 3 * Math.sqrt(expectedMean / fleets) && mean >= expectedMean * 0.6, summary);
        assertTrue(deviation <= 1.3 * Math.sqrt(expectedMean), summary);
        assertTrue(sums.stream().allMatch(x -> x <= allowedCalls + 2 * Math.sqrt(allowedCalls) + 2), summary);
    }

    /**
     * Number of attempts that a node sends to the new endpoint in the window that begins {@code delayUs} after the
     * notification.
     */
    private static int countSendsToNewEndpoint(LoadBalancerSettings settings, long seed, long delayUs) {
        Harness harness = Harness.withLearnedRunTime(settings, seed, 20 * MILLISECOND);
        long listedAtUs = harness.nowUs;
        int count = 0;
        while (harness.nowUs < listedAtUs + delayUs + SECOND - STEP_US) {
            if (harness.nowUs == listedAtUs || harness.nowUs >= listedAtUs + delayUs) {
                harness.submit("r" + harness.nowUs, "c", "a", 5 * SECOND);
            }
            harness.advance(STEP_US);
            for (Harness.TrackedRequest request : new ArrayList<>(harness.requests.values())) {
                if (request.attemptsInFlight() > 0) {
                    count += "w0".equals(request.endpoints.get(0)) && request.sentAtUs.get(0) >= listedAtUs + delayUs
                            ? 1
                            : 0;
                    harness.endAttempt(request.request.id(), AttemptOutcome.OK);
                }
            }
            harness.requests.values().removeIf(request -> request.answer != null && request.attemptsInFlight() == 0);
        }
        return count;
    }
}
