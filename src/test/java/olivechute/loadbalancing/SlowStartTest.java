package olivechute.loadbalancing;

import static olivechute.loadbalancing.Harness.MS;
import static olivechute.loadbalancing.Harness.S;
import static olivechute.loadbalancing.Harness.entry;
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
 * The calls of all nodes together at workers that just started, in virtual time. With N the calls of mean work that a
 * worker bears in a stretch of {@code overload_for} at what it can do when the stretch begins, no stretch may hold more
 * than N + 2 sqrt(N) + 2.
 */
class SlowStartTest {
    private static final long SEED = 20261202;
    private static final long STEP = 10 * MS;
    private static final long LAG = 500 * MS; // of reports
    private static final long TOLD = 4 * S;
    private static final int[] SIZES = {3, 30, 100};

    /** What a fleet is told, and the worker's size. */
    private record Site(
            String name,
            int nodes,
            int old,
            int newcomers,
            int slots,
            double startCapacity,
            long rampTime,
            double fallMultiple,
            long overloadFor,
            List<Long> means,
            double load,
            LoadReporting reports) {}

    private record Sent(Node node, String job, int attempt, int kind) {}

    private record Bore(long at, double work) {}

    /** One node and its part of all traffic, in jobs for each microsecond and class. */
    private static final class Node {
        final Harness harness;
        final double[] rates;
        int jobs;

        Node(Harness harness, double[] rates) {
            this.harness = harness;
            this.rates = rates;
        }
    }

    /**
     * A worker: what waits, what runs and until when, what free slots it reports, what came in while it was watched.
     */
    private static final class Model {
        final Deque<Sent> queue = new ArrayDeque<>();
        final Map<Sent, Long> running = new LinkedHashMap<>();
        final Deque<Integer> free = new ArrayDeque<>();
        final List<Bore> bore = new ArrayList<>();
        long startedAt;
        boolean dead;
        boolean full;
        boolean boasts; // reports all of its slots as free, whatever it runs
    }

    private Site site;
    private LoadBalancerSettings settings;
    private SplittableRandom random;
    private long now;
    private double tide; // of the usual traffic, at present
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Model> workers = new TreeMap<>();
    private final Map<Sent, Integer> known = new HashMap<>();

    private void open(Site s, long seed) {
        site = s;
        random = new SplittableRandom(seed);
        now = 0;
        tide = 1;
        nodes.clear();
        workers.clear();
        known.clear();
        List<RequestClass> classes = new ArrayList<>();
        for (int c = 0; c < s.means().size(); c++) {
            classes.add(new RequestClass(
                    "c" + c,
                    5 * S,
                    Math.min(S, 150 * MS + s.means().get(c)),
                    2,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    2 * S,
                    null,
                    0));
        }
        LoadBalancerSettings base =
                Harness.unasked(Harness.settings(classes, List.of(), s.reports(), true, false), s.nodes());
        ServiceRules r = base.rules();
        settings = Harness.ruled(
                base,
                new ServiceRules(
                        r.answerSlackUs(),
                        r.listPollIntervalUs(),
                        r.drainGraceUs(),
                        s.startCapacity(),
                        s.rampTime(),
                        s.fallMultiple(),
                        s.overloadFor(),
                        r.keepsUnlistedEndpoints()));
        EndpointInfo[] entries = new EndpointInfo[s.old()];
        for (int w = 0; w < s.old(); w++) {
            workers.put("w" + w, new Model());
            entries[w] = entry("w" + w, 0, EndpointState.ACTIVE, 0);
        }
        // A tenth of the nodes has five parts of the traffic, a third next to none, the others one. Each class takes as
        // much time as any.
        double[] parts = new double[s.nodes()];
        double sum = 0;
        for (int n = 0; n < parts.length; n++) {
            parts[n] = n % 10 == 0 ? 5 : n % 3 == 1 ? 0.05 : 1;
            sum += parts[n];
        }
        for (int n = 0; n < parts.length; n++) {
            double[] rates = new double[s.means().size()];
            for (int c = 0; c < rates.length; c++) {
                rates[c] = s.load()
                        * s.old()
                        * s.slots()
                        * parts[n]
                        / sum
                        / rates.length
                        / s.means().get(c);
            }
            Harness h = new Harness(settings, seed + n);
            h.list(ListUpdateKind.FULL, entries);
            nodes.add(new Node(h, rates));
        }
    }

