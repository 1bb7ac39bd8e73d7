package olivechute.proxy;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class RecentRequestIdsTest {
    private static final long S = 1_000_000;

    @Test
    public void idIsRetainedForTenSeconds() {
        RecentRequestIds recentIds = new RecentRequestIds();
        recentIds.add("a", S);
        assertFalse(recentIds.contains("b", S));
        assertTrue(recentIds.contains("a", 11 * S - 1));
        assertFalse(recentIds.contains("a", 11 * S));
    }

    /** If more than 4,096 requests ended within ten seconds, the oldest ids are dropped. */
    @Test
    public void oldestIdIsDroppedAboveTheMaximum() {
        RecentRequestIds recentIds = new RecentRequestIds();
        for (int i = 0; i <= 4096; i++) {
            recentIds.add("s" + i, S + i);
        }
        assertFalse(recentIds.contains("s0", 2 * S));
        assertTrue(recentIds.contains("s1", 2 * S));
        assertTrue(recentIds.contains("s4096", 2 * S));
    }
}
