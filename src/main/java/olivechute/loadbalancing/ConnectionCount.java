package olivechute.loadbalancing;

/** How many connections to one endpoint are open, as far as this node's attempts show it. */
final class ConnectionCount {
    private int openConnections;
    private long allLastInUseAtUs;

    /** So many attempts are in flight, each on a connection of its own. */
    void onSend(long nowUs, int attemptsInFlight) {
        if (attemptsInFlight >= openConnections) {
            openConnections = attemptsInFlight;
            allLastInUseAtUs = nowUs;
        }
    }

    /** All connections but those of the attempts in flight are gone. */
    void onIdleClosed(int attemptsInFlight) {
        openConnections = attemptsInFlight;
    }

    boolean hasIdle(int attemptsInFlight) {
        return openConnections > attemptsInFlight;
    }

    /** When all of them were last in use, in microseconds. */
    long allLastInUseAtUs() {
        return allLastInUseAtUs;
    }
}
