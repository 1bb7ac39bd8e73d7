package olivechute.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands in for the node: passes events to a load balancer in virtual time, records the actions that it requests, and
 * checks on every action that the rules are kept. Times are microseconds.
 */
final class Harness implements LoadBalancer.Helper {
    static final long MILLISECOND = 1000;
    static final long SECOND = 1_000_000;

    /** One request as the node sees it. */
    static final class TrackedRequest {
        Request request;
        RequestClass requestClass;
        long arrivedAtUs;
        String answer;
        long retryAfterUs;
        final List<String> endpoints = new ArrayList<>();
        final List<Long> sentAtUs = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();

        int attemptsInFlight() {
            return (int) outcomes.stream().filter(outcome -> outcome == null).count();
        }
    }

    final LoadBalancerSettings settings;
    final ShareLoadBalancer loadBalancer;
    final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    final Map<String, EndpointInfo> listedEndpoints = new LinkedHashMap<>();
    final Map<String, Long> drainedAtUs = new LinkedHashMap<>();
    final List<String> actionLog = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    int watchCalls;
    long listStaleForUs;
    long nowUs;

    Harness(LoadBalancerSettings settings, long seed) {
        this.settings = settings;
        loadBalancer = new ShareLoadBalancer(settings, seed, this, new HealthView() {
            @Override
            public EndpointHealth endpoint(String endpoint) {
                return HealthView.NONE.endpoint(endpoint);
            }

            @Override
            public boolean allowsRetry(long atUs, String tenant, int classIndex, AttemptOutcome last, long timeLeftUs) {
                return HealthView.NONE.allowsRetry(atUs, tenant, classIndex, last, timeLeftUs);
            }

            @Override
            public long listStaleForUs(long atUs) {
                return listStaleForUs;
            }
        });
        loadBalancer.start(nowUs);
    }

