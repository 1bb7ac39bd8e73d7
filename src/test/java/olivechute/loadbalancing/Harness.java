package olivechute.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A host that records what the module asks for and checks the rules on every action. */
final class Harness implements LoadBalancer.Helper {
    static final long MS = 1000;
    static final long S = 1_000_000;

    /** One request as the host sees it. */
    static final class Seen {
        Request request;
        RequestClass kind;
        long arrived;
        String answer;
        long retryAfter;
        final List<String> workers = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final List<AttemptOutcome> outcomes = new ArrayList<>();

        int out() {
            return (int) outcomes.stream().filter(o -> o == null).count();
        }
    }

    final LoadBalancerSettings settings;
    final ShareLoadBalancer module;
    final Map<String, Seen> seen = new LinkedHashMap<>();
    final Map<String, EndpointInfo> listed = new LinkedHashMap<>();
    final Map<String, Long> drainedAt = new LinkedHashMap<>();
    final List<String> log = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    int watches;
    long listOutOfDateFor;
    long now;

    Harness(LoadBalancerSettings settings, long seed) {
        this.settings = settings;
        module = new ShareLoadBalancer(settings, seed, this, new HealthView() {
            @Override
            public EndpointHealth endpoint(String worker) {
                return HealthView.NONE.endpoint(worker);
            }

            @Override
            public boolean allowsRetry(long at, String tenant, int requestClass, AttemptOutcome last, long left) {
                return HealthView.NONE.allowsRetry(at, tenant, requestClass, last, left);
            }

            @Override
            public long listStaleForUs(long at) {
                return listOutOfDateFor;
            }
        });
        module.start(now);
    }

    static RequestClass kind(String name, Idempotency effect, DeduplicationScope group) {
        return new RequestClass(name, 5 * S, 300 * MS, 2, 1, 0, effect, group, 2 * S, null, 0);
    }

