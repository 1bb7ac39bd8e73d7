package olivechute.controller;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import olivechute.config.HoconObject;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import olivechute.rollout.PriorityWeights;
import olivechute.rollout.Rollout;

/**
 * Settings of the rollout controller: {@code weights} of the request classes, {@code tickInterval} between two ticks.
 */
public record ControllerSettings(PriorityWeights weights, Duration tickInterval) {
    private static final double MAX_WEIGHT = 1e6;

    /**
     * Reads only the object {@code rollout} of a replica's settings file: {@code worth}, the weight of each class, 1 if
     * not listed; {@code late}, the fraction of it that a request of a listed class keeps when served late;
     * {@code tick}. Throws SETTINGS_INVALID with all errors. {@code delayBoundsUs}: upper ends of the buckets in which
     * nodes count their delay, in us.
     */
    public static ControllerSettings load(Path file, List<Long> delayBoundsUs) throws SettingsException {
        List<String> errors = new ArrayList<>();
        ControllerSettings settings = read(
                HoconObject.parse(RolloutClientSettings.readText(file), errors).node("rollout"), delayBoundsUs);
        if (!errors.isEmpty()) {
            throw new SettingsException(ErrorCode.SETTINGS_INVALID, file + ": " + String.join("; ", errors));
        }
        return settings;
    }

    private static ControllerSettings read(HoconObject rollout, List<Long> delayBoundsUs) {
        HoconObject weightSettings = rollout.node("worth");
        double lateFraction = rollout.number("late", 0.2, 0, 1);
        Map<String, Double> weightByClass = new HashMap<>();
        Map<String, Double> lateFractionByClass = new HashMap<>();
        for (String name : weightSettings.names()) {
            weightByClass.put(name, weightSettings.number(name, 1, 0, MAX_WEIGHT));
            lateFractionByClass.put(name, lateFraction);
        }
        Duration tickInterval = rollout.duration(
                "tick", Duration.ofSeconds(1), Duration.ofMillis(50), RolloutController.LEASE_TTL.dividedBy(2));
        rollout.rejectUnknownKeys();
        return new ControllerSettings(
                new PriorityWeights(
                        weightByClass,
                        lateFractionByClass,
                        delayBoundsUs.stream().mapToLong(Long::longValue).toArray()),
                tickInterval);
    }

    ReconcilePlan.StepFunction stepFunction() {
        return (state, nodes, metrics, nowMs) -> Rollout.step(state, nodes, metrics, weights, nowMs);
    }
}