    static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope deduplicationScope) {
        return new RequestClass(
                name, 5 * SECOND, 300 * MILLISECOND, 2, 1, 0, idempotency, deduplicationScope, 2 * SECOND, null, 0);
    }

    static LoadBalancerSettings settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            LoadReporting loadReporting,
            boolean notifiesStart,
            boolean hedgingAllowed) {
        return new LoadBalancerSettings(
                classes,
                tenants,
                "z0",
                2,
                new ServiceRules(8 * MILLISECOND, 10 * SECOND, 500 * MILLISECOND, 0.2, 20 * SECOND, 3, SECOND, false),
                new DispatchLimits(true, true, hedgingAllowed, true, 3, 2 * SECOND, 10 * SECOND),
                loadReporting,
                notifiesStart,
                true,
                0.1,
                new CostWeights(0.02, 0.01, 0, 0),
                TailObjective.NONE,
                true);
    }

    static LoadBalancerSettings withDrainRuleAndTail(
            LoadBalancerSettings base, boolean onlyDrainingBinds, TailObjective tail) {
        ServiceRules rules = base.rules();
        return new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                base.zone(),
                base.fleetSize(),
                new ServiceRules(
                        rules.answerSlackUs(),
                        rules.listPollIntervalUs(),
                        rules.drainGraceUs(),
                        rules.slowStartCapacity(),
                        rules.slowStartDurationUs(),
                        rules.overloadMultiple(),
                        rules.overloadWindowUs(),
                        onlyDrainingBinds),
                base.limits(),
                base.loadReporting(),
                base.notifiesStart(),
                base.pollsList(),
                base.overQuotaWeight(),
                base.costs(),
                tail,
                base.marksRetries());
    }

    /** The same settings with other rules. */
    static LoadBalancerSettings withRules(LoadBalancerSettings base, ServiceRules rules) {
        return new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                base.zone(),
                base.fleetSize(),
                rules,
                base.limits(),
                base.loadReporting(),
                base.notifiesStart(),
                base.pollsList(),
                base.overQuotaWeight(),
                base.costs(),
                base.tail(),
                base.marksRetries());
    }

    /** The same settings with another poll interval. */
    static LoadBalancerSettings withPollInterval(LoadBalancerSettings base, long pollIntervalUs) {
        ServiceRules rules = base.rules();
        return withRules(
                base,
                new ServiceRules(
                        rules.answerSlackUs(),
                        pollIntervalUs,
                        rules.drainGraceUs(),
                        rules.slowStartCapacity(),
                        rules.slowStartDurationUs(),
                        rules.overloadMultiple(),
                        rules.overloadWindowUs(),
                        rules.keepsUnlistedEndpoints()));
    }

    /** The same settings for a fleet of this size, with probes not allowed. */
    static LoadBalancerSettings withoutProbes(LoadBalancerSettings base, int fleetSize) {
        DispatchLimits limits = base.limits();
        return new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                base.zone(),
                fleetSize,
                base.rules(),
                new DispatchLimits(
                        false,
                        limits.cancelAllowed(),
                        limits.hedgingAllowed(),
                        limits.retryAfterAllowed(),
                        limits.maxAttempts(),
                        limits.maxRetryAfterUs(),
                        limits.connectionIdleTimeoutUs()),
                base.loadReporting(),
                base.notifiesStart(),
                base.pollsList(),
                base.overQuotaWeight(),
                base.costs(),
                base.tail(),
                base.marksRetries());
    }

    static EndpointInfo endpointInfo(String name, int cell, EndpointState state, long startedAtUs) {
        return new EndpointInfo(name, "z" + cell % 2, "k", cell, state, 1, startedAtUs);
    }

    void updateList(ListUpdateKind kind, EndpointInfo... endpoints) {
        if (kind != ListUpdateKind.DELTA && kind != ListUpdateKind.FAILED) {
            for (String name : listedEndpoints.keySet()) {
                if (!settings.rules().keepsUnlistedEndpoints()) {
                    drainedAtUs.putIfAbsent(name, nowUs);
                }
            }
        }
        for (EndpointInfo endpoint : endpoints) {
            listedEndpoints.put(endpoint.name(), endpoint);
            if (endpoint.state() == EndpointState.ACTIVE) {
                drainedAtUs.remove(endpoint.name());
            } else if (endpoint.state() == EndpointState.DRAINING
                    || !settings.rules().keepsUnlistedEndpoints()) {
                drainedAtUs.putIfAbsent(endpoint.name(), nowUs);
            }
        }
        loadBalancer.onListUpdate(nowUs, kind, List.of(endpoints));
    }

    void listActiveEndpoints(int count) {
        EndpointInfo[] endpoints = new EndpointInfo[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = endpointInfo("w" + i, 0, EndpointState.ACTIVE, 0);
        }
        updateList(ListUpdateKind.FULL, endpoints);
    }

    void submit(String id, String className, String tenant, long timeLeftUs) {
        submitRequest(id, className, tenant, timeLeftUs, Double.NaN, false);
    }

    void submitRetry(String id, String className, String tenant, long timeLeftUs) {
        submitRequest(id, className, tenant, timeLeftUs, Double.NaN, true);
    }

    void submitRequest(String id, String className, String tenant, long timeLeftUs, double memory, boolean retry) {
        TrackedRequest tracked = new TrackedRequest();
        tracked.request = new Request(id, className, tenant, "k", timeLeftUs, Double.NaN, 1, memory, retry);
        tracked.requestClass = settings.classes().stream()
                .filter(candidate -> candidate.name().equals(className))
                .findFirst()
                .orElse(null);
        tracked.arrivedAtUs = nowUs;
        requests.put(id, tracked);
        loadBalancer.onRequest(nowUs, tracked.request);
    }

    void reportStarted(String id) {
        loadBalancer.onAttemptSignal(nowUs, id, requests.get(id).outcomes.size() - 1, AttemptSignal.STARTED, 0);
    }

    void endAttempt(String id, AttemptOutcome outcome) {
        endAttempt(id, requests.get(id).outcomes.size() - 1, outcome, LoadReport.NONE);
    }

    void endAttempt(String id, int attempt, AttemptOutcome outcome, LoadReport load) {
        TrackedRequest tracked = requests.get(id);
        tracked.outcomes.set(attempt, outcome);
        if (outcome == AttemptOutcome.OK && tracked.answer == null) {
            tracked.answer = "served";
        }
        loadBalancer.onAttemptEnd(
                nowUs, id, attempt, outcome, nowUs - tracked.sentAtUs.get(attempt), tracked.answer != null, load);
    }

    /**
     * A node with one endpoint, w1, that has learned how long a request of class c runs and is then notified that
     * endpoint w0 has just started.
     */
    static Harness withLearnedRunTime(LoadBalancerSettings settings, long seed, long runTimeUs) {
        Harness harness = new Harness(settings, seed);
        harness.nowUs = 100 * SECOND;
        harness.updateList(ListUpdateKind.FULL, endpointInfo("w1", 0, EndpointState.ACTIVE, 0));
        for (int i = 0; i < 20; i++) {
            harness.submit("l" + i, "c", "a", 5 * SECOND);
            harness.advance(runTimeUs);
            harness.endAttempt("l" + i, AttemptOutcome.OK);
        }
        harness.updateList(ListUpdateKind.FULL, endpointInfo("w0", 0, EndpointState.ACTIVE, harness.nowUs));
        return harness;
    }

    /** Moves the clock forward, fires the timers that are due, and checks that no answer is overdue. */
    void advance(long durationUs) {
        long endUs = nowUs + durationUs;
        for (; ; ) {
            long[] nextTimer = null;
            for (long[] timer : timers) {
                if (timer[0] <= endUs && (nextTimer == null || timer[0] < nextTimer[0])) {
                    nextTimer = timer;
                }
            }
            TrackedRequest overdue = null; // attempts time out at the client's deadline
            for (TrackedRequest tracked : requests.values()) {
                long deadlineUs = tracked.arrivedAtUs + tracked.request.timeLeftUs();
                if (tracked.attemptsInFlight() > 0
                        && deadlineUs <= endUs
                        && (nextTimer == null || deadlineUs <= nextTimer[0])
                        && (overdue == null || deadlineUs < overdue.arrivedAtUs + overdue.request.timeLeftUs())) {
                    overdue = tracked;
                }
            }
            if (overdue != null) {
                nowUs = Math.max(nowUs, overdue.arrivedAtUs + overdue.request.timeLeftUs());
                endAttempt(
                        overdue.request.id(),
                        overdue.outcomes.lastIndexOf(null),
                        AttemptOutcome.TIMEOUT,
                        LoadReport.NONE);
                continue;
            }
            if (nextTimer == null) {
                break;
            }
            timers.remove(nextTimer);
            nowUs = Math.max(nowUs, nextTimer[0]);
            loadBalancer.onTimer(nowUs, nextTimer[1]);
            for (TrackedRequest tracked : requests.values()) {
                assertTrue(
                        tracked.answer != null
                                || tracked.attemptsInFlight() > 0
                                || nowUs <= tracked.arrivedAtUs + tracked.request.timeLeftUs() + 8 * MILLISECOND,
                        "no answer in time for " + tracked.request.id());
            }
        }
        nowUs = endUs;
    }

    String answerOf(String id) {
        return requests.get(id).answer;
    }

    String lastEndpointOf(String id) {
        List<String> endpoints = requests.get(id).endpoints;
        return endpoints.isEmpty() ? null : endpoints.get(endpoints.size() - 1);
    }

    @Override
    public void send(String id, String endpoint, long timeoutUs) {
        TrackedRequest tracked = requests.get(id);
        assertNotNull(tracked, "unknown request");
        assertEquals(null, tracked.answer, "sent after the final answer");
        assertTrue(listedEndpoints.containsKey(endpoint), "endpoint was never listed");
        assertTrue(
                drainedAtUs.get(endpoint) == null || nowUs <= drainedAtUs.get(endpoint) + 500 * MILLISECOND,
                "sent to a drained endpoint");
        assertTrue(tracked.endpoints.size() < settings.limits().maxAttempts(), "too many attempts");
        if (!settings.limits().hedgingAllowed()) {
            assertEquals(0, tracked.attemptsInFlight(), "two attempts in flight");
        }
        for (int i = 0; i < tracked.outcomes.size(); i++) {
            AttemptOutcome outcome = tracked.outcomes.get(i);
            boolean mayHaveRun = outcome == null || !outcome.neverExecuted();
            if (mayHaveRun && tracked.requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
                throw new AssertionError("non-idempotent request sent again");
            }
            if (mayHaveRun && tracked.requestClass.idempotency() == Idempotency.KEYED) {
                EndpointInfo first = listedEndpoints.get(tracked.endpoints.get(i));
                EndpointInfo next = listedEndpoints.get(endpoint);
                assertTrue(
                        nowUs <= tracked.sentAtUs.get(i) + tracked.requestClass.deduplicationWindowUs(),
                        "retry after the deduplication window");
                assertTrue(
                        tracked.requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || first.zone().equals(next.zone()),
                        "retry outside the zone");
                assertTrue(
                        tracked.requestClass.deduplicationScope() != DeduplicationScope.CELL
                                || first.cell() == next.cell(),
                        "retry outside the cell");
            }
        }
        tracked.endpoints.add(endpoint);
        tracked.sentAtUs.add(nowUs);
        tracked.outcomes.add(null);
        actionLog.add(nowUs + " send " + id + " " + endpoint);
    }

    @Override
    public void reject(String id, long retryAfterUs) {
        TrackedRequest tracked = requests.get(id);
        boolean neverExecuted =
                tracked.outcomes.stream().allMatch(outcome -> outcome != null && outcome.neverExecuted());
        assertTrue(
                tracked.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || neverExecuted
                        || (tracked.requestClass.idempotency() == Idempotency.KEYED
                                && tracked.requestClass.deduplicationScope() == DeduplicationScope.ALL),
                "rejected though it may have been executed");
        assertTrue(
                retryAfterUs > 0 && retryAfterUs <= settings.limits().maxRetryAfterUs(), "Retry-After " + retryAfterUs);
        tracked.retryAfterUs = retryAfterUs;
        finish(tracked, "refused");
    }

    @Override
    public void fail(String id) {
        finish(requests.get(id), "failed");
    }

    private void finish(TrackedRequest tracked, String answer) {
        assertEquals(null, tracked.answer, "two final answers");
        assertFalse(nowUs > tracked.arrivedAtUs + tracked.request.timeLeftUs() + 8 * MILLISECOND, "answered late");
        tracked.answer = answer;
        actionLog.add(nowUs + " " + answer + " " + tracked.request.id());
    }

    @Override
    public void cancel(String id, int attempt) {
        actionLog.add(nowUs + " cancel " + id + " " + attempt);
    }

    @Override
    public void probe(String endpoint) {
        actionLog.add(nowUs + " probe " + endpoint);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        actionLog.add(nowUs + " close " + endpoint);
    }

    @Override
    public void watchEndpointList() {
        watchCalls++;
        actionLog.add(nowUs + " watch");
    }

    @Override
    public void schedule(long timerId, long delayUs) {
        timers.add(new long[] {nowUs + delayUs, timerId});
    }
}
