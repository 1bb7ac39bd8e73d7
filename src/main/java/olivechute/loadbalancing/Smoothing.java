package olivechute.loadbalancing;

import java.util.List;

/** Arithmetic on smoothed statistics; NaN stands for "no sample yet". */
final class Smoothing {
    private Smoothing() {}

    /** The exponentially weighted mean after one more sample. */
    static double smooth(double mean, double sample, double weight) {
        return Double.isNaN(mean) ? sample : mean + weight * (sample - mean);
    }

    /** The upper median; sorts the list. */
    static double median(List<Double> values, double ifEmpty) {
        values.sort(null);
        return values.isEmpty() ? ifEmpty : values.get(values.size() / 2);
    }

    /** The value after it kept only a part of its distance to another one; added to its peers unless it is NaN. */
    static double decayAndCollect(double value, double target, double retainedFraction, List<Double> peerValues) {
        double decayed = target + (value - target) * retainedFraction;
        if (!Double.isNaN(value)) {
            peerValues.add(decayed);
        }
        return decayed;
    }
}
