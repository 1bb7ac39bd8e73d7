package olivechute.rollout;

import java.util.List;
import java.util.Map;

/**
 * What a job of a class is worth: {@code worth} when it is served in time, that times {@code latePart} (0 to 1) when it
 * is served late, nothing otherwise. Classes that are not named count 1 and 0.2. {@code delayBoundsUs}: upper ends of
 * the buckets of {@link NodeMetrics#delay()} in us, growing; the last bucket may lie above them all.
 */
public record PriorityWeights(
        Map<String, Double> weightByClass, Map<String, Double> lateFractionByClass, long[] delayBoundsUs) {
    /** Copies its arguments. */
    public PriorityWeights {
        weightByClass = Map.copyOf(weightByClass);
        lateFractionByClass = Map.copyOf(lateFractionByClass);
        delayBoundsUs = delayBoundsUs.clone();
    }

    /** All classes alike. */
    public static PriorityWeights equalWeights(List<Long> delayBoundsUs) {
        return new PriorityWeights(
                Map.of(),
                Map.of(),
                delayBoundsUs.stream().mapToLong(Long::longValue).toArray());
    }

    double weight(String name) {
        return weightByClass.getOrDefault(name, 1.0);
    }

    double lateFraction(String name) {
        return lateFractionByClass.getOrDefault(name, 0.2);
    }
}
