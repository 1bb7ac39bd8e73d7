package olivechute.supervisor;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import olivechute.config.Address;
import olivechute.config.HoconObject;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import olivechute.store.ReplicaAddress;

/**
 * The settings of a supervisor, in HOCON; deploy/supervise.conf has every key.
 *
 * @param region as in the replicas' settings
 * @param storeTimeout time limit of one store call
 * @param leaseTtl time to live of the machine's lease
 * @param programJar the jar for versions that name no program; null for the one that the supervisor runs from
 * @param javaCommand the java command and its flags before {@code -jar}
 * @param directory where the supervisor stores its state
 * @param metricsAddress loopback address at which it accepts the nodes' metrics
 */
record SupervisorSettings(
        String machine,
        String zone,
        String region,
        List<ReplicaAddress> replicas,
        Duration storeTimeout,
        Duration leaseTtl,
        String programJar,
        List<String> javaCommand,
        Path directory,
        InetSocketAddress metricsAddress,
        NodeTimeouts timeouts,
        List<ManagedNode> nodes) {
    private static final int MAX_FILE_BYTES = 256 * 1024;
    private static final int MAX_NODES = 256;
    private static final Duration HOUR = Duration.ofHours(1);

    /**
     * A node to run.
     *
     * @param configFile its base configuration
     * @param addresses where it listens: one address, or two of which one serves
     * @param initialVersion the version that it runs before the first order
     */
    record ManagedNode(String name, Path configFile, List<String> addresses, String initialVersion) {}

    /** Reads a settings file; the SETTINGS_INVALID error lists everything that is wrong with it. */
    static SupervisorSettings load(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new SettingsException(ErrorCode.SETTINGS_INVALID, file + " is over " + MAX_FILE_BYTES + " bytes");
            }
            return parse(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, "cannot read " + file + ": " + e, e);
        }
    }

    static SupervisorSettings parse(String text) throws SettingsException {
        List<String> errors = new ArrayList<>();
        HoconObject root = HoconObject.parse(text, errors);
        SupervisorSettings settings = readRoot(root);
        root.rejectUnknownKeys();
        if (!errors.isEmpty()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, String.join("; ", errors));
        }
        return settings;
    }

    private static SupervisorSettings readRoot(HoconObject root) {
        HoconObject store = root.node("store");
        List<ReplicaAddress> replicas = new ArrayList<>();
        for (HoconObject each : store.nodes("replicas")) {
            replicas.add(new ReplicaAddress(
                    each.requiredText("id"), address(each, "address", each.requiredText("address"))));
            each.rejectUnknownKeys();
        }
        if (replicas.isEmpty()) {
            store.addError("replicas", "missing, must be a list of { id, address }");
        }
        String region = store.text("region", "");
        Duration timeout =
                store.duration("timeout", Duration.ofSeconds(1), Duration.ofMillis(100), Duration.ofSeconds(30));
        Duration lease = store.duration("lease", Duration.ofSeconds(3), Duration.ofMillis(500), Duration.ofMinutes(1));
        store.rejectUnknownKeys();
        HoconObject program = root.node("program");
        String jar = program.text("jar", "");
        List<String> java = program.has("java") ? program.textList("java") : List.of("java");
        if (java.isEmpty()) {
            program.addError("java", "must be the command and its flags");
        }
        program.rejectUnknownKeys();
        String machine = name(root, "machine");
        String zone = root.text("zone", "");
        String folder = root.requiredText("folder");
        String metricsAddressText = root.text("figures", "127.0.0.1:7900");
        InetSocketAddress metricsAddress = root.convert("figures", key -> Address.parse(key, metricsAddressText));
        if (metricsAddress != null && !metricsAddress.getAddress().isLoopbackAddress()) {
            root.addError("figures", "must be a loopback address");
        }
        return new SupervisorSettings(
                machine,
                zone,
                region,
                List.copyOf(replicas),
                timeout,
                lease,
                jar.isEmpty() ? null : jar,
                java,
                Path.of(folder),
                metricsAddress,
                timeouts(root),
                nodes(root));
    }

    private static NodeTimeouts timeouts(HoconObject root) {
        Duration ready = root.duration("ready_within", Duration.ofSeconds(20), Duration.ofMillis(100), HOUR);
        Duration drain = root.duration("drain_within", Duration.ofSeconds(10), Duration.ofMillis(100), HOUR);
        HoconObject backoff = root.node("backoff");
        Duration minBackoff = backoff.duration("least", Duration.ofMillis(200), Duration.ofMillis(10), HOUR);
        Duration maxBackoff = backoff.duration("most", Duration.ofSeconds(30), Duration.ofMillis(10), HOUR);
        if (maxBackoff.compareTo(minBackoff) < 0) {
            backoff.addError("most", "must be no less than least");
        }
        backoff.rejectUnknownKeys();
        return new NodeTimeouts(ready, drain, minBackoff, maxBackoff);
    }

    private static List<ManagedNode> nodes(HoconObject root) {
        List<ManagedNode> nodes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<String> usedAddresses = new HashSet<>();
        for (HoconObject each : root.nodes("nodes")) {
            String name = name(each, "name");
            String config = each.requiredText("config");
            List<String> addresses = new ArrayList<>(List.of(address(each, "listen", each.requiredText("listen"))));
            String second = each.text("second", "");
            if (!second.isEmpty()) {
                addresses.add(address(each, "second", second));
            }
            if (!names.add(name)) {
                each.addError("name", "another node has this name");
            }
            if (!usedAddresses.addAll(addresses) || new HashSet<>(addresses).size() < addresses.size()) {
                each.addError("listen", "each address can be used once");
            }
            nodes.add(new ManagedNode(name, Path.of(config), List.copyOf(addresses), name(each, "version")));
            each.rejectUnknownKeys();
        }
        if (nodes.isEmpty() || nodes.size() > MAX_NODES) {
            root.addError("nodes", "must be a list of 1 to " + MAX_NODES + " nodes");
        }
        return List.copyOf(nodes);
    }

    private static String address(HoconObject parent, String key, String text) {
        if (!text.isEmpty()) {
            parent.convert(key, path -> Address.parse(path, text));
        }
        return text;
    }

    /** Names are used in keys of the store and in file names. */
    private static String name(HoconObject parent, String key) {
        String name = parent.requiredText(key);
        if (!name.isEmpty() && !name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
            parent.addError(key, "must be up to 64 letters, digits, dots, dashes and underscores");
        }
        return name;
    }
}
