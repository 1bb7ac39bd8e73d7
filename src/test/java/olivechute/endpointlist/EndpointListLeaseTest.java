package olivechute.endpointlist;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import olivechute.loadbalancing.ServiceRules;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the lease of an endpoint list against the protocol's bounds, in virtual time. Times are microseconds. */
public class EndpointListLeaseTest {
    private static final long SECOND_US = 1_000_000;
    private static final long START_US = 1_764_000_000 * SECOND_US;
    private static final long NOTIFIED_AFTER_US = 6 * SECOND_US; // after discovery had a change
    private static final long NOTIFIED_AFTER_MOVE_US = 4 * SECOND_US; // after SIGHUP
    private static final long MAX_STALL_US = 150_000; // between reading the clock and writing
    private static final long POLL_INTERVAL_US = 10 * SECOND_US;

    private static EndpointListLease lease(long pollIntervalUs, long drainGraceUs) {
        return EndpointListLease.forPolledList(
                new ServiceRules(0, pollIntervalUs, drainGraceUs, 0.3, 8_900_000, 3, SECOND_US, false));
    }

    @DataProvider
    public Object[][] graces() {
        return new Object[][] {{500_000L}, {800_000L}, {3 * SECOND_US}, {150_000L}, {100_000L}, {0L}};
    }

    /**
     * The change is made just after the call was sent. A process that stalls after its last check of the lease must
     * still write within the drain grace.
     */
    @Test(dataProvider = "graces")
    public void noRequestIsWrittenOnceAMissedChangeIsBinding(long drainGraceUs) {
        EndpointListLease lease = lease(POLL_INTERVAL_US, drainGraceUs);
        lease.onRenewed(START_US);
        long bindsAtUs = START_US + NOTIFIED_AFTER_US + drainGraceUs;
        long lastHeldUs = START_US;
        for (long atUs = START_US; atUs < bindsAtUs + SECOND_US; atUs += 10_000) {
            lastHeldUs = lease.holds(atUs) ? atUs : lastHeldUs;
        }
        assertTrue(
                lastHeldUs + Math.min(MAX_STALL_US, drainGraceUs) <= bindsAtUs,
                "lease held until " + (bindsAtUs - lastHeldUs) + " us before the change is binding");
        assertTrue(
                lastHeldUs > START_US + NOTIFIED_AFTER_US - 20_000,
                "lease is shorter than necessary: " + (bindsAtUs - lastHeldUs));
    }

    @Test
    public void newProcessHasNoLeaseUntilDiscoveryAnswersOrIsUnreachable() {
        assertFalse(lease(POLL_INTERVAL_US, SECOND_US / 2).holds(START_US));
        EndpointListLease answered = lease(POLL_INTERVAL_US, SECOND_US / 2);
        answered.onRenewed(START_US);
        assertTrue(answered.holds(START_US + SECOND_US));
        EndpointListLease unreachable = lease(POLL_INTERVAL_US, SECOND_US / 2);
        unreachable.onDiscoveryUnreachable(START_US);
        assertTrue(unreachable.holds(START_US + SECOND_US));
    }

    /**
     * A change counts as notified only some time after discovery can be reached, so each failed connect restarts that
     * time.
     */
    @Test
    public void failedConnectsRenewTheLease() {
        EndpointListLease lease = lease(POLL_INTERVAL_US, SECOND_US / 2);
        lease.onRenewed(START_US);
        for (long atUs = START_US; atUs < START_US + 60 * SECOND_US; atUs += SECOND_US) {
            lease.onDiscoveryUnreachable(atUs);
            assertTrue(lease.holds(atUs + SECOND_US));
        }
        assertFalse(lease.holds(START_US + 60 * SECOND_US + NOTIFIED_AFTER_US + SECOND_US / 2));
    }

    private static final long IMMEDIATE_REJECTION_US = 50_000;
    private static final long DELAYED_REJECTION_US = 2 * SECOND_US;

    /** Calls that are held and then rejected, a few seconds apart, as by a discovery that is down. */
    private static void rejectAfterDelays(EndpointListLease lease, long fromUs, long toUs) {
        for (long atUs = fromUs; atUs < toUs; atUs += DELAYED_REJECTION_US + SECOND_US / 2) {
            lease.onRejected(atUs, atUs + DELAYED_REJECTION_US);
        }
    }

    @Test
    public void delayedRejectionsRenewTheLeaseForALimitedTime() {
        EndpointListLease lease = lease(POLL_INTERVAL_US, SECOND_US / 2);
        lease.onRenewed(START_US);
        rejectAfterDelays(lease, START_US + SECOND_US, START_US + POLL_INTERVAL_US);
        assertTrue(lease.holds(START_US + POLL_INTERVAL_US));
        rejectAfterDelays(lease, START_US + POLL_INTERVAL_US, START_US + 60 * SECOND_US);
        assertFalse(
                lease.holds(START_US + POLL_INTERVAL_US + NOTIFIED_AFTER_US + SECOND_US / 2),
                "a busy discovery may also hold calls before it rejects them, so the renewal must be limited");
    }

