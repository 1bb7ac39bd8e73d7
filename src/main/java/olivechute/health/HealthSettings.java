package olivechute.health;

import olivechute.loadbalancing.RetryBudget;

/**
 * Settings of {@link ConnectionHealth}.
 *
 * @param maxEjectedFraction largest fraction of the endpoints that may be ejected at once for all classes
 * @param maxClassEjectedFraction largest fraction of the endpoints that may be ejected at once for one class
 * @param minAcceptTimeoutUs minimum time that an endpoint is given to accept a request, in microseconds
 * @param tenantRetryRate the retry budget of each tenant
 * @param nodeRetryRate the retry budget of the node
 */
public record HealthSettings(
        double maxEjectedFraction,
        double maxClassEjectedFraction,
        long minAcceptTimeoutUs,
        RetryBudget.BucketRate tenantRetryRate,
        RetryBudget.BucketRate nodeRetryRate) {
    /** The default settings. */
    public static final HealthSettings DEFAULT = new HealthSettings(
            1.0 / 3, 0.5, 160_000, new RetryBudget.BucketRate(0.3, 2, 20), new RetryBudget.BucketRate(0.2, 5, 60));
}
