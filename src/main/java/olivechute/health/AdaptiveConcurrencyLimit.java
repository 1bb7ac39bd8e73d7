package olivechute.health;

/**
 * The maximum number of attempts in flight at one endpoint, adapted by additive increase and multiplicative decrease
 * (AIMD): plus one for each request served while at least half of the limit is in use, minus a quarter when the
 * endpoint rejects a request or breaks a connection, at most once in 200 ms. An endpoint that returns from an ejection
 * starts with a limit of one. Used by {@link EndpointConnectionHealth}; times are microseconds.
 */
final class AdaptiveConcurrencyLimit {
    private static final double MIN_LIMIT = 1;
    private static final double MAX_LIMIT = 256;
    private static final double INITIAL_LIMIT = 64;
    private static final double DECREASE_FACTOR = 0.75;
    private static final long MIN_DECREASE_INTERVAL_US = 200_000;

    private double limit = INITIAL_LIMIT;
    private long lastDecreaseAtUs = Long.MIN_VALUE / 2;

    /** Records that a request was served while {@code inFlight} attempts were in flight, itself included. */
    void onServed(int inFlight) {
        if (inFlight >= limit / 2) {
            limit = Math.min(MAX_LIMIT, limit + 1);
        }
    }

    /**
     * Sets the limit to three quarters of itself, or of the attempts in flight if they were fewer, because the endpoint
     * is overloaded; {@code inFlight} attempts are still in flight.
     */
    void decrease(long nowUs, int inFlight) {
        if (nowUs - lastDecreaseAtUs >= MIN_DECREASE_INTERVAL_US) {
            limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * Math.min(limit, inFlight + 1));
            lastDecreaseAtUs = nowUs;
        }
    }

    /** Resets the limit to one attempt. */
    void resetToMinimum() {
        limit = MIN_LIMIT;
    }

    int limit() {
        return (int) limit;
    }
}