    private double meanWork() {
        double calls = 0;
        for (long mean : site.means()) {
            calls += 1.0 / mean;
        }
        return site.means().size() / calls;
    }

    /** Newcomers start, and all nodes are told at once. */
    private void join() {
        EndpointInfo[] entries = new EndpointInfo[site.newcomers()];
        for (int w = 0; w < entries.length; w++) {
            entries[w] = entry("new" + w, 0, EndpointState.ACTIVE, now);
            Model m = new Model();
            m.startedAt = now;
            workers.put("new" + w, m);
        }
        nodes.forEach(n -> n.harness.list(ListUpdateKind.DELTA, entries));
    }

    private double warmth(Model m, long at) {
        return m.startedAt == 0 || at - m.startedAt >= site.rampTime()
                ? 1
                : site.startCapacity() + (1 - site.startCapacity()) * Math.max(0, at - m.startedAt) / site.rampTime();
    }

    private void runUntil(long end) {
        while (now < end) {
            now += STEP;
            for (Node n : nodes) {
                n.harness.advance(now - n.harness.now);
                for (int c = 0; c < n.rates.length; c++) {
                    for (double due = tide * n.rates[c] * STEP; due > 0 && random.nextDouble() < due; due--) {
                        n.harness.request("r" + n.jobs++, "c" + c, "a", 5 * S);
                    }
                }
                carry(n);
            }
            workers.values().forEach(this::work);
        }
    }

    /** Hands what a node has just sent to its workers, and forgets what is over. */
    private void carry(Node node) {
        Harness h = node.harness;
        for (Harness.Seen s : new ArrayList<>(h.seen.values())) {
            int n = s.outcomes.size() - 1;
            if (n >= 0 && s.outcomes.get(n) == null) {
                arrive(node, s, n);
            }
        }
        for (Iterator<Harness.Seen> it = h.seen.values().iterator(); it.hasNext(); ) {
            Harness.Seen s = it.next();
            if (s.answer != null && s.out() == 0) {
                it.remove();
            }
        }
    }

