package olivechute.health;

import olivechute.loadbalancing.RetryBudget;

/**
 * What operators may configure of the health of connections; {@link #DEFAULT} holds where they say nothing.
 *
 * @param maxEjectedPart the largest part of the endpoints that is ejected at once, for all classes
 * @param maxClassEjectedPart the same for one class
 * @param minAcceptTimeoutUs an endpoint is never given less time to accept a request, in microseconds
 * @param tenantRetries the retry budget of each tenant
 * @param allRetries the retry budget of the node
 */
public record HealthSettings(
        double maxEjectedFraction,
        double maxClassEjectedFraction,
        long minAcceptTimeoutUs,
        RetryBudget.BucketRate tenantRetryRate,
        RetryBudget.BucketRate nodeRetryRate) {
    /** What holds where the operators say nothing. */
    public static final HealthSettings DEFAULT = new HealthSettings(
            1.0 / 3, 0.5, 160_000, new RetryBudget.BucketRate(0.3, 2, 20), new RetryBudget.BucketRate(0.2, 5, 60));
}
