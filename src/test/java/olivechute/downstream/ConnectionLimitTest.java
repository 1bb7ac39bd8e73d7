package olivechute.downstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConnectionLimitTest {
    private static final int MAX_CONNECTIONS = 400;

    @Test
    public void checksAreDueAboveSixtyFourConnectionsOncePerInterval() {
        ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);
        int checks = 0;
        for (int open = 1; open <= 64; open++) {
            assertFalse(limit.beginCheckIfDue(open));
        }
        for (int open = 65; open < 65 + 10 * (ConnectionLimit.CONNECTIONS_PER_CHECK + 1); open++) {
            checks += limit.beginCheckIfDue(open) ? 1 : 0;
        }
        assertEquals(checks, 10);
        assertFalse(limit.beginCheckIfDue(100), "already checked");
    }

    /** Between two checks the threads of the reserve stay free. */
    @Test
    public void aCheckCoversTheConnectionsUpToTheNextCheckAndTheReserve() {
        ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);
        int checkedThreads = ConnectionLimit.UNCHECKED_CONNECTIONS + ConnectionLimit.RESERVED_THREADS;
        for (int open = 1; open <= MAX_CONNECTIONS; open++) {
            assertTrue(open + ConnectionLimit.RESERVED_THREADS <= checkedThreads + 1, "at " + open);
            checkedThreads = limit.beginCheckIfDue(open) ? open + ConnectionLimit.CHECK_THREADS : checkedThreads;
        }
    }

    @Test
    public void theLimitIsReducedForAWhileAfterAThreadWasUnavailable() {
        ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);
        assertEquals(limit.limitAt(0), MAX_CONNECTIONS);
        limit.onThreadUnavailable(300, 1_000);
        assertEquals(limit.limitAt(1_000), 300 - ConnectionLimit.CHECK_THREADS);
        limit.onThreadUnavailable(260, 2_000);
        assertEquals(limit.limitAt(2_000), 260 - ConnectionLimit.CHECK_THREADS);
        assertEquals(limit.limitAt(2_000 + ConnectionLimit.REDUCTION_US - 1), 260 - ConnectionLimit.CHECK_THREADS);
        assertEquals(limit.limitAt(2_000 + ConnectionLimit.REDUCTION_US), MAX_CONNECTIONS);
        assertTrue(
                limit.beginCheckIfDue(260 - ConnectionLimit.CHECK_THREADS + 1),
                "a check is due again above the reduced limit");
    }

    @Test
    public void theLimitNeverFallsBelowOne() {
        ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);
        limit.onThreadUnavailable(40, 0);
        assertEquals(limit.limitAt(0), 20);
        limit.onThreadUnavailable(1, 0);
        assertEquals(limit.limitAt(0), 1);
        limit.onThreadUnavailable(0, 0);
        assertEquals(limit.limitAt(0), 1);
    }
}
