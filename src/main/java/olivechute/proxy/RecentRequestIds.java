package olivechute.proxy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that ended recently and of which something was sent upstream. Status events of them may still
 * come, so no new request may have such an id. Bounded in number. On the event loop; times are microseconds on its
 * clock.
 */
final class RecentRequestIds {
    /** How long status events of a request that has ended may still come. */
    private static final long RETAINED_US = 10_000_000;

    private static final int MAX_IDS = 4096;

    private final Map<String, Long> endedAtUs = new LinkedHashMap<>();

    /** A request ended now; those that ended too long ago are forgotten. */
    void add(String id, long nowUs) {
        endedAtUs.put(id, nowUs);
        for (Iterator<Long> endTimes = endedAtUs.values().iterator(); endTimes.hasNext(); ) {
            if (nowUs - endTimes.next() < RETAINED_US && endedAtUs.size() <= MAX_IDS) {
                break;
            }
            endTimes.remove();
        }
    }

    /** Whether it ended so recently that status events of it may still come. */
    boolean contains(String id, long nowUs) {
        Long ended = endedAtUs.get(id);
        return ended != null && nowUs - ended < RETAINED_US;
    }
}
