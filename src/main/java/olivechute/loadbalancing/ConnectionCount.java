package olivechute.loadbalancing;

/** Number of open connections to one endpoint, derived from this node's attempts. */
final class ConnectionCount {
    private int openConnections;
    private long allLastInUseAtUs;

    /** Handles a send; {@code attemptsInFlight} includes it, and each attempt uses a connection of its own. */
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
