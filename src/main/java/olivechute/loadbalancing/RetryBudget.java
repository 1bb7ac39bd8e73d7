package olivechute.loadbalancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many retries a node may make: a part of the first attempts and a few a second besides, for each tenant and for
 * all together, in token buckets. A fleet that fails everything is then not sent everything twice. A retry after a
 * failed connect or a rejection costs half a token; after a stale connection or a suppressed attempt, nothing. Tenants
 * that the settings do not name share one bucket. Times are microseconds.
 */
public final class RetryBudget {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double POSSIBLY_EXECUTED_COST = 1;
    private static final double NOT_EXECUTED_COST = 0.5;

    /**
     * How a token bucket fills.
     *
     * @param perFirstAttempt tokens for each first attempt
     * @param perSecond tokens a second besides
     * @param capacity the most tokens that are saved up
     */
    public record BucketRate(double perFirstAttempt, double perSecond, double capacity) {}

    private final Bucket nodeBucket;
    private final Map<String, Bucket> tenantBuckets = new HashMap<>();
    private final Bucket otherTenantsBucket;

    /** Makes half-full buckets, one for each of these tenants. */
    public RetryBudget(Collection<String> tenants, BucketRate tenantRate, BucketRate nodeRate) {
        tenants.forEach(tenant -> tenantBuckets.put(tenant, new Bucket(tenantRate)));
        this.otherTenantsBucket = new Bucket(tenantRate);
        this.nodeBucket = new Bucket(nodeRate);
    }

    /** A request of this tenant was sent for the first time. */
    public void onFirstAttempt(long nowUs, String tenant) {
        nodeBucket.onFirstAttempt(nowUs);
        bucketOf(tenant).onFirstAttempt(nowUs);
    }

    /** Takes what a retry costs after such an outcome; false if the tenant or the node has not that much. */
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

    /** Tokens that the node has left. */
    public double availableTokens(long nowUs) {
        return nodeBucket.refill(nowUs);
    }

    private static double cost(AttemptOutcome lastOutcome) {
        return switch (lastOutcome) {
            case STALE_CONNECTION, SUPPRESSED -> 0;
            case CONNECT_FAILED, REJECTED -> NOT_EXECUTED_COST;
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
