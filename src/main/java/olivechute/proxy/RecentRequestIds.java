package olivechute.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ids of requests that ended recently and of which something was sent upstream. Late status events for them may still
 * arrive, so a new request with such an id is rejected as a duplicate. The number of ids is bounded. Used on the event
 * loop; times are microseconds on its clock.
 */
final class RecentRequestIds {
    /** How long status events of an ended request may still arrive. */
    private static final long RETAINED_US = 10_000_000;

    private static final int MAX_IDS = 4096;

    private final Map<String, Long> endedAtUs = new LinkedHashMap<>();

    /** Adds a request that ended now, and drops the ids that are too old or exceed the maximum. */
    void add(String id, long nowUs) {
        endedAtUs.put(id, nowUs);
        for (Iterator<Long> endTimes = endedAtUs.values().iterator(); endTimes.hasNext(); ) {
            if (nowUs - endTimes.next() < RETAINED_US && endedAtUs.size() <= MAX_IDS) {
                break;
            }
            endTimes.remove();
        }
    }

    /** Whether the request ended so recently that status events for it may still arrive. */
    boolean contains(String id, long nowUs) {
        Long ended = endedAtUs.get(id);
        return ended != null && nowUs - ended < RETAINED_US;
    }
}
