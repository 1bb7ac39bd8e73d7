package olivechute.loadbalancing;

/**
 * Weight of tail latency in the service's value. In each period of 5 s, the requests served of a class count in full
 * only if at most {@code missFraction} of its requests miss their latency objective; a request that is rejected within
 * its objective does not miss it.
 *
 * @param weight fraction of the service's value that the tail decides; 0 if the tail does not count
 * @param missFraction fraction of requests that may miss their latency objective, from 0 to 1
 */
public record TailObjective(double weight, double missFraction) {
    /** The tail does not count. */
    public static final TailObjective NONE = new TailObjective(0, 0);
}
