package olivechute.loadbalancing;

/**
 * Weight of tail latency in the service's value. The value served, per class and 5 s, counts in full only while at most
 * {@code missFraction} of the requests miss their latency objective; requests rejected within the objective do not miss
 * it.
 *
 * @param weight fraction of the service's value that the tail decides; 0 if the tail does not count
 * @param missFraction fraction of requests that may miss their latency objective, from 0 to 1
 */
public record TailObjective(double weight, double missFraction) {
    /** The tail does not count. */
    public static final TailObjective NONE = new TailObjective(0, 0);
}
