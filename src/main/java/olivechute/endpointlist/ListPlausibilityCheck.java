package olivechute.endpointlist;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether an answer of discovery is used at once. A full list that lacks more than half of the endpoints known before,
 * or all of them, is more often discovery's fault than the fleet's: it is polled once more, and the second answer is
 * used whatever it says. A change names its endpoints and is always used.
 */
public final class ListPlausibilityCheck {
    private static final int MIN_KNOWN_ENDPOINTS = 2;

    private Set<String> knownEndpoints = new HashSet<>();

    /** Whether a full list of these endpoints, in whatever state, should be polled once more. */
    public boolean isImplausible(Set<String> listed) {
        long retainedEndpoints =
                knownEndpoints.stream().filter(listed::contains).count();
        return knownEndpoints.size() >= MIN_KNOWN_ENDPOINTS && 2 * retainedEndpoints < knownEndpoints.size();
    }

    /** A full list is used. */
    public void onFullList(Set<String> listed) {
        knownEndpoints = new HashSet<>(listed);
    }

    /** A change is used: this endpoint is listed from now on, or no longer. */
    public void onChange(String endpoint, boolean listed) {
        if (listed) {
            knownEndpoints.add(endpoint);
        } else {
            knownEndpoints.remove(endpoint);
        }
    }
}
