package olivechute.controller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import olivechute.config.HoconObject;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import olivechute.fleet.wire.StageSpec;
import olivechute.store.ReplicaAddress;

/**
 * Settings file of the {@code change} command; deploy/change.conf lists every key. {@code region}: as in the replicas'
 * settings; {@code timeout}: of one store call; {@code stages}, {@code maxUnavailable} and {@code readyTimeout} go into
 * each proposed change.
 */
record RolloutClientSettings(
        String region,
        List<ReplicaAddress> replicas,
        Duration timeout,
        List<StageSpec> stages,
        int maxUnavailable,
        Duration readyTimeout) {
    private static final Duration MAX_DURATION = Duration.ofDays(1);
    private static final int MAX_NODES = 100_000;

    /** Throws SETTINGS_INVALID with all errors. */
    static RolloutClientSettings load(Path file) throws SettingsException {
        List<String> errors = new ArrayList<>();
        RolloutClientSettings settings = parse(readText(file), errors);
        if (!errors.isEmpty()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, file + ": " + String.join("; ", errors));
        }
        return settings;
    }

    static String readText(Path file) throws SettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, file + " cannot be read: " + e.getMessage(), e);
        }
    }

    private static RolloutClientSettings parse(String text, List<String> errors) {
        HoconObject root = HoconObject.parse(text, errors);
        List<ReplicaAddress> replicas = new ArrayList<>();
        HoconObject store = root.node("store");
        for (HoconObject item : store.nodes("replicas")) {
            replicas.add(new ReplicaAddress(item.requiredText("id"), item.requiredText("address")));
            item.rejectUnknownKeys();
        }
        if (replicas.isEmpty()) {
            store.addError("replicas", "must name the replicas of the store");
        }
        Duration timeout =
                store.duration("timeout", Duration.ofSeconds(5), Duration.ofMillis(100), Duration.ofMinutes(5));
        String region = store.text("region", "");
        store.rejectUnknownKeys();
        List<StageSpec> stages = new ArrayList<>();
        for (HoconObject item : root.nodes("stages")) {
            stages.add(StageSpec.newBuilder()
                    .setNodes(item.integer("nodes", 0, 0, MAX_NODES))
                    .setPercent(item.integer("percent", 0, 0, 100))
                    .setLeastMs(item.duration("least", Duration.ofMinutes(1), Duration.ZERO, MAX_DURATION)
                            .toMillis())
                    .setLongestMs(item.duration("longest", Duration.ofMinutes(15), Duration.ZERO, MAX_DURATION)
                            .toMillis())
                    .setLeastJobs(item.integer("least_jobs", 200, 0, Integer.MAX_VALUE))
                    .build());
            item.rejectUnknownKeys();
        }
        if (stages.isEmpty()) {
            root.addError("stages", "must name the stages of a change");
        }
        RolloutClientSettings settings = new RolloutClientSettings(
                region,
                replicas,
                timeout,
                stages,
                root.integer("most_away", 1, 1, MAX_NODES),
                root.duration("ready_within", Duration.ofMinutes(1), Duration.ofSeconds(1), MAX_DURATION));
        root.rejectUnknownKeys();
        return settings;
    }
}
