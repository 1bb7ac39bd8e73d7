package olivechute.loadbalancing;

/**
 * Limits the attempts in flight at one endpoint that does not report its load. Additive increase and multiplicative
 * decrease: the window grows by one for each request that finishes while at least half of the window is in use. It
 * shrinks by a quarter when requests queue at the endpoint, at most once per mean running time, and at each ejection
 * after a failure.
 */
final class ConcurrencyWindow {
    private static final double MAX_SIZE = 64;
    private static final double DECREASE_FACTOR = 0.75;

    private double size = 1;
    private long lastDecreasedAtUs;

    void onFinished(boolean congested, long nowUs, double meanRunTimeUs, int attemptsInFlight) {
        if (congested) {
            if (nowUs - lastDecreasedAtUs > meanRunTimeUs) {
                decrease();
                lastDecreasedAtUs = nowUs;
            }
        } else if (attemptsInFlight + 1 >= size / 2) {
            size = Math.min(MAX_SIZE, size + 1);
        }
    }

    void decrease() {
        size = Math.max(1, DECREASE_FACTOR * size);
    }

    void clear() {
        size = 1;
    }

    boolean hasCapacity(int attemptsInFlight) {
        return attemptsInFlight < Math.floor(size);
    }
}
