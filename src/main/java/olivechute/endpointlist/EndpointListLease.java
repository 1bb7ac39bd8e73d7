package olivechute.endpointlist;

import olivechute.loadbalancing.ServiceRules;

/**
 * How long requests may be sent on the basis of the endpoint list that a node has. Nothing may be sent to a draining
 * endpoint once the drain grace has passed since the node counts as notified. Where discovery is polled, a node counts
 * as notified {@value #NOTIFIED_AFTER_US} us after discovery had the change and was reachable, whether or not the
 * node's calls succeeded. A list is therefore valid for that time plus the drain grace, counted from the moment at
 * which it was known to be complete: the moment at which the answered call was sent. A list that is not renewed may
 * still be right, but nothing may be sent by it any more.
 *
 * <p>A new process has no lease, as the list in its configuration may be of any age. An unreachable discovery notifies
 * no node, so a failed connect renews the lease as well. Where lists are pushed to an agent on the node's own machine
 * the lease is {@link #nonExpiring}: a change counts as notified as soon as the agent has it, and a change that the
 * agent cannot get counts as notified to no node.
 *
 * <p>Times are microseconds on the event loop's clock. Thread-safe: the endpoint list watcher reports failed calls on
 * its own thread, while the event loop renews and reads the lease.
 */
public final class EndpointListLease {
    /** Bound of the protocol: a change counts as notified no later than this after discovery had it. */
    static final long NOTIFIED_AFTER_US = 6_000_000;
    /** The same bound after a configuration reload that moves discovery, counted from the signal. */
    static final long NOTIFIED_AFTER_MOVE_US = 4_000_000;
    /** The longest stall of this process between reading the clock and writing a request that the lease allows for. */
    static final long MAX_STALL_US = 150_000;
    /** A discovery that rejects a call sooner than this is up and busy; one that is down holds the call first. */
    static final long IMMEDIATE_REJECTION_LIMIT_US = 1_000_000;
    /** A discovery that holds calls and then rejects them is assumed to be down for this long after its last answer. */
    static final long MAX_ASSUMED_DOWN_US = 10_000_000;

    private static final long NEVER_US = Long.MIN_VALUE;

    private final boolean nonExpiring;
    private final long graceUs;
    private final long durationUs;
    private final long maxAssumedDownUs;
    private volatile long expiresAtUs;

    /** Answers to calls sent before this moment do not renew the lease. Guarded by this. */
    private long invalidatedAtUs = NEVER_US;
    /** Whether no answer has renewed the lease since {@link #invalidatedAtUs}. Guarded by this. */
    private boolean invalidated;
    /** Whether discovery has rejected a call at once since the last answer. Guarded by this. */
    private boolean discoveryBusy;
    /** Whether an answer has ever renewed the lease. Guarded by this. */
    private boolean everAnswered;
    /** The latest moment at which a call was sent that renewed the lease. Guarded by this. */
    private long lastAnswerAsOfUs;

    private EndpointListLease(
            boolean nonExpiring, long graceUs, long durationUs, long maxAssumedDownUs, long expiresAtUs) {
        this.nonExpiring = nonExpiring;
        this.graceUs = graceUs;
        this.durationUs = durationUs;
        this.maxAssumedDownUs = maxAssumedDownUs;
        this.expiresAtUs = expiresAtUs;
    }

    /** Creates the lease of a node that polls discovery under these rules; it holds from the first renewal on. */
    public static EndpointListLease forPolledList(ServiceRules rules) {
        long graceUs = Math.max(0, rules.drainGraceUs() - MAX_STALL_US);
        return new EndpointListLease(
                false,
                graceUs,
                rules.cappedPollDelayUs(NOTIFIED_AFTER_US) + graceUs,
                rules.cappedPollDelayUs(MAX_ASSUMED_DOWN_US),
                NEVER_US);
    }

    /** Creates a lease that always holds, for lists that are pushed to an agent. */
    public static EndpointListLease nonExpiring() {
        return new EndpointListLease(true, 0, 0, 0, Long.MAX_VALUE);
    }

    /** Whether requests may be sent by the list at this moment. */
    public boolean holds(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** How long ago the lease expired: 0 while it holds, {@link Long#MAX_VALUE} if it never held. */
    public long expiredForUs(long nowUs) {
        long expiryUs = expiresAtUs;
        if (nowUs < expiryUs) {
            return 0;
        }
        return expiryUs == NEVER_US ? Long.MAX_VALUE : nowUs - expiryUs;
    }

    /** Renews the lease: the list in use was complete at {@code asOfUs}, when the call that it answers was sent. */
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

    /** Handles a connect to discovery that began at this time and failed: discovery had notified no node until then. */
    public synchronized void onDiscoveryUnreachable(long atUs) {
        extend(atUs);
    }

    /**
     * Handles a call that discovery rejected (503). A busy discovery rejects at once, as its queue is full, and is
     * reachable. One that is down holds the call first ({@value #IMMEDIATE_REJECTION_LIMIT_US} us separate the two
     * cases), and the rejection renews the lease like a failed connect. It does not renew the lease if this process
     * never had an answer, if discovery is known to have been up since the last answer, or if this node is known to
     * lack a change: after a move, and after an answer that could not be read. As a busy discovery may hold calls too,
     * this applies for {@value #MAX_ASSUMED_DOWN_US} us after the last answer, or less if the settings have a shorter
     * poll interval.
     */
    public synchronized void onRejected(long sentAtUs, long rejectedAtUs) {
        discoveryBusy |= rejectedAtUs - sentAtUs < IMMEDIATE_REJECTION_LIMIT_US;
        boolean assumedDown = sentAtUs < lastAnswerAsOfUs + maxAssumedDownUs;
        if (everAnswered && !discoveryBusy && !invalidated && assumedDown) {
            extend(sentAtUs);
        }
    }

    /** Handles an answer of discovery that this node could not read; the changes in it count as notified. */
    public synchronized void onUnreadableAnswer(long atUs) {
        invalidate(atUs, graceUs);
    }

    /** Handles a new configuration that moved discovery to another address at this time. */
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
