package olivechute.rollout;

import java.util.List;
import java.util.Map;

/**
 * Priority weights of the request classes: a request counts {@code weightByClass} when it is served in time, that times
 * {@code lateFractionByClass} (0 to 1) when it is served late, and 0 otherwise. Unlisted classes count 1 and 0.2.
 * {@code delayBoundsUs}: ascending upper ends of the buckets of {@link NodeMetrics#delayCounts()} in us; the last
 * bucket may lie above them all.
 */
public record PriorityWeights(
        Map<String, Double> weightByClass, Map<String, Double> lateFractionByClass, long[] delayBoundsUs) {
    /** Copies the maps and the bounds. */
    public PriorityWeights {
        weightByClass = Map.copyOf(weightByClass);
        lateFractionByClass = Map.copyOf(lateFractionByClass);
        delayBoundsUs = delayBoundsUs.clone();
    }

    /** Weight 1 and late fraction 0.2 for all classes. */
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
