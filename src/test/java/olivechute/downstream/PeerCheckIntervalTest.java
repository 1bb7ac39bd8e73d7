package olivechute.downstream;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against a client that disconnects while its pipelined requests wait, and is noticed too late because it is
 * checked too rarely. {@code ClientDisconnectTest} shows that it is checked at all.
 */
public class PeerCheckIntervalTest {
    /**
     * Microseconds after which a client that disconnected counts as gone, so that none of its requests starts any more.
     */
    private static final long CLIENT_GONE_US = 100_000;

    @Test
    public void aClientIsCheckedSeveralTimesBeforeItCountsAsGone() {
        assertTrue(ConnectionReader.PEER_CHECK_INTERVAL_US > 0
                && 3 * ConnectionReader.PEER_CHECK_INTERVAL_US < CLIENT_GONE_US);
    }
}
