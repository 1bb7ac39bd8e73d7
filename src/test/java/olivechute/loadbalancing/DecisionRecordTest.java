package olivechute.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of the load balancer's decisions, as by a refactoring. Executes twenty-eight seeded
 * runs and compares the digest of each run's actions with the one recorded in decision-digests.txt. An intended change
 * of behaviour replaces that file, and its commit says why.
 */
class DecisionRecordTest {
    private static final long MILLISECOND = 1000;
    private static final long SECOND = 1_000_000;
    private static final int SEEDS = 2;

    @Test
    void decisionsMatchTheRecordedDigests() throws IOException {
        List<String> digests = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (RecordedRun.Plan plan : plans(seed)) {
                digests.add(RecordedRun.execute(plan));
            }
        }
        try (InputStream in = DecisionRecordTest.class.getResourceAsStream("/decision-digests.txt")) {
            String recorded = new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
            assertEquals(recorded, String.join("\n", digests));
        }
    }

    @Test
    void sameSeedRepeatsTheRunAndAnotherSeedDoesNot() {
        String first = RecordedRun.execute(plans(1).get(0));
        assertEquals(first, RecordedRun.execute(plans(1).get(0)));
        assertTrue(
                !first.split(" ")[2].equals(RecordedRun.execute(plans(2).get(0)).split(" ")[2]));
    }

    private static List<RecordedRun.Plan> plans(long seed) {
        List<RecordedRun.Plan> plans = new ArrayList<>();
        addPlan(plans, "harbour-stamps", seed, harbourStamps(), 10, 60, false);
        addPlan(plans, "harbour-stamps-overload", seed, harbourStamps(), 4, 120, false);
        addPlan(plans, "harbour-stamps-sockets", seed, harbourStamps(), 10, 60, true);
        addPlan(plans, "quarry-scans", seed, quarryScans(), 10, 60, false);
        addPlan(plans, "quarry-scans-overload", seed, quarryScans(), 4, 120, false);
        addPlan(plans, "quarry-scans-sockets", seed, quarryScans(), 10, 60, true);
        addPlan(plans, "probed", seed, probed(), 12, 50, false);
        addPlan(plans, "probed-sockets", seed, probed(), 12, 70, true);
        addPlan(plans, "probed-overload", seed, probed(), 3, 120, false);
        addPlan(plans, "without-starts", seed, withoutStarts(), 8, 50, false);
        addPlan(plans, "without-starts-sockets", seed, withoutStarts(), 8, 50, true);
        addPlan(plans, "one-zone-large-fleet", seed, oneZone(), 60, 80, false);
        addPlan(plans, "only-draining-binds", seed, onlyDrainingBinds(), 10, 60, false);
        addPlan(plans, "only-draining-binds-sockets", seed, onlyDrainingBinds(), 10, 60, true);
        return plans;
    }

    private static void addPlan(
            List<RecordedRun.Plan> plans,
            String name,
            long seed,
            LoadBalancerSettings settings,
            int endpoints,
            double requestsPerSecond,
            boolean socketFaults) {
        plans.add(new RecordedRun.Plan(
                name + "-" + seed, 1000 * seed + plans.size(), settings, endpoints, requestsPerSecond, socketFaults));
    }

    private static RequestClass requestClass(
            String name,
            long deadlineUs,
            long latencyObjectiveUs,
            double priorityWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs) {
        return new RequestClass(
                name,
                deadlineUs,
                latencyObjectiveUs,
                2,
                priorityWeight,
                0.25 * priorityWeight,
                idempotency,
                deduplicationScope,
                deduplicationWindowUs,
                null,
                0);
    }

    private static List<Tenant> tenants() {
        return List.of(new Tenant("north", 0.5, 20), new Tenant("south", 0.3, 12), new Tenant("east", 0.2, 8));
    }

    private static LoadBalancerSettings harbourStamps() {
        return new LoadBalancerSettings(
                List.of(
                        requestClass(
                                "inspect",
                                4 * SECOND,
                                200 * MILLISECOND,
                                1,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0),
                        requestClass(
                                "stamp",
                                4 * SECOND,
                                200 * MILLISECOND,
                                6,
                                Idempotency.NOT_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0),
                        requestClass(
                                "register",
                                6 * SECOND,
                                300 * MILLISECOND,
                                4,
                                Idempotency.KEYED,
                                DeduplicationScope.ALL,
                                4 * SECOND)),
                tenants(),
                "z0",
                6,
                new ServiceRules(
                        10 * MILLISECOND,
                        2 * SECOND,
                        800 * MILLISECOND,
                        0.3,
                        6 * SECOND,
                        3.5,
                        1500 * MILLISECOND,
                        false),
                new DispatchLimits(false, true, false, true, 2, 1500 * MILLISECOND, 8 * SECOND),
                LoadReporting.WITH_RESPONSES,
                true,
                true,
                0.2,
                new CostWeights(0.01, 0, 0.02, 0),
                new TailObjective(0.45, 0.1),
                true);
    }

    private static LoadBalancerSettings quarryScans() {
        return new LoadBalancerSettings(
                List.of(
                        requestClass(
                                "preview",
                                3 * SECOND,
                                200 * MILLISECOND,
                                1,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0),
                        requestClass(
                                "index",
                                3 * SECOND,
                                200 * MILLISECOND,
                                5,
                                Idempotency.KEYED,
                                DeduplicationScope.ALL,
                                1500 * MILLISECOND),
                        requestClass(
                                "archive",
                                9 * SECOND,
                                300 * MILLISECOND,
                                8,
                                Idempotency.NOT_IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0)),
                tenants(),
                "z0",
                6,
                new ServiceRules(
                        10 * MILLISECOND, 0, 1200 * MILLISECOND, 0.3, 6 * SECOND, 3, 1500 * MILLISECOND, false),
                new DispatchLimits(false, true, false, true, 3, 1500 * MILLISECOND, 20 * SECOND),
                LoadReporting.NONE,
                true,
                false,
                0.2,
                new CostWeights(0.01, 0, 0.02, 0),
                TailObjective.NONE,
                true);
    }

    private static LoadBalancerSettings probed() {
        return new LoadBalancerSettings(
                List.of(
                        requestClass(
                                "sign",
                                5 * SECOND,
                                300 * MILLISECOND,
                                3,
                                Idempotency.KEYED,
                                DeduplicationScope.ZONE,
                                2 * SECOND),
                        requestClass(
                                "verify",
                                4 * SECOND,
                                150 * MILLISECOND,
                                1,
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0),
                        new RequestClass(
                                "large-only",
                                5 * SECOND,
                                300 * MILLISECOND,
                                2,
                                2,
                                0,
                                Idempotency.KEYED,
                                DeduplicationScope.CELL,
                                2 * SECOND,
                                "large",
                                1)),
                tenants(),
                "z1",
                4,
                new ServiceRules(8 * MILLISECOND, 10 * SECOND, 500 * MILLISECOND, 0.2, 20 * SECOND, 3, SECOND, false),
                new DispatchLimits(true, true, true, true, 3, 2 * SECOND, 10 * SECOND),
                LoadReporting.ON_PROBE,
                true,
                true,
                0.1,
                new CostWeights(0.02, 0.01, 0.01, 0.05),
                TailObjective.NONE,
                false);
    }

    private static LoadBalancerSettings withoutStarts() {
        LoadBalancerSettings base = probed();
        return new LoadBalancerSettings(
                base.classes(),
                List.of(),
                "z2",
                2,
                base.rules(),
                base.limits(),
                LoadReporting.WITH_RESPONSES,
                false,
                true,
                1,
                base.costs(),
                base.tail(),
                true);
    }

    private static LoadBalancerSettings oneZone() {
        LoadBalancerSettings base = harbourStamps();
        return new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                "",
                100,
                base.rules(),
                base.limits(),
                base.loadReporting(),
                true,
                false,
                base.overQuotaWeight(),
                base.costs(),
                base.tail(),
                true);
    }

    private static LoadBalancerSettings onlyDrainingBinds() {
        LoadBalancerSettings base = probed();
        ServiceRules rules = base.rules();
        return new LoadBalancerSettings(
                base.classes(),
                base.tenants(),
                "z0",
                8,
                new ServiceRules(
                        rules.answerSlackUs(),
                        rules.listPollIntervalUs(),
                        rules.drainGraceUs(),
                        rules.slowStartCapacity(),
                        rules.slowStartDurationUs(),
                        rules.overloadMultiple(),
                        rules.overloadWindowUs(),
                        true),
                base.limits(),
                LoadReporting.WITH_RESPONSES,
                true,
                true,
                base.overQuotaWeight(),
                base.costs(),
                new TailObjective(0.35, 0.01),
                true);
    }
}
