package olivechute.proxy;

import java.util.ArrayList;
import java.util.List;
import olivechute.loadbalancing.AttemptOutcome;

/**
 * The attempts of a request that have ended and of which status events may still arrive. Status events do not identify
 * their attempt, and an endpoint repeats each until it is acknowledged: an event from an endpoint with an entry here
 * may concern the entry as well as the attempt in flight. Owned by the event loop.
 */
final class EarlierAttempts {
    /** No attempt has ended yet; must not be added to. */
    static final EarlierAttempts NONE = new EarlierAttempts();

    /** The status events that an ended attempt may still cause. */
    private enum PossibleEvents {
        /** Only ends: the attempt was handed back and never started. */
        ENDS,
        /** Starts, progress and ends. */
        ALL
    }

    private record EndedAttempt(String endpoint, PossibleEvents possibleEvents) {}

    private List<EndedAttempt> endedAttempts = List.of();

    /**
     * Adds an attempt that has ended, unless no status event of it can arrive: an endpoint that could not be connected
     * to, or that turned the request away in its response, has not accepted it.
     */
    void add(String endpoint, AttemptOutcome outcome) {
        switch (outcome) {
            case CONNECT_FAILED, REJECTED, SUPPRESSED, NOT_SENT -> {
                // the endpoint never had the request
            }
            case RETURNED -> append(new EndedAttempt(endpoint, PossibleEvents.ENDS));
            default -> append(new EndedAttempt(endpoint, PossibleEvents.ALL));
        }
    }

    private void append(EndedAttempt attempt) {
        if (endedAttempts.isEmpty()) {
            endedAttempts = new ArrayList<>(2);
        }
        endedAttempts.add(attempt);
    }

    /** Whether any status event from this endpoint may concern an earlier attempt. */
    boolean mayCauseEventsFrom(String endpoint) {
        for (EndedAttempt attempt : endedAttempts) {
            if (attempt.endpoint.equals(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a reported start or progress from this endpoint may concern an earlier attempt. */
    boolean mayCauseStartFrom(String endpoint) {
        for (EndedAttempt attempt : endedAttempts) {
            if (attempt.endpoint.equals(endpoint) && attempt.possibleEvents == PossibleEvents.ALL) {
                return true;
            }
        }
        return false;
    }
}
