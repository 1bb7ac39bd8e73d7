package olivechute.health;

/**
 * The most attempts in flight at one endpoint, by additive increase and multiplicative decrease (AIMD): one more for
 * each request served while half of the limit is in use, a quarter fewer when the endpoint rejects one or breaks a
 * connection, at most once in 200 ms. An endpoint that returns from an ejection begins at one. Times are microseconds.
 */
final class AdaptiveConcurrencyLimit {
    private static final double MIN_LIMIT = 1;
    private static final double MAX_LIMIT = 256;
    private static final double INITIAL_LIMIT = 64;
    private static final double DECREASE_FACTOR = 0.75;
    private static final long MIN_DECREASE_INTERVAL_US = 200_000;

    private double limit = INITIAL_LIMIT;
    private long lastDecreaseAtUs = Long.MIN_VALUE / 2;

    /** A request was served while so many were in flight, itself included. */
    void onServed(int inFlight) {
        if (inFlight >= limit / 2) {
            limit = Math.min(MAX_LIMIT, limit + 1);
        }
    }

    /** The endpoint is overloaded; so many attempts are still in flight. */
    void decrease(long nowUs, int inFlight) {
        if (nowUs - lastDecreaseAtUs >= MIN_DECREASE_INTERVAL_US) {
            limit = Math.max(MIN_LIMIT, DECREASE_FACTOR * Math.min(limit, inFlight + 1));
            lastDecreaseAtUs = nowUs;
        }
    }

    /** Begins anew at one attempt. */
    void resetToMinimum() {
        limit = MIN_LIMIT;
    }

    int limit() {
        return (int) limit;
    }
}