    static LoadBalancerSettings settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            LoadReporting reports,
            boolean tellsStart,
            boolean parallel) {
        return new LoadBalancerSettings(
                classes,
                tenants,
                "z0",
                2,
                new ServiceRules(8 * MS, 10 * S, 500 * MS, 0.2, 20 * S, 3, S, false),
                new DispatchLimits(true, true, parallel, true, 3, 2 * S, 10 * S),
                reports,
                tellsStart,
                true,
                0.1,
                new CostWeights(0.02, 0.01, 0, 0),
                TailObjective.NONE,
                true);
    }

    static LoadBalancerSettings with(LoadBalancerSettings s, boolean onlyDraining, TailObjective tail) {
        ServiceRules r = s.rules();
        return new LoadBalancerSettings(
                s.classes(),
                s.tenants(),
                s.zone(),
                s.fleetSize(),
                new ServiceRules(
                        r.answerSlackUs(),
                        r.listPollIntervalUs(),
                        r.drainGraceUs(),
                        r.slowStartCapacity(),
                        r.slowStartDurationUs(),
                        r.overloadMultiple(),
                        r.overloadWindowUs(),
                        onlyDraining),
                s.limits(),
                s.loadReporting(),
                s.notifiesStart(),
                s.pollsList(),
                s.overQuotaWeight(),
                s.costs(),
                tail,
                s.marksRetries());
    }

    /** The same under other rules. */
    static LoadBalancerSettings ruled(LoadBalancerSettings s, ServiceRules rules) {
        return new LoadBalancerSettings(
                s.classes(),
                s.tenants(),
                s.zone(),
                s.fleetSize(),
                rules,
                s.limits(),
                s.loadReporting(),
                s.notifiesStart(),
                s.pollsList(),
                s.overQuotaWeight(),
                s.costs(),
                s.tail(),
                s.marksRetries());
    }

    /** The same where a node may go without a call for the list for so long. */
    static LoadBalancerSettings askingEvery(LoadBalancerSettings s, long askEvery) {
        ServiceRules r = s.rules();
        return ruled(
                s,
                new ServiceRules(
                        r.answerSlackUs(),
                        askEvery,
                        r.drainGraceUs(),
                        r.slowStartCapacity(),
                        r.slowStartDurationUs(),
                        r.overloadMultiple(),
                        r.overloadWindowUs(),
                        r.keepsUnlistedEndpoints()));
    }

    /** The same for a fleet of this size that may not probe. */
    static LoadBalancerSettings unasked(LoadBalancerSettings s, int nodes) {
        DispatchLimits l = s.limits();
        return new LoadBalancerSettings(
                s.classes(),
                s.tenants(),
                s.zone(),
                nodes,
                s.rules(),
                new DispatchLimits(
                        false,
                        l.cancelAllowed(),
                        l.hedgingAllowed(),
                        l.retryAfterAllowed(),
                        l.maxAttempts(),
                        l.maxRetryAfterUs(),
                        l.connectionIdleTimeoutUs()),
                s.loadReporting(),
                s.notifiesStart(),
                s.pollsList(),
                s.overQuotaWeight(),
                s.costs(),
                s.tail(),
                s.marksRetries());
    }

    static EndpointInfo entry(String worker, int cell, EndpointState state, long startedAt) {
        return new EndpointInfo(worker, "z" + cell % 2, "k", cell, state, 1, startedAt);
    }

    void list(ListUpdateKind kind, EndpointInfo... entries) {
        if (kind != ListUpdateKind.DELTA && kind != ListUpdateKind.FAILED) {
            for (String w : listed.keySet()) {
                if (!settings.rules().keepsUnlistedEndpoints()) {
                    drainedAt.putIfAbsent(w, now);
                }
            }
        }
        for (EndpointInfo e : entries) {
            listed.put(e.name(), e);
            if (e.state() == EndpointState.ACTIVE) {
                drainedAt.remove(e.name());
            } else if (e.state() == EndpointState.DRAINING || !settings.rules().keepsUnlistedEndpoints()) {
                drainedAt.putIfAbsent(e.name(), now);
            }
        }
        module.onListUpdate(now, kind, List.of(entries));
    }

    void workers(int n) {
        EndpointInfo[] entries = new EndpointInfo[n];
        for (int i = 0; i < n; i++) {
            entries[i] = entry("w" + i, 0, EndpointState.ACTIVE, 0);
        }
        list(ListUpdateKind.FULL, entries);
    }

    void request(String id, String kind, String tenant, long left) {
        arrive(id, kind, tenant, left, Double.NaN, false);
    }

    void retry(String id, String kind, String tenant, long left) {
        arrive(id, kind, tenant, left, Double.NaN, true);
    }

    void arrive(String id, String kind, String tenant, long left, double memory, boolean repeat) {
        Seen s = new Seen();
        s.request = new Request(id, kind, tenant, "k", left, Double.NaN, 1, memory, repeat);
        s.kind = settings.classes().stream()
                .filter(c -> c.name().equals(kind))
                .findFirst()
                .orElse(null);
        s.arrived = now;
        seen.put(id, s);
        module.onRequest(now, s.request);
    }

    void started(String id) {
        module.onAttemptSignal(now, id, seen.get(id).outcomes.size() - 1, AttemptSignal.STARTED, 0);
    }

    void outcome(String id, AttemptOutcome outcome) {
        outcome(id, seen.get(id).outcomes.size() - 1, outcome, LoadReport.NONE);
    }

    void outcome(String id, int n, AttemptOutcome outcome, LoadReport load) {
        Seen s = seen.get(id);
        s.outcomes.set(n, outcome);
        if (outcome == AttemptOutcome.OK && s.answer == null) {
            s.answer = "served";
        }
        module.onAttemptEnd(now, id, n, outcome, now - s.sentAt.get(n), s.answer != null, load);
    }

    /**
     * A node with one worker, w1, that has learned how long a job of class c takes, and is then told that w0 started.
     */
    static Harness learned(LoadBalancerSettings settings, long seed, long run) {
        Harness h = new Harness(settings, seed);
        h.now = 100 * S;
        h.list(ListUpdateKind.FULL, entry("w1", 0, EndpointState.ACTIVE, 0));
        for (int i = 0; i < 20; i++) {
            h.request("l" + i, "c", "a", 5 * S);
            h.advance(run);
            h.outcome("l" + i, AttemptOutcome.OK);
        }
        h.list(ListUpdateKind.FULL, entry("w0", 0, EndpointState.ACTIVE, h.now));
        return h;
    }

    /** Moves the clock, firing timers on the way, and checks that nothing is overdue. */
    void advance(long by) {
        long end = now + by;
        for (; ; ) {
            long[] next = null;
            for (long[] t : timers) {
                if (t[0] <= end && (next == null || t[0] < next[0])) {
                    next = t;
                }
            }
            Seen due = null; // attempts are cut at the client's deadline
            for (Seen s : seen.values()) {
                long until = s.arrived + s.request.timeLeftUs();
                if (s.out() > 0
                        && until <= end
                        && (next == null || until <= next[0])
                        && (due == null || until < due.arrived + due.request.timeLeftUs())) {
                    due = s;
                }
            }
            if (due != null) {
                now = Math.max(now, due.arrived + due.request.timeLeftUs());
                outcome(due.request.id(), due.outcomes.lastIndexOf(null), AttemptOutcome.TIMEOUT, LoadReport.NONE);
                continue;
            }
            if (next == null) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            module.onTimer(now, next[1]);
            for (Seen s : seen.values()) {
                assertTrue(
                        s.answer != null || s.out() > 0 || now <= s.arrived + s.request.timeLeftUs() + 8 * MS,
                        "no answer in time for " + s.request.id());
            }
        }
        now = end;
    }

    String answer(String id) {
        return seen.get(id).answer;
    }

    String workerOf(String id) {
        List<String> w = seen.get(id).workers;
        return w.isEmpty() ? null : w.get(w.size() - 1);
    }

    @Override
    public void send(String id, String worker, long timeout) {
        Seen s = seen.get(id);
        assertNotNull(s, "unknown request");
        assertEquals(null, s.answer, "sent after the final answer");
        assertTrue(listed.containsKey(worker), "never listed");
        assertTrue(
                drainedAt.get(worker) == null || now <= drainedAt.get(worker) + 500 * MS, "sent to a drained worker");
        assertTrue(s.workers.size() < settings.limits().maxAttempts(), "too many attempts");
        if (!settings.limits().hedgingAllowed()) {
            assertEquals(0, s.out(), "two attempts out");
        }
        for (int i = 0; i < s.outcomes.size(); i++) {
            AttemptOutcome o = s.outcomes.get(i);
            boolean mayHaveRun = o == null || !o.neverExecuted();
            if (mayHaveRun && s.kind.idempotency() == Idempotency.NOT_IDEMPOTENT) {
                throw new AssertionError("unsafe request sent again");
            }
            if (mayHaveRun && s.kind.idempotency() == Idempotency.KEYED) {
                EndpointInfo first = listed.get(s.workers.get(i));
                EndpointInfo next = listed.get(worker);
                assertTrue(now <= s.sentAt.get(i) + s.kind.deduplicationWindowUs(), "repeat after the window");
                assertTrue(
                        s.kind.deduplicationScope() == DeduplicationScope.ALL
                                || first.zone().equals(next.zone()),
                        "repeat outside the zone");
                assertTrue(
                        s.kind.deduplicationScope() != DeduplicationScope.CELL || first.cell() == next.cell(),
                        "repeat outside the cell");
            }
        }
        s.workers.add(worker);
        s.sentAt.add(now);
        s.outcomes.add(null);
        log.add(now + " send " + id + " " + worker);
    }

    @Override
    public void reject(String id, long retryAfter) {
        Seen s = seen.get(id);
        boolean proven = s.outcomes.stream().allMatch(o -> o != null && o.neverExecuted());
        assertTrue(
                s.kind.idempotency() == Idempotency.IDEMPOTENT
                        || proven
                        || (s.kind.idempotency() == Idempotency.KEYED
                                && s.kind.deduplicationScope() == DeduplicationScope.ALL),
                "refused though it may have run");
        assertTrue(retryAfter > 0 && retryAfter <= settings.limits().maxRetryAfterUs(), "advice " + retryAfter);
        s.retryAfter = retryAfter;
        end(s, "refused");
    }

    @Override
    public void fail(String id) {
        end(seen.get(id), "failed");
    }

    private void end(Seen s, String answer) {
        assertEquals(null, s.answer, "two final answers");
        assertFalse(now > s.arrived + s.request.timeLeftUs() + 8 * MS, "answered late");
        s.answer = answer;
        log.add(now + " " + answer + " " + s.request.id());
    }

    @Override
    public void cancel(String id, int attempt) {
        log.add(now + " cancel " + id + " " + attempt);
    }

    @Override
    public void probe(String worker) {
        log.add(now + " probe " + worker);
    }

    @Override
    public void closeIdleConnections(String worker) {
        log.add(now + " close " + worker);
    }

    @Override
    public void watchEndpointList() {
        watches++;
        log.add(now + " watch");
    }

    @Override
    public void schedule(long mark, long delay) {
        timers.add(new long[] {now + delay, mark});
    }
}