    private void arrive(Node node, Harness.Seen s, int n) {
        Model m = workers.get(s.workers.get(n));
        int kind = Integer.parseInt(s.kind.name().substring(1));
        Sent sent = new Sent(node, s.request.id(), n, kind);
        if (m.dead) {
            m.bore.add(new Bore(now, site.means().get(kind)));
            node.harness.outcome(s.request.id(), n, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
        } else if (!known.containsKey(sent)) {
            known.put(sent, n);
            m.queue.add(sent);
            m.bore.add(new Bore(s.sentAt.get(n), site.means().get(kind)));
        }
    }

    private void work(Model m) {
        if (m.dead) {
            return;
        }
        for (Map.Entry<Sent, Long> e : new ArrayList<>(m.running.entrySet())) {
            if (e.getValue() <= now) {
                m.running.remove(e.getKey());
                known.remove(e.getKey());
                Harness h = e.getKey().node().harness;
                Harness.Seen s = h.seen.get(e.getKey().job());
                if (s != null && s.outcomes.get(e.getKey().attempt()) == null) {
                    h.outcome(
                            e.getKey().job(),
                            e.getKey().attempt(),
                            AttemptOutcome.OK,
                            site.reports() == LoadReporting.NONE
                                    ? LoadReport.NONE
                                    : new LoadReport(m.free.peekFirst(), Double.NaN, 0.5, 10));
                }
            }
        }
        int able = m.full ? 1 : (int) Math.max(1, Math.floor(warmth(m, now) * site.slots()));
        while (m.running.size() < able && !m.queue.isEmpty()) {
            Sent next = m.queue.poll();
            Harness.Seen s = next.node().harness.seen.get(next.job());
            if (s != null && s.outcomes.get(next.attempt()) == null) {
                m.running.put(next, now + (long) (site.means().get(next.kind()) * (0.5 + random.nextDouble())));
                next.node().harness.module.onAttemptSignal(now, next.job(), next.attempt(), AttemptSignal.STARTED, 0);
            }
        }
        m.free.addLast(
                m.full ? 0 : m.boasts ? site.slots() : Math.max(0, site.slots() - m.running.size() - m.queue.size()));
        if (m.free.size() > LAG / STEP) {
            m.free.removeFirst();
        }
    }

    /** The most that any stretch held, against what it may hold. */
    private double most(Model m) {
        double mean = meanWork();
        double most = 0;
        int last = 0;
        double sum = 0;
        for (int first = 0; first < m.bore.size() && m.bore.get(first).at() < m.startedAt + site.rampTime(); first++) {
            long from = m.bore.get(first).at();
            for (; last < m.bore.size() && m.bore.get(last).at() < from + site.overloadFor(); last++) {
                sum += m.bore.get(last).work();
            }
            double bears = site.fallMultiple() * warmth(m, from) * site.slots() * site.overloadFor() / mean;
            most = Math.max(most, sum / mean / (bears + 2 * Math.sqrt(bears) + 2));
            sum -= m.bore.get(first).work();
        }
        return most;
    }

    /**
     * What newcomers got since they came, as a part of what they can do in that time, and of what they bear where that
     * is less.
     */
    private double used() {
        double got = 0;
        double able = 0;
        for (Model m : workers.values()) {
            if (m.startedAt > 0) {
                got += m.bore.stream().mapToDouble(Bore::work).sum();
                for (long t = m.startedAt; t < now; t += STEP) {
                    able += STEP * warmth(m, t) * site.slots() * Math.min(1, site.fallMultiple());
                }
            }
        }
        return got / able;
    }

    private void holds(String what, double least) {
        double worst = 0;
        for (Model m : workers.values()) {
            worst = Math.max(worst, m.startedAt > 0 ? most(m) : 0);
        }
        String told = String.format(
                "seed %d, %s, %s: the fullest stretch held %.2f of what it may, newcomers got %.3f of what they can do, "
                        + "%.3f is least",
                SEED, what, site, worst, used(), least);
        System.out.println(told);
        assertTrue(worst <= 1 && used() >= least, told);
    }

    private void plain(Site s, long seed, double least) {
        open(s, seed);
        runUntil(TOLD);
        join();
        runUntil(TOLD + s.rampTime() / 2);
        holds("plain", least);
    }

    /**
     * Six in ten of the others report no room, and half of these take no connection: nodes look far beyond their usual
     * workers.
     */
    private void deep(Site s, long seed, double least) {
        open(s, seed);
        runUntil(TOLD);
        for (int w = 0; w < s.old() * 6 / 10; w++) {
            workers.get("w" + w).dead = w % 2 == 0;
            workers.get("w" + w).full = true;
        }
        runUntil(TOLD + S);
        join();
        runUntil(TOLD + S + s.rampTime() / 2);
        holds("deep", least);
    }

    /** Traffic comes to all nodes at once, around the end of each stretch that began when they were told. */
    private void waves(Site s, long seed, double least) {
        open(s, seed);
        runUntil(TOLD);
        join();
        long stretch = s.overloadFor();
        for (long t = TOLD; t < TOLD + s.rampTime() / 2; t += 2 * stretch) {
            tide = 0;
            runUntil(t + stretch * 8 / 10);
            tide = 3;
            runUntil(t + stretch * 12 / 10);
            tide = 0.3;
            runUntil(t + 2 * stretch);
        }
        holds("waves", least);
    }

    private void eachWay(Site s) {
        eachWay(s, 0.1, 0.1, 0.1);
    }

    private void eachWay(Site s, double plain, double deep, double waves) {
        plain(s, SEED, plain);
        deep(s, SEED, deep);
        waves(s, SEED, waves);
    }

    private static Site mixed(int nodes) {
        return new Site(
                "mixed",
                nodes,
                10,
                4,
                8,
                0.3,
                8 * S,
                1.5,
                S,
                List.of(30 * MS, 600 * MS),
                0.9,
                LoadReporting.WITH_RESPONSES);
    }

    @Test
    void usualSettings() {
        for (int n : SIZES) {
            eachWay(new Site(
                    "usual", n, 10, 4, 8, 0.3, 8 * S, 3, S, List.of(100 * MS), 0.9, LoadReporting.WITH_RESPONSES));
        }
    }

    @Test
    void littleIsBorneByManyNewcomersBeyondTheUsualReach() {
        for (int n : SIZES) {
            Site s = new Site(
                    "wide", n, 60, 10, 4, 0.1, 8 * S, 1.2, S, List.of(100 * MS), 0.5, LoadReporting.WITH_RESPONSES);
            deep(s, SEED, 0.1);
        }
    }

    @Test
    void aStretchThatIsLongAgainstTheRamp() {
        for (int n : SIZES) {
            eachWay(new Site(
                    "long", n, 10, 4, 8, 0.1, 8 * S, 1.2, 4 * S, List.of(100 * MS), 0.9, LoadReporting.WITH_RESPONSES));
        }
    }

    @Test
    void classesOfUnequalWorkShareWhatIsBorne() {
        eachWay(mixed(3));
        eachWay(mixed(30)); // 100 are held to more, below
    }

    /**
     * A tenth of a hundred nodes has half of the traffic. With an equal part each, and each class's part for that class
     * alone, the newcomers got 0.198, 0.252 and 0.128 of what they can do here.
     */
    @Test
    void busyNodesHaveMoreOfWhatIsBorneThanQuietOnes() {
        eachWay(mixed(100), 0.24, 0.31, 0.18);
    }

    /**
     * Reports that tell of no work make each node think that it has most of the fleet's: a part is never more than an
     * equal one of N.
     */
    @Test
    void reportsThatTellOfNoWorkDoNotMakeTheSumTooLarge() {
        for (int n : SIZES) {
            Site s = new Site(
                    "boasting", n, 10, 2, 8, 0.1, 16 * S, 1, S, List.of(100 * MS), 0.9, LoadReporting.WITH_RESPONSES);
            open(s, SEED);
            workers.values().forEach(m -> m.boasts = true);
            runUntil(TOLD);
            tide = 3;
            join();
            runUntil(TOLD + s.rampTime() / 2);
            holds("boasting", 0.1);
        }
    }

    @Test
    void nothingIsReported() {
        for (int n : SIZES) {
            deep(
                    new Site("unheard", n, 20, 4, 4, 0.3, 8 * S, 2, S, List.of(150 * MS), 0.7, LoadReporting.NONE),
                    SEED,
                    0.1);
        }
    }

    /**
     * Nodes that are up for a few seconds have seen one or two of a worker's slots in use, and none is reported. What
     * each of them has out at the other workers tells what all have there.
     */
    @Test
    void newcomersGetTheirPartWhereNothingIsReported() {
        eachWay(unreported(30), 0.4, 0.6, 0.36);
        eachWay(unreported(100), 0.25, 0.4, 0.22);
    }

    private static Site unreported(int nodes) {
        return new Site("unreported", nodes, 30, 10, 4, 0.3, 8 * S, 3, S, List.of(200 * MS), 0.7, LoadReporting.NONE);
    }

    /**
     * Little is borne, nodes have run for long enough to know the slots, and a tenth of them has half of the traffic.
     */
    @Test
    void unequalTrafficWithoutReportsDoesNotMakeTheSumTooLarge() {
        for (int n : SIZES) {
            Site s = new Site(
                    "unequal, unreported",
                    n,
                    10,
                    4,
                    8,
                    0.1,
                    8 * S,
                    1.2,
                    4 * S,
                    List.of(100 * MS),
                    0.9,
                    LoadReporting.NONE);
            eachWay(s);
            open(s, SEED);
            runUntil(10 * TOLD);
            tide = 2;
            join();
            runUntil(10 * TOLD + s.rampTime() / 2);
            holds("long up", 0.1);
        }
    }

    @Test
    void generatedSettings() {
        SplittableRandom draw = new SplittableRandom(SEED);
        for (int i = 0; i < 12; i++) {
            List<Long> means = new ArrayList<>();
            for (int c = 1 + draw.nextInt(3); c > 0; c--) {
                means.add((long) (20 * MS * Math.pow(20, draw.nextDouble())));
            }
            Site s = new Site(
                    "generated " + i,
                    SIZES[i % 3],
                    6 + draw.nextInt(20),
                    1 + draw.nextInt(6),
                    2 + draw.nextInt(10),
                    0.1 + 0.4 * draw.nextDouble(),
                    4 * S + draw.nextInt(8_000_000),
                    1 + 3 * draw.nextDouble(),
                    S / 2 + draw.nextInt(2_000_000),
                    means,
                    0.5 + 0.4 * draw.nextDouble(),
                    LoadReporting.WITH_RESPONSES);
            deep(s, SEED + i, 0.1);
        }
    }

    /** Down for long, which the list never tells: cold from when it is back, whatever is thought of when it fell. */
    @Test
    void aWorkerThatWasDownForLongIsColdWhenItIsBack() {
        for (int n : SIZES) {
            open(
                    new Site(
                            "back",
                            n,
                            10,
                            0,
                            8,
                            0.1,
                            12 * S,
                            1.2,
                            S,
                            List.of(100 * MS),
                            0.9,
                            LoadReporting.WITH_RESPONSES),
                    SEED);
            runUntil(TOLD);
            Model m = workers.get("w0");
            m.dead = true;
            fall(m);
            runUntil(TOLD + 6 * S);
            m.dead = false;
            m.bore.clear();
            m.free.clear();
            m.startedAt = now;
            runUntil(now + 8 * S);
            holds("back", 0.1);
        }
    }

    /**
     * It may come back at any moment of the rest that it was given: at the end of that it is taken to have just
     * started.
     */
    @Test
    void aWorkerSeenDownIsAsColdAsCanBeWhenItsRestEnds() {
        Harness h = new Harness(
                Harness.unasked(
                        Harness.settings(
                                List.of(Harness.kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                                List.of(),
                                LoadReporting.NONE,
                                true,
                                false),
                        1),
                SEED);
        h.now = 100 * S;
        h.workers(1);
        for (int i = 0; i < 20; i++) { // learns what a job takes: 20 ms
            h.request("l" + i, "c", "a", 60 * S);
            h.started("l" + i);
            h.advance(20 * MS);
            h.outcome("l" + i, AttemptOutcome.OK);
        }
        h.request("a", "c", "a", 60 * S);
        h.started("a");
        h.outcome("a", AttemptOutcome.RESET);
        Endpoint endpoint = h.module.endpoints().get("w0");
        OutlierState ejection = endpoint.outlierState;
        for (int i = 0; i < 8; i++) {
            h.advance(Math.max(0, ejection.ejectedUntilUs - h.now) + S); // and a stretch, as each try counts
            h.request("b" + i, "c", "a", 60 * S);
            for (Harness.Seen s : new ArrayList<>(h.seen.values())) {
                if (s.out() > 0) {
                    h.outcome(s.request.id(), AttemptOutcome.CONNECT_FAILED);
                }
            }
            assertTrue(ejection.ejectedUntilUs > h.now, "no rest at " + i + ", seed " + SEED);
            assertTrue(
                    endpoint.slowStartCapacity(ejection.ejectedUntilUs, h.settings.rules())
                            == h.settings.rules().slowStartCapacity(),
                    endpoint.slowStartCapacity(ejection.ejectedUntilUs, h.settings.rules()) + " after a rest of "
                            + (ejection.ejectedUntilUs - h.now) + " us, seed " + SEED);
        }
    }

    /** All that it had breaks off. */
    private void fall(Model m) {
        List<Sent> had = new ArrayList<>(m.running.keySet());
        had.addAll(m.queue);
        m.running.clear();
        m.queue.clear();
        for (Sent s : had) {
            known.remove(s);
            Harness.Seen seen = s.node().harness.seen.get(s.job());
            if (seen != null && seen.outcomes.get(s.attempt()) == null) {
                s.node().harness.outcome(s.job(), s.attempt(), AttemptOutcome.RESET, LoadReport.NONE);
            }
        }
    }

    /**
     * One newcomer, and more jobs at each of a hundred nodes than it may send: the sum in the first stretch, over many
     * fleets.
     */
    @Test
    void theSumAndItsSpreadAreAsTheDesignSays() {
        sums(0);
    }

    /**
     * The same where all see it when they are told, and have their jobs in a stretch that begins within the first and
     * ends beyond.
     */
    @Test
    void theSumIsNoLargerInAStretchThatTouchesTwo() {
        sums(S * 8 / 10);
    }

    private static void sums(long quiet) {
        int fleets = 40;
        List<Integer> sums = new ArrayList<>();
        LoadBalancerSettings plain = Harness.unasked(
                Harness.settings(
                        List.of(Harness.kind("c", Idempotency.IDEMPOTENT, DeduplicationScope.ALL)),
                        List.of(),
                        LoadReporting.NONE,
                        false,
                        false),
                100);
        for (int f = 0; f < fleets; f++) {
            int sum = 0;
            for (int n = 0; n < 100; n++) {
                sum += sent(plain, SEED + 1000L * f + n, quiet);
            }
            sums.add(sum);
        }
        // One slot, a fifth of it at first and all in 20 s, three times that for a second: 30 calls of 20 ms at first.
        double bears = 3 * (0.2 + 0.8 * quiet / (20 * S)) * S / (20 * MS);
        double all = Math.pow(Math.sqrt(1 + bears) - 1, 2);
        double mean = sums.stream().mapToInt(x -> x).average().orElse(0);
        double spread = Math.sqrt(
                sums.stream().mapToDouble(x -> (x - mean) * (x - mean)).sum() / (fleets - 1));
        String told = String.format(
                "seed %d, quiet for %d us: mean %.1f of %.1f, spread %.1f, of %s",
                SEED, quiet, mean, all, spread, sums);
        System.out.println(told);
        assertTrue(mean <= all + 3 * Math.sqrt(all / fleets) && mean >= all * 0.6, told);
        assertTrue(spread <= 1.3 * Math.sqrt(all), told);
        assertTrue(sums.stream().allMatch(x -> x <= bears + 2 * Math.sqrt(bears) + 2), told);
    }

    /** What a node sends the newcomer in the stretch that begins so long after it was told. */
    private static int sent(LoadBalancerSettings settings, long seed, long quiet) {
        Harness h = Harness.learned(settings, seed, 20 * MS);
        long told = h.now;
        int sent = 0;
        while (h.now < told + quiet + S - STEP) {
            if (h.now == told || h.now >= told + quiet) {
                h.request("r" + h.now, "c", "a", 5 * S);
            }
            h.advance(STEP);
            for (Harness.Seen s : new ArrayList<>(h.seen.values())) {
                if (s.out() > 0) {
                    sent += "w0".equals(s.workers.get(0)) && s.sentAt.get(0) >= told + quiet ? 1 : 0;
                    h.outcome(s.request.id(), AttemptOutcome.OK);
                }
            }
            h.seen.values().removeIf(s -> s.answer != null && s.out() == 0);
        }
        return sent;
    }
}
