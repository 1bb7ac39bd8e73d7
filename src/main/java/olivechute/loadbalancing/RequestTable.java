package olivechute.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/** The requests that are unanswered or have an attempt in flight, by id. */
final class RequestTable {
    private final Map<String, PendingRequest> byId = new HashMap<>();

    void add(PendingRequest request) {
        byId.put(request.clientRequest.id(), request);
    }

    /** Returns {@code null} if the request is unknown. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    /** Returns the attempt that an event refers to, or {@code null} if it is unknown or has ended. */
    Attempt attemptInFlight(String id, int attemptIndex) {
        PendingRequest request = byId.get(id);
        if (request == null || attemptIndex < 0 || attemptIndex >= request.attempts.size()) {
            return null;
        }
        Attempt attempt = request.attempts.get(attemptIndex);
        return attempt.inFlight ? attempt : null;
    }

    void removeIfDone(PendingRequest request) {
        if (request.answered && request.attemptsInFlight == 0) {
            byId.remove(request.clientRequest.id());
        }
    }
}
