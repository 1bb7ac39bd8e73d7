package olivechute.loadbalancing;

/**
 * Limits that the deployment sets on a node's actions.
 *
 * @param probesAllowed whether endpoints may be probed for their load
 * @param cancelAllowed whether attempts may be cancelled
 * @param hedgingAllowed whether two attempts of one request may be in flight at once
 * @param retryAfterAllowed whether a rejection may carry a Retry-After
 * @param maxAttempts maximum number of attempts per request, including the first
 * @param maxRetryAfterUs maximum Retry-After, in microseconds
 * @param connectionIdleTimeoutUs idle time after which a connection closes by itself, in microseconds; 0 closes it at
 *     once
 */
public record DispatchLimits(
        boolean probesAllowed,
        boolean cancelAllowed,
        boolean hedgingAllowed,
        boolean retryAfterAllowed,
        int maxAttempts,
        long maxRetryAfterUs,
        long connectionIdleTimeoutUs) {}
