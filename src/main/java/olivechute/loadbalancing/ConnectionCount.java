package olivechute.loadbalancing;

/** Estimates the number of open connections to one endpoint from this node's attempts. */
final class ConnectionCount {
    private int openConnections;
    private long allLastInUseAtUs;

    /**
     * Handles the send of an attempt, which {@code attemptsInFlight} includes; each attempt uses its own connection.
     */
    void onSend(long nowUs, int attemptsInFlight) {
        if (attemptsInFlight >= openConnections) {
            openConnections = attemptsInFlight;
            allLastInUseAtUs = nowUs;
        }
    }

    /** Handles the closing of all connections that no attempt in flight uses. */
    void onIdleClosed(int attemptsInFlight) {
        openConnections = attemptsInFlight;
    }

    boolean hasIdle(int attemptsInFlight) {
        return openConnections > attemptsInFlight;
    }

    /** Returns when all open connections were last in use at once, in microseconds. */
    long allLastInUseAtUs() {
        return allLastInUseAtUs;
    }
}
