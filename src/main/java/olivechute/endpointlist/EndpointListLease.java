package olivechute.endpointlist;

import olivechute.loadbalancing.ServiceRules;

/**
 * For how long requests may be sent by the endpoint list that a node has. An endpoint that begins to drain is no longer
 * sent to once the node counts as notified; where discovery is polled, that is {@value #NOTIFIED_AFTER_US} us after
 * discovery had the change and could be reached, whatever became of the node's calls. So a list is good for that long
 * and the grace of a drain, from the moment at which it was known to be complete: when the call was sent that discovery
 * answered. A list that nothing renews is not wrong, but nothing may be sent by it any more.
 *
 * <p>A new process holds no lease: the list in its configuration may be of any age. A discovery that cannot be reached
 * notifies nobody, so a failed connect renews the lease too. Where lists are pushed to an agent on the node's own
 * machine the lease is {@link #endless}: what the agent has counts at once, and what it cannot get counts for nobody.
 *
 * <p>Times are microseconds on the caller's clock. Safe for use by several threads.
 */
public final class EndpointListLease {
    /** The protocol's bound: a change counts as notified no later than this after discovery had it. */
    static final long NOTIFIED_AFTER_US = 6_000_000;
    /** The same after a new configuration that moves discovery, counted from the signal. */
    static final long NOTIFIED_AFTER_MOVE_US = 4_000_000;
    /** A process may be stalled for so long between reading its clock and writing. */
    static final long MAX_STALL_US = 150_000;
    /** A discovery that rejects a call sooner is up and busy; one that is down has the call wait first. */
    static final long IMMEDIATE_REJECTION_LIMIT_US = 1_000_000;
    /** For so long after an answer a discovery that has calls wait and rejects them is taken to be down. */
    static final long MAX_ASSUMED_DOWN_US = 10_000_000;

    private static final long NEVER_US = Long.MIN_VALUE;

    private final boolean nonExpiring;
    private final long graceUs;
    private final long durationUs;
    private final long maxAssumedDownUs;
    private volatile long expiresAtUs;

    /** What was known before this moment renews nothing any more. Guarded by this. */
    private long invalidatedAtUs = NEVER_US;
    /** Whether no answer came since. Guarded by this. */
    private boolean invalidated;
    /** Whether discovery rejected a call at once since the last answer. Guarded by this. */
    private boolean discoveryBusy;
    /** Whether an answer ever renewed the list. Guarded by this. */
    private boolean everAnswered;
    /** Guarded by this. */
    private long lastAnswerAsOfUs;

    private EndpointListLease(
            boolean nonExpiring, long graceUs, long durationUs, long maxAssumedDownUs, long expiresAtUs) {
        this.nonExpiring = nonExpiring;
        this.graceUs = graceUs;
        this.durationUs = durationUs;
        this.maxAssumedDownUs = maxAssumedDownUs;
        this.expiresAtUs = expiresAtUs;
    }

    /** For a node that polls discovery under these rules; holds from the first renewal on. */
    public static EndpointListLease forPolledList(ServiceRules rules) {
        long graceUs = Math.max(0, rules.drainGraceUs() - MAX_STALL_US);
        return new EndpointListLease(
                false,
                graceUs,
                rules.cappedPollDelayUs(NOTIFIED_AFTER_US) + graceUs,
                rules.cappedPollDelayUs(MAX_ASSUMED_DOWN_US),
                NEVER_US);
    }

    /** A lease that always holds. */
    public static EndpointListLease nonExpiring() {
        return new EndpointListLease(true, 0, 0, 0, Long.MAX_VALUE);
    }

    /** Whether requests may be sent by the list. */
    public boolean holds(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** For how long it has expired; 0 while it holds, {@link Long#MAX_VALUE} if it never did. */
    public long expiredForUs(long nowUs) {
        long expiryUs = expiresAtUs;
        if (nowUs < expiryUs) {
            return 0;
        }
        return expiryUs == NEVER_US ? Long.MAX_VALUE : nowUs - expiryUs;
    }

    /** The list was complete at a moment: the call was sent then whose answer is in use now. */
    public synchronized void onRenewed(long asOfUs) {
        if (asOfUs >= invalidatedAtUs) {
            invalidated = false;
            discoveryBusy = false;
            everAnswered = true;
            lastAnswerAsOfUs = Math.max(lastAnswerAsOfUs, asOfUs);
            extend(asOfUs);
        }
    }

    private void extend(long fromUs) {
        expiresAtUs = Math.max(expiresAtUs, fromUs + durationUs);
    }

    /** No connection to discovery could be made, tried at this moment: it notified nobody until then. */
    public synchronized void onDiscoveryUnreachable(long atUs) {
        extend(atUs);
    }

    /**
     * Discovery rejected a call (503). A busy one rejects at once, as its queue is full: it can be reached. One that is
     * down has the call wait first ({@value #IMMEDIATE_REJECTION_US} us are between the two), and then the list is
     * renewed as by a connect that failed. But not for a process that never had an answer, nor once discovery is known
     * to be up since the last one, nor where this node is known to lack something: after a move, and after an answer
     * that could not be read. As a busy one may have calls wait too, this holds for {@value #DOWN_BY_REJECTIONS_US} us
     * after the last answer, less where the settings have it so.
     */
    public synchronized void onRejected(long sentAtUs, long rejectedAtUs) {
        discoveryBusy |= rejectedAtUs - sentAtUs < IMMEDIATE_REJECTION_LIMIT_US;
        boolean assumedDown = sentAtUs < lastAnswerAsOfUs + maxAssumedDownUs;
        if (everAnswered && !discoveryBusy && !invalidated && assumedDown) {
            extend(sentAtUs);
        }
    }

    /** Discovery has written something that this node could not read: that counts as notified. */
    public synchronized void onUnreadableAnswer(long atUs) {
        invalidate(atUs, graceUs);
    }

    /** A new configuration moved discovery at this moment. */
    public synchronized void onDiscoveryMoved(long atUs) {
        invalidate(atUs, NOTIFIED_AFTER_MOVE_US + graceUs);
    }

    private void invalidate(long atUs, long validForUs) {
        if (!nonExpiring) {
            invalidatedAtUs = atUs;
            invalidated = true;
            expiresAtUs = Math.min(expiresAtUs, atUs + validForUs);
        }
    }
}
