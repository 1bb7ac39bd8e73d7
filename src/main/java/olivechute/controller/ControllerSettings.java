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
 * How the driver judges and how often it looks: {@code worths} of the classes of jobs, {@code tick} between two looks.
 */
public record ControllerSettings(PriorityWeights weights, Duration tickInterval) {
    private static final double MAX_WEIGHT = 1e6;

    /**
     * Reads the object {@code rollout} of a replica's settings file and nothing else of it: {@code worth} of each
     * class, 1 where it is not named; {@code late}, the part of it that a job of a named class served late still has;
     * {@code tick}. SETTINGS_INVALID with all that is wrong. {@code delayBoundsUs}: upper ends of the buckets in which
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
        rollout.close();
        return new ControllerSettings(
                new PriorityWeights(
                        weightByClass,
                        lateFractionByClass,
                        delayBoundsUs.stream().mapToLong(Long::longValue).toArray()),
                tickInterval);
    }

    ReconcilePlan.StepFunction stepFunction() {
        return (progress, nodes, figures, now) -> Rollout.step(progress, nodes, figures, weights, now);
    }
}
