package olivechute.config;

import java.util.ArrayList;
import java.util.List;
import olivechute.loadbalancing.CostWeights;
import olivechute.loadbalancing.DeduplicationScope;
import olivechute.loadbalancing.DispatchLimits;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.LoadReporting;
import olivechute.loadbalancing.RequestClass;
import olivechute.loadbalancing.ServiceRules;
import olivechute.loadbalancing.TailObjective;
import olivechute.loadbalancing.Tenant;

/**
 * Decodes the load balancer settings from JSON, for the node's configuration and for the simulator's first message.
 * Durations are seconds in JSON and microseconds in the result.
 */
public final class LoadBalancerSettingsDecoder {
    private LoadBalancerSettingsDecoder() {}

    /** Decodes all settings; absent keys get the defaults given here. */
    public static LoadBalancerSettings settings(JsonFields json) {
        return new LoadBalancerSettings(
                classes(json),
                tenants(json),
                json.textOr("az", ""),
                fleetSize(json),
                rules(json.node("rules")),
                limits(json.node("ceilings")),
                loadReporting(json),
                json.node("domain").flag("tells_start"),
                json.textOr("discovery", "automatic").equals("subscribe"),
                json.numberOr("over_share_worth", 1),
                costWeights(json.node("prices")),
                tail(json.node("result_mix")),
                json.node("clients").flag("marks_retry"));
    }

    /** Returns one reader for each section, so that an error in one section does not hide errors in another. */
    static List<Runnable> sectionReaders(JsonFields json) {
        List<Runnable> readers = new ArrayList<>(List.of(
                () -> json.textOr("az", ""),
                () -> fleetSize(json),
                () -> rules(json.node("rules")),
                () -> limits(json.node("ceilings")),
                () -> loadReporting(json),
                () -> json.node("domain").flag("tells_start"),
                () -> json.textOr("discovery", ""),
                () -> json.numberOr("over_share_worth", 1),
                () -> costWeights(json.node("prices")),
                () -> tail(json.node("result_mix")),
                () -> json.node("clients").flag("marks_retry")));
        readers.add(() -> {
            for (int i = 0; i < json.nodes("profiles").size(); i++) {
                int index = i;
                readers.add(() -> requestClass(json, index));
            }
        });
        readers.add(() -> json.nodes("accounts").forEach(t -> readers.add(() -> tenant(t))));
        return readers;
    }

    private static int fleetSize(JsonFields json) {
        return (int) json.integerOr("fleet_size", 1);
    }

    private static List<RequestClass> classes(JsonFields json) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < json.nodes("profiles").size(); i++) {
            classes.add(requestClass(json, i));
        }
        return classes;
    }

    private static RequestClass requestClass(JsonFields json, int index) {
        JsonFields domain = json.node("domain");
        JsonFields profile = json.nodes("profiles").get(index);
        List<Object> kindNames = json.list("kinds");
        Idempotency idempotency =
                switch (profile.textOr("effect", "fragile")) {
                    case "retryable" -> Idempotency.IDEMPOTENT;
                    case "dedup" -> Idempotency.KEYED;
                    case "fragile" -> Idempotency.NOT_IDEMPOTENT;
                    default -> throw profile.unknownValue("effect");
                };
        DeduplicationScope deduplicationScope =
                switch (profile.textOr("group", "cell")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw profile.unknownValue("group");
                };
        long deadline = profile.micros("deadline");
        int kindIndex = (int) numberAt(domain.list("class_kind"), index, -1);
        return new RequestClass(
                profile.text("name"),
                deadline,
                Math.min(deadline, profile.microsOr("goal_time", deadline)),
                profile.numberOr("aim_stretch", numberAt(domain.list("class_stretch"), index, 0)),
                profile.numberOr("credit", 1),
                profile.numberOr("late_share", 0),
                idempotency,
                deduplicationScope,
                profile.microsOr("window", 0),
                kindIndex >= 0 && kindIndex < kindNames.size() ? String.valueOf(kindNames.get(kindIndex)) : null,
                (int) numberAt(domain.list("class_priority"), index, 0));
    }

    private static List<Tenant> tenants(JsonFields json) {
        return json.nodes("accounts").stream()
                .map(LoadBalancerSettingsDecoder::tenant)
                .toList();
    }

    private static Tenant tenant(JsonFields account) {
        return new Tenant(account.text("name"), account.numberOr("share", 0), account.numberOr("quota_per_s", 0));
    }

    private static LoadReporting loadReporting(JsonFields json) {
        LoadReporting configured =
                switch (json.node("report").textOr("via", "off")) {
                    case "inline" -> LoadReporting.WITH_RESPONSES;
                    case "on_probe" -> LoadReporting.ON_PROBE;
                    default -> LoadReporting.NONE;
                };
        return LoadReportFields.of(json).reportsFreeSlots() ? configured : LoadReporting.NONE;
    }

    private static ServiceRules rules(JsonFields rules) {
        return new ServiceRules(
                rules.microsOr("answer_slack", 0),
                rules.microsOr("ask_every", 10_000_000),
                rules.microsOr("drain_grace", 0),
                rules.numberOr("start_capacity", 0.1),
                rules.microsOr("ramp_time", 30_000_000),
                rules.numberOr("fall_multiple", 2),
                rules.microsOr("overload_for", 2_000_000),
                rules.flag("only_draining_binds"));
    }

    private static DispatchLimits limits(JsonFields limits) {
        return new DispatchLimits(
                limits.flag("probes"),
                limits.flag("cancel"),
                limits.flag("parallel_tries"),
                limits.flag("retry_after"),
                (int) limits.integerOr("try_limit", 1),
                limits.microsOr("max_retry_after", 0),
                limits.microsOr("conn_idle", 0));
    }

    private static CostWeights costWeights(JsonFields prices) {
        return new CostWeights(
                prices.numberOr("cross_zone", 0),
                prices.numberOr("probe", 0),
                prices.numberOr("handshake", 0),
                prices.numberOr("connection", 0));
    }

    private static TailObjective tail(JsonFields mix) {
        return new TailObjective(mix.fraction("tail_part", 1), mix.fraction("tail_miss", 1));
    }

    /** Returns the state of an endpoint list's entry. */
    public static EndpointState state(JsonFields endpoint) {
        return switch (endpoint.text("status")) {
            case "active" -> EndpointState.ACTIVE;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default -> throw endpoint.unknownValue("status");
        };
    }

    static double numberAt(List<Object> list, int index, double defaultValue) {
        return index >= 0 && index < list.size() && list.get(index) instanceof Number v
                ? v.doubleValue()
                : defaultValue;
    }
}
