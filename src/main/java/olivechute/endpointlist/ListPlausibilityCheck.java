package olivechute.endpointlist;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether an answer of discovery is used at once. A full list that lacks more than half of the endpoints known
 * before is more often caused by a fault of discovery than by a failure of the fleet: the list is requested once more,
 * and the second answer is used whatever it says. A change names its endpoints and is always used. Used by the endpoint
 * list watcher on the discovery thread; not thread-safe.
 */
public final class ListPlausibilityCheck {
    private static final int MIN_KNOWN_ENDPOINTS = 2;

    private Set<String> knownEndpoints = new HashSet<>();

    /**
     * Whether discovery should be polled once more after a full list of these endpoints; their states do not matter.
     */
    public boolean isImplausible(Set<String> listed) {
        long retainedEndpoints =
                knownEndpoints.stream().filter(listed::contains).count();
        return knownEndpoints.size() >= MIN_KNOWN_ENDPOINTS && 2 * retainedEndpoints < knownEndpoints.size();
    }

    /** Handles a full list that is put into use: from now on its endpoints are the known ones. */
    public void onFullList(Set<String> listed) {
        knownEndpoints = new HashSet<>(listed);
    }

    /** Handles a change that is put into use: from now on this endpoint is listed, or no longer listed. */
    public void onChange(String endpoint, boolean listed) {
        if (listed) {
            knownEndpoints.add(endpoint);
        } else {
            knownEndpoints.remove(endpoint);
        }
    }
}
