package olivechute.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.proxy.EndpointListUpdate;
import org.tinylog.Logger;

/**
 * All that a node is told: the file named by {@code LB_CONFIG}, and {@code LB_NAME}, {@code LB_LISTEN} and
 * {@code LB_DISCOVERY}, which override it; and, where {@code OLIVECHUTE_SETTINGS} names one, the operators' own file.
 * Read, checked and given defaults here and nowhere else. {@code identity} is null where identities are off,
 * {@code figures} where no supervisor is named.
 */
@SuppressWarnings("ReferenceEquality") // the same object or both absent
public record NodeConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxConnections,
        EndpointListUpdate initialEndpoints,
        LoadBalancerSettings settings,
        LoadReportFields loadReportFields,
        int maxOpenRequests,
        long connectTimeoutUs,
        IdentitySettings identity,
        MetricsSettings metrics) {
    /** The environment's variable that names the configuration's file. */
    public static final String FILE_VARIABLE = "LB_CONFIG";
    /** Descriptors kept for files, the listener and discovery. */
    public static final int RESERVED_DESCRIPTORS = 64;
    /**
     * Memory that the process takes without connections, in KiB: measured 44 MB, and what the heap grows under load.
     */
    private static final int BASE_MEMORY_KIB = 72 * 1024;
    /**
     * What a connection adds, nearly all of it its thread's stack: measured 69 with the flags in deploy/, 110 without.
     */
    private static final int CONNECTION_MEMORY_KIB = 130;
    /**
     * The same with identities: TLS's classes, and for each connection its engine and session; measured 25 MB, and 94
     * to 125 KiB in all.
     */
    private static final int TLS_BASE_MEMORY_KIB = BASE_MEMORY_KIB + 25 * 1024;

    private static final int TLS_CONNECTION_MEMORY_KIB = 160;
    /**
     * However little memory is told: with fewer a node cannot serve at all, and what is told may be more than it takes.
     */
    public static final int MIN_CONNECTIONS = 48;
    /** Names in the messages of the load balancer's checks, and the keys on the wire that they come from. */
    private static final String[][] SETTINGS_KEYS = {
        {"limits.maxAttempts", "ceilings.try_limit"},
        {"limits.maxRetryAfterUs", "ceilings.max_retry_after"},
        {"limits.connectionIdleTimeoutUs", "ceilings.conn_idle"},
        {"limits", "ceilings"},
        {"rules.drainGraceUs", "rules.drain_grace"},
        {"rules.slowStartDurationUs", "rules.ramp_time"},
        {"rules.overloadWindowUs", "rules.overload_for"},
        {"rules.slowStartCapacity", "rules.start_capacity"},
        {"rules.overloadMultiple", "rules.fall_multiple"},
        {"classes.deadlineUs", "profiles.deadline"},
        {"classes.latencyObjectiveUs", "profiles.goal_time"},
        {"classes.priorityWeight", "profiles.credit"},
        {"classes.objectiveStretch", "domain.class_stretch"},
        {"classes.idempotency", "profiles.effect"},
        {"classes.deduplicationScope", "profiles.group"},
        {"classes", "profiles"},
        {"tenants.quotaPerSecond", "accounts.quota_per_s"},
        {"tenants", "accounts"},
        {"tail.weight", "result_mix.tail_part"},
        {"tail.missFraction", "result_mix.tail_miss"},
        {"loadReporting", "report"},
        {"costs", "prices"},
        {"overQuotaWeight", "over_share_worth"},
    };

    /** Reads the configuration that the environment names; a {@link InvalidValueException} names the faulty key. */
    public static NodeConfig load(Map<String, String> environment) {
        return read(readFile(environment), environment);
    }

    /**
     * Reads it again while the node runs. The environment still holds what it held at the start, so the discovery that
     * a replaced file names must come before the one that the environment names.
     */
    public static NodeConfig reload(Map<String, String> environment) {
        JsonFields config = readFile(environment);
        Map<String, String> variables = new HashMap<>(environment);
        if (config.has("discovery")) {
            variables.remove("LB_DISCOVERY");
        }
        return read(config, variables);
    }

    /** The keys whose values differ from another configuration's but cannot change while the node runs. */
    public List<String> restartRequiredKeys(NodeConfig running) {
        List<String> keys = new ArrayList<>();
        note(keys, "name", name, running.name);
        note(keys, "listen", listenAddress, running.listenAddress);
        note(keys, "limits", maxConnections, running.maxConnections);
        note(
                keys,
                "settings",
                List.of(settings, loadReportFields),
                List.of(running.settings, running.loadReportFields));
        if (identity != running.identity) {
            keys.addAll(IdentitySettings.restartRequiredKeys(identity, running.identity));
        }
        return keys;
    }

    static void note(List<String> keys, String key, Object now, Object before) {
        if (!now.equals(before)) {
            keys.add(key);
        }
    }

    private static JsonFields readFile(Map<String, String> environment) {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new InvalidValueException("LB_CONFIG: missing, must name a file");
        }
        try {
            return JsonFields.parse("config", ConfigurationFile.read(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new InvalidValueException("LB_CONFIG: " + file + " is not JSON: " + e.getOriginalMessage());
        } catch (InvalidPathException e) {
            throw new InvalidValueException("LB_CONFIG: cannot read " + file + ": " + e);
        } catch (IOException e) {
            throw new UnreadableFileException("LB_CONFIG: cannot read " + file + ": " + e);
        }
    }

    /**
     * All that is wrong with what the environment names, a line for each, beginning with its key; empty if a node would
     * start.
     */
    public static List<String> validate(Map<String, String> environment) {
        JsonFields config;
        try {
            config = readFile(environment);
        } catch (InvalidValueException e) {
            return List.of(e.getMessage());
        }
        Set<String> errors = new LinkedHashSet<>();
        note(errors, () -> text(config, environment, "name", "LB_NAME"));
        note(errors, () -> Address.parse("listen", text(config, environment, "listen", "LB_LISTEN")));
        note(errors, () -> Address.parse("discovery", text(config, environment, "discovery", "LB_DISCOVERY")));
        note(errors, () -> seed(config));
        note(errors, () -> maxConnections(config.node("limits"), false));
        note(errors, () -> initialEndpoints(config));
        if (config.has("settings")) {
            note(errors, () -> {
                List<Runnable> sections = LoadBalancerSettingsDecoder.sectionReaders(config.node("settings"));
                for (int i = 0; i < sections.size(); i++) {
                    note(errors, sections.get(i)); // some add the parts that they are made of
                }
            });
        }
        note(errors, () -> MetricsSettings.read(environment));
        if (OperatorSettingsFile.isConfigured(environment)) {
            List<String> operatorErrors = new ArrayList<>();
            OperatorSettingsFile.read(environment, operatorErrors);
            errors.addAll(operatorErrors);
        }
        // What only shows where parts meet, or stands above them.
        note(errors, () -> read(config, environment));
        return List.copyOf(errors);
    }

    /** Whether a node under this environment would use identities, where, and if not why; its configuration holds. */
    public static String describeIdentity(Map<String, String> environment) {
        if (!OperatorSettingsFile.isConfigured(environment)) {
            return "identities: off, as neither --settings nor " + OperatorSettingsFile.VARIABLE + " names a file";
        }
        IdentitySettings identity = OperatorSettingsFile.load(environment);
        return identity == null ? "identities: off, as identity.enabled is false" : identity.describe();
    }

    private static void note(Set<String> errors, Runnable reader) {
        try {
            reader.run();
        } catch (InvalidValueException e) {
            errors.add(e.getMessage());
        }
    }

    static NodeConfig read(JsonFields config, Map<String, String> environment) {
        JsonFields limits = config.node("limits");
        if (!config.has("settings")) {
            throw config.invalid("settings", "an object");
        }
        JsonFields settings = config.node("settings");
        JsonFields ceilings = settings.node("ceilings");
        IdentitySettings identity = OperatorSettingsFile.load(environment);
        return new NodeConfig(
                text(config, environment, "name", "LB_NAME"),
                Address.parse("listen", text(config, environment, "listen", "LB_LISTEN")),
                Address.parse("discovery", text(config, environment, "discovery", "LB_DISCOVERY")),
                seed(config),
                maxConnections(limits, identity != null),
                initialEndpoints(config),
                decode(settings),
                LoadReportFields.of(settings),
                checkRange("ceilings.open_cap", ceilings.integerOr("open_cap", 4096), 1, Integer.MAX_VALUE),
                checkRange("ceilings.dial_timeout", ceilings.microsOr("dial_timeout", 250_000), 1000, 60_000_000),
                identity,
                MetricsSettings.read(environment));
    }

    private static EndpointListUpdate initialEndpoints(JsonFields config) {
        return config.has("known")
                ? EndpointListDecoder.decode(config.node("known"))
                : new EndpointListUpdate(0, true, List.of());
    }

    /** As many as both limits bear; a memory limit too small for that is logged, and the node starts all the same. */
    private static int maxConnections(JsonFields limits, boolean withIdentity) {
        int sockets =
                checkRange("limits.sockets", limits.integerOr("sockets", 1024), RESERVED_DESCRIPTORS + 16, 1 << 20);
        int memoryMb = checkRange("limits.memory_mb", limits.integerOr("memory_mb", 192), 1, 1 << 20);
        long memoryBound = withIdentity
                ? (memoryMb * 1024L - TLS_BASE_MEMORY_KIB) / TLS_CONNECTION_MEMORY_KIB
                : (memoryMb * 1024L - BASE_MEMORY_KIB) / CONNECTION_MEMORY_KIB;
        if (memoryBound < MIN_CONNECTIONS) {
            Logger.warn("limits.memory_mb: {} bears few connections, {} are kept", memoryMb, MIN_CONNECTIONS);
        }
        return (int) Math.min(sockets - RESERVED_DESCRIPTORS, Math.max(MIN_CONNECTIONS, memoryBound));
    }

    private static LoadBalancerSettings decode(JsonFields settings) {
        try {
            return LoadBalancerSettingsDecoder.settings(settings);
        } catch (IllegalArgumentException e) {
            throw new InvalidValueException(wireKey(e.getMessage()));
        }
    }

    /** The module's checks name its own fields; the key that was read is the wire's. */
    private static String wireKey(String message) {
        String text = message;
        for (String[] name : SETTINGS_KEYS) {
            text = text.replaceFirst("^" + name[0] + "\\b", name[1]);
        }
        int end = text.split("[ :]")[0].length();
        return text.substring(0, end).replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT) + text.substring(end);
    }

    private static String text(JsonFields config, Map<String, String> environment, String key, String variable) {
        String value = environment.get(variable);
        return value != null && !value.isEmpty() ? value : config.text(key);
    }

    /** The seed is hexadecimal text; without one, every start draws another. */
    private static long seed(JsonFields config) {
        try {
            return config.has("seed") ? Long.parseUnsignedLong(config.text("seed"), 16) : System.nanoTime();
        } catch (NumberFormatException e) {
            throw config.invalid("seed", "up to 16 hexadecimal digits");
        }
    }

    private static int checkRange(String key, long value, long min, long max) {
        if (value < min || value > max) {
            throw new InvalidValueException(key + ": must be from " + min + " to " + max);
        }
        return (int) value;
    }
}
