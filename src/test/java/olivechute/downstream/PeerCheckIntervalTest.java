package olivechute.downstream;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * How often a client is looked at whose requests wait behind one another; that it is looked at, {@code ClientGoneTest}
 * shows.
 */
public class PeerCheckIntervalTest {
    /** A client that left so many microseconds ago has gone: nothing starts for it any more. */
    private static final long CLIENT_GONE_US = 100_000;

    @Test
    public void aClientIsCheckedSeveralTimesBeforeItCountsAsGone() {
        assertTrue(ConnectionReader.PEER_CHECK_INTERVAL_US > 0
                && 3 * ConnectionReader.PEER_CHECK_INTERVAL_US < CLIENT_GONE_US);
    }
}
