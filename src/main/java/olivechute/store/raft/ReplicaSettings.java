package olivechute.store.raft;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import olivechute.config.Address;
import olivechute.config.HoconObject;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import olivechute.store.ReplicaAddress;

/**
 * Settings of one replica; deploy/store.conf documents each key.
 *
 * @param region separates groups of replicas with the same ids; clients must name the same region
 * @param quotaBytes maximum size of the data directory in bytes, 0 for no limit
 * @param snapshotEntries log entries after which a snapshot is taken
 * @param snapshotBytes bytes of log entries after which a snapshot is taken
 */
public record ReplicaSettings(
        String region,
        String id,
        Path dataDirectory,
        List<ReplicaAddress> replicas,
        long quotaBytes,
        Duration minElectionTimeout,
        Duration maxElectionTimeout,
        int snapshotEntries,
        long snapshotBytes,
        int segmentBytes,
        int maxKeys,
        long maxTotalBytes,
        int maxValueBytes,
        int maxLeases,
        int maxWatches) {
    private static final int MIB = 1024 * 1024;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,62}");

    /** Reads a settings file; fails with SETTINGS_INVALID, which names every fault in it. */
    public static ReplicaSettings load(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, file + " cannot be read", e);
        }
    }

    /** Parses settings in HOCON. */
    public static ReplicaSettings parse(String text) throws SettingsException {
        List<String> faults = new ArrayList<>();
        HoconObject root = HoconObject.parse(text, faults);
        List<ReplicaAddress> replicas = replicas(root);
        HoconObject election = root.node("election");
        Duration minElection =
                election.duration("least", Duration.ofMillis(600), Duration.ofMillis(100), Duration.ofSeconds(30));
        Duration maxElection =
                election.duration("most", Duration.ofMillis(1_000), Duration.ofMillis(150), Duration.ofSeconds(60));
        if (maxElection.compareTo(minElection) <= 0) {
            election.addError("most", "must be longer than least");
        }
        election.rejectUnknownKeys();
        HoconObject log = root.node("log");
        int snapshotEvery = log.integer("snapshot_every", 20_000, 100, 10_000_000);
        long snapshotBytes = (long) log.integer("snapshot_mb", 16, 1, 1024) * MIB;
        int segmentBytes = log.integer("segment_mb", 2, 1, 16) * MIB;
        log.rejectUnknownKeys();
        HoconObject bounds = root.node("bounds");
        ReplicaSettings settings = new ReplicaSettings(
                root.has("region") ? name(root, "region") : "",
                name(root, "id"),
                Path.of(root.requiredText("folder")),
                replicas,
                (long) root.integer("quota_mb", 0, 0, 1 << 20) * MIB,
                minElection,
                maxElection,
                snapshotEvery,
                snapshotBytes,
                segmentBytes,
                bounds.integer("keys", 20_000, 1, 1_000_000),
                (long) bounds.integer("total_mb", 16, 1, 1024) * MIB,
                bounds.integer("value_kb", 512, 1, 2048) * 1024,
                bounds.integer("leases", 1_000, 1, 100_000),
                bounds.integer("watches", 500, 1, 10_000));
        bounds.rejectUnknownKeys();
        root.has("rollout"); // marks the key as known; its value is read by the rollout driver
        root.rejectUnknownKeys();
        if (faults.isEmpty() && replicas.stream().noneMatch(r -> r.id().equals(settings.id()))) {
            root.addError("id", "must be one of the replicas");
        }
        if (settings.quotaBytes() > 0 && settings.quotaBytes() < settings.minQuotaBytes()) {
            root.addError(
                    "quota_mb",
                    "must be at least " + settings.minQuotaBytes() / MIB + " for these bounds, or 0 for none");
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, String.join("; ", faults));
        }
        return settings;
    }

    private static List<ReplicaAddress> replicas(HoconObject root) {
        List<ReplicaAddress> replicas = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (HoconObject each : root.nodes("replicas")) {
            ReplicaAddress replica = new ReplicaAddress(name(each, "id"), each.requiredText("address"));
            each.convert("address", key -> Address.parse(key, replica.address()));
            boolean newId = seen.add(replica.id());
            boolean newAddress = seen.add(replica.address());
            if (!newId || !newAddress) {
                each.addError("id", "each replica needs an id and an address of its own");
            }
            each.rejectUnknownKeys();
            replicas.add(replica);
        }
        if (replicas.isEmpty()) {
            root.addError("replicas", "must name at least one replica");
        }
        return List.copyOf(replicas);
    }

    private static String name(HoconObject from, String key) {
        String name = from.requiredText(key);
        if (!name.isEmpty() && !NAME.matcher(name).matches()) {
            from.addError(key, "must be letters, digits, dots, dashes or underscores, at most 63");
        }
        return name;
    }

    /**
     * Returns the bytes that the data directory may need: the reserve file, three snapshots (two kept and one being
     * written), and twice the log between two snapshots, including its last segment.
     */
    long minQuotaBytes() {
        return DiskProbe.RESERVE_BYTES + 3 * maxTotalBytes + 2 * (snapshotBytes + segmentBytes);
    }

    /** Returns the address of this replica. */
    public ReplicaAddress self() {
        return replicas.stream().filter(r -> r.id().equals(id)).findFirst().orElseThrow();
    }
}
