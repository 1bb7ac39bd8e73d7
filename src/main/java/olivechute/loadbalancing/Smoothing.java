package olivechute.loadbalancing;

import java.util.List;

/** Arithmetic on smoothed statistics; NaN means that there is no sample yet. */
final class Smoothing {
    private Smoothing() {}

    /** Returns the exponentially weighted mean after one more sample. */
    static double smooth(double mean, double sample, double weight) {
        return Double.isNaN(mean) ? sample : mean + weight * (sample - mean);
    }

    /** Returns the upper median; sorts the list. */
    static double median(List<Double> values, double ifEmpty) {
        values.sort(null);
        return values.isEmpty() ? ifEmpty : values.get(values.size() / 2);
    }

    /**
     * Returns the value with its distance to the target reduced to a fraction, and adds that to the peers' values
     * unless the value is NaN.
     */
    static double decayAndCollect(double value, double target, double retainedFraction, List<Double> peerValues) {
        double decayed = target + (value - target) * retainedFraction;
        if (!Double.isNaN(value)) {
            peerValues.add(decayed);
        }
        return decayed;
    }
}