    @Test
    public void rejectionsOfABusyDiscoveryDoNotRenewTheLease() {
        EndpointListLease lease = lease(POLL_INTERVAL_US, SECOND_US / 2);
        lease.onRenewed(START_US);
        lease.onRejected(START_US + SECOND_US, START_US + SECOND_US + IMMEDIATE_REJECTION_US);
        rejectAfterDelays(
                lease,
                START_US + 2 * SECOND_US,
                START_US + 30 * SECOND_US); // known to be up: these calls waited in its queue
        assertFalse(lease.holds(START_US + NOTIFIED_AFTER_US + SECOND_US / 2));
        lease.onRenewed(START_US + 30 * SECOND_US);
        rejectAfterDelays(lease, START_US + 31 * SECOND_US, START_US + 40 * SECOND_US);
        assertTrue(lease.holds(START_US + 40 * SECOND_US));
    }

    @Test
    public void rejectionsDoNotRenewTheLeaseOfANewProcessNorAfterAMove() {
        EndpointListLease fresh = lease(POLL_INTERVAL_US, SECOND_US / 2);
        rejectAfterDelays(fresh, START_US, START_US + 30 * SECOND_US);
        assertFalse(fresh.holds(START_US + 30 * SECOND_US));
        EndpointListLease moved = lease(POLL_INTERVAL_US, SECOND_US / 2);
        moved.onRenewed(START_US);
        moved.onDiscoveryMoved(START_US + SECOND_US);
        rejectAfterDelays(moved, START_US + SECOND_US, START_US + 30 * SECOND_US);
        assertFalse(moved.holds(START_US + SECOND_US + NOTIFIED_AFTER_MOVE_US + SECOND_US / 2));
    }

    @Test
    public void unreadableAnswerLimitsTheLeaseToTheDrainGrace() {
        EndpointListLease lease = lease(POLL_INTERVAL_US, SECOND_US / 2);
        lease.onRenewed(START_US);
        lease.onUnreadableAnswer(START_US + SECOND_US);
        assertTrue(lease.holds(START_US + SECOND_US));
        assertFalse(lease.holds(START_US + SECOND_US + SECOND_US / 2 - MAX_STALL_US));
        lease.onRenewed(START_US); // applied late: sent before the answer that could not be read
        assertFalse(lease.holds(START_US + SECOND_US + SECOND_US / 2));
        lease.onRenewed(START_US + SECOND_US);
        assertTrue(lease.holds(START_US + SECOND_US + SECOND_US / 2));
    }

    @Test
    public void discoveryMoveShortensTheLease() {
        EndpointListLease lease = lease(POLL_INTERVAL_US, SECOND_US / 2);
        lease.onRenewed(START_US);
        lease.onDiscoveryMoved(START_US + SECOND_US / 10);
        long bindsAtUs = START_US + SECOND_US / 10 + NOTIFIED_AFTER_MOVE_US + SECOND_US / 2;
        assertTrue(lease.holds(START_US + NOTIFIED_AFTER_MOVE_US));
        assertFalse(lease.holds(bindsAtUs - MAX_STALL_US));
        lease.onRenewed(START_US); // an answer from the old address
        assertFalse(lease.holds(bindsAtUs - MAX_STALL_US));
        lease.onRenewed(START_US + SECOND_US);
        assertTrue(lease.holds(START_US + SECOND_US + NOTIFIED_AFTER_US));
    }

    @DataProvider
    public Object[][] everies() {
        return new Object[][] {
            {0L, NOTIFIED_AFTER_US},
            {POLL_INTERVAL_US, NOTIFIED_AFTER_US},
            {2 * SECOND_US, 2 * SECOND_US},
            {SECOND_US, SECOND_US}
        };
    }

    @Test(dataProvider = "everies")
    public void leaseLastsNoLongerThanThePollInterval(long pollIntervalUs, long durationUs) {
        EndpointListLease lease = lease(pollIntervalUs, MAX_STALL_US);
        lease.onRenewed(START_US);
        assertEquals(lease.holds(START_US + durationUs - 1), true);
        assertEquals(lease.holds(START_US + durationUs), false);
    }

    @Test
    public void leaseOfAPushedListNeverExpires() {
        EndpointListLease lease = EndpointListLease.nonExpiring();
        lease.onUnreadableAnswer(START_US);
        lease.onDiscoveryMoved(START_US);
        assertTrue(lease.holds(START_US + 3600 * SECOND_US));
        assertTrue(lease.holds(Long.MIN_VALUE));
    }
}
