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
 * Configuration of a node: the JSON file named by {@code LB_CONFIG}; {@code LB_NAME}, {@code LB_LISTEN} and
 * {@code LB_DISCOVERY}, which override it; and the operator settings file, if {@code OLIVECHUTE_SETTINGS} names one.
 * All configuration is read, checked and given defaults here. {@code identity} is null if identities are off,
 * {@code metrics} if no supervisor is configured; {@code connectTimeoutUs} is in microseconds, and
 * {@code memoryLimitBytes} is what the process may take.
 */
@SuppressWarnings("ReferenceEquality") // compares for the same object or both null
public record NodeConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxConnections,
        long memoryLimitBytes,
        EndpointListUpdate initialEndpoints,
        LoadBalancerSettings settings,
        LoadReportFields loadReportFields,
        int maxOpenRequests,
        long connectTimeoutUs,
        IdentitySettings identity,
        MetricsSettings metrics) {
    /** The environment variable that names the configuration file. */
    public static final String FILE_VARIABLE = "LB_CONFIG";

    private static final long BYTES_PER_MB = 1024 * 1024;
    /** File descriptors reserved for files, the listener and discovery. */
    public static final int RESERVED_DESCRIPTORS = 64;
    /** Memory of the process without connections, in KiB: 44 MB measured, plus heap growth under load. */
    private static final int BASE_MEMORY_KIB = 72 * 1024;
    /**
     * Memory of a connection in KiB, nearly all of it its thread's stack: 69 measured with the flags in deploy/, 110
     * without.
     */
    private static final int CONNECTION_MEMORY_KIB = 130;
    /**
     * Memory of the process with identities, in KiB. TLS classes add 25 MB (measured); each connection takes 94 to 125
     * KiB in all, with its TLS engine and session.
     */
    private static final int TLS_BASE_MEMORY_KIB = BASE_MEMORY_KIB + 25 * 1024;

    private static final int TLS_CONNECTION_MEMORY_KIB = 160;
    /**
     * Connections accepted however low the memory limit is: with fewer a node cannot serve at all, and the limit may be
     * higher than what the process takes.
     */
    public static final int MIN_CONNECTIONS = 48;
    /** Field names in the error messages of the load balancer's checks, and the JSON keys that the values come from. */
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

    /** Loads the configuration that the environment names; an {@link InvalidValueException} names the invalid key. */
    public static NodeConfig load(Map<String, String> environment) {
        return read(readFile(environment), environment);
    }

    /**
     * Reloads the configuration of a running node. The environment is still that of the start, so a discovery address
     * in the replaced file takes precedence over {@code LB_DISCOVERY}.
     */
    public static NodeConfig reload(Map<String, String> environment) {
        JsonFields config = readFile(environment);
        Map<String, String> variables = new HashMap<>(environment);
        if (config.has("discovery")) {
            variables.remove("LB_DISCOVERY");
        }
        return read(config, variables);
    }

    /** Returns the keys whose values differ from the running configuration but cannot change while the node runs. */
    public List<String> restartRequiredKeys(NodeConfig running) {
        List<String> keys = new ArrayList<>();
        note(keys, "name", name, running.name);
        note(keys, "listen", listenAddress, running.listenAddress);
        note(
                keys,
                "limits",
                List.of(maxConnections, memoryLimitBytes),
                List.of(running.maxConnections, running.memoryLimitBytes));
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

    /** Returns all configuration errors, one line each, beginning with the key; empty if a node would start. */
    public static List<String> validate(Map<String, String> environment) {
        JsonFields config;
        try {
            config = readFile(environment);
        } catch (InvalidValueException e) {
            return List.of(e.getMessage());
        }
        Set<String> errors = new LinkedHashSet<>();
        collectError(errors, () -> text(config, environment, "name", "LB_NAME"));
        collectError(errors, () -> Address.parse("listen", text(config, environment, "listen", "LB_LISTEN")));
        collectError(errors, () -> Address.parse("discovery", text(config, environment, "discovery", "LB_DISCOVERY")));
        collectError(errors, () -> seed(config));
        collectError(errors, () -> maxConnections(config.node("limits"), false));
        collectError(errors, () -> initialEndpoints(config));
        if (config.has("settings")) {
            collectError(errors, () -> {
                List<Runnable> sections = LoadBalancerSettingsDecoder.sectionReaders(config.node("settings"));
                for (int i = 0; i < sections.size(); i++) {
                    collectError(errors, sections.get(i)); // a reader may add further readers to the list
                }
            });
        }
        collectError(errors, () -> MetricsSettings.read(environment));
        if (OperatorSettingsFile.isConfigured(environment)) {
            List<String> operatorErrors = new ArrayList<>();
            OperatorSettingsFile.read(environment, operatorErrors);
            errors.addAll(operatorErrors);
        }
        // Errors that show only across sections or in the top-level object.
        collectError(errors, () -> read(config, environment));
        return List.copyOf(errors);
    }

    /**
     * Describes whether and where a node in this environment would use identities, or why not. The configuration must
     * be valid.
     */
    public static String describeIdentity(Map<String, String> environment) {
        if (!OperatorSettingsFile.isConfigured(environment)) {
            return "identities: off, as neither --settings nor " + OperatorSettingsFile.VARIABLE + " names a file";
        }
        IdentitySettings identity = OperatorSettingsFile.load(environment);
        return identity == null ? "identities: off, as identity.enabled is false" : identity.describe();
    }

    private static void collectError(Set<String> errors, Runnable reader) {
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
                memoryMb(limits) * BYTES_PER_MB,
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

    /**
     * Returns the number of connections that {@code limits.sockets} and {@code limits.memory_mb} both allow. If the
     * memory limit is too small for {@link #MIN_CONNECTIONS}, this is logged and the node starts anyway.
     */
    private static int maxConnections(JsonFields limits, boolean withIdentity) {
        int sockets =
                checkRange("limits.sockets", limits.integerOr("sockets", 1024), RESERVED_DESCRIPTORS + 16, 1 << 20);
        int memoryMb = memoryMb(limits);
        long memoryBound = withIdentity
                ? (memoryMb * 1024L - TLS_BASE_MEMORY_KIB) / TLS_CONNECTION_MEMORY_KIB
                : (memoryMb * 1024L - BASE_MEMORY_KIB) / CONNECTION_MEMORY_KIB;
        if (memoryBound < MIN_CONNECTIONS) {
            Logger.warn(
                    "limits.memory_mb: {} is enough for only a few connections, {} are accepted",
                    memoryMb,
                    MIN_CONNECTIONS);
        }
        return (int) Math.min(sockets - RESERVED_DESCRIPTORS, Math.max(MIN_CONNECTIONS, memoryBound));
    }

    private static int memoryMb(JsonFields limits) {
        return checkRange("limits.memory_mb", limits.integerOr("memory_mb", 192), 1, 1 << 20);
    }

    private static LoadBalancerSettings decode(JsonFields settings) {
        try {
            return LoadBalancerSettingsDecoder.settings(settings);
        } catch (IllegalArgumentException e) {
            throw new InvalidValueException(withJsonKey(e.getMessage()));
        }
    }

    /** Replaces the load balancer's field name at the start of an error message by the JSON key that was read. */
    private static String withJsonKey(String message) {
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

    /** Reads the seed, hexadecimal text; without one each start uses another. */
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
