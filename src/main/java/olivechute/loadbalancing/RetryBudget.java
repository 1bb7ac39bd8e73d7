package olivechute.loadbalancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of a node by token buckets, one per tenant and one for the node. A bucket is filled by a fraction
 * of a token per first attempt and by some tokens per second, so that the load does not double when all requests of the
 * fleet fail. A retry after a failed connect or a rejection costs half a token; after a stale connection or a
 * suppressed attempt it is free. Tenants that the settings do not name share one bucket. Times are microseconds. Not
 * thread-safe.
 */
public final class RetryBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double POSSIBLY_EXECUTED_COST = 1;
    private static final double NOT_EXECUTED_COST = 0.5;

    /**
     * Fill rate and size of a token bucket.
     *
     * @param perFirstAttempt tokens added per first attempt
     * @param perSecond tokens added per second
     * @param capacity maximum number of tokens
     */
    public record BucketRate(double perFirstAttempt, double perSecond, double capacity) {}

    private final Bucket nodeBucket;
    private final Map<String, Bucket> tenantBuckets = new HashMap<>();
    private final Bucket otherTenantsBucket;

    /** Creates half-full buckets, one for each of these tenants. */
    public RetryBudget(Collection<String> tenants, BucketRate tenantRate, BucketRate nodeRate) {
        tenants.forEach(tenant -> tenantBuckets.put(tenant, new Bucket(tenantRate)));
        this.otherTenantsBucket = new Bucket(tenantRate);
        this.nodeBucket = new Bucket(nodeRate);
    }

    /** Adds tokens for a request of this tenant that was sent for the first time. */
    public void onFirstAttempt(long nowUs, String tenant) {
        nodeBucket.onFirstAttempt(nowUs);
        bucketOf(tenant).onFirstAttempt(nowUs);
    }

    /** Takes the cost of a retry after this outcome. Returns false if the tenant or the node has too few tokens. */
    public boolean tryTake(long nowUs, String tenant, AttemptOutcome lastOutcome) {
        double cost = cost(lastOutcome);
        Bucket tenantBucket = bucketOf(tenant);
        if (nodeBucket.refill(nowUs) < cost || tenantBucket.refill(nowUs) < cost) {
            return false;
        }
        nodeBucket.tokens -= cost;
        tenantBucket.tokens -= cost;
        return true;
    }

    /** Returns the number of tokens available to the node. */
    public double availableTokens(long nowUs) {
        return nodeBucket.refill(nowUs);
    }

    private static double cost(AttemptOutcome lastOutcome) {
        return switch (lastOutcome) {
            case STALE_CONNECTION, SUPPRESSED -> 0;
            case CONNECT_FAILED, REJECTED, RETURNED -> NOT_EXECUTED_COST;
            default -> POSSIBLY_EXECUTED_COST;
        };
    }

    private Bucket bucketOf(String tenant) {
        return tenantBuckets.getOrDefault(tenant, otherTenantsBucket);
    }

    private static final class Bucket {
        private static final long NEVER_US = Long.MIN_VALUE;

        private final BucketRate rate;
        private double tokens;
        private long refilledAtUs = NEVER_US;

        Bucket(BucketRate rate) {
            this.rate = rate;
            this.tokens = rate.capacity() / 2;
        }

        void onFirstAttempt(long nowUs) {
            tokens = Math.min(rate.capacity(), refill(nowUs) + rate.perFirstAttempt());
        }

        double refill(long nowUs) {
            if (refilledAtUs != NEVER_US) {
                double added = rate.perSecond() * (nowUs - refilledAtUs) / MICROS_PER_SECOND;
                tokens = Math.min(rate.capacity(), tokens + added);
            }
            refilledAtUs = nowUs;
            return tokens;
        }
    }
}
