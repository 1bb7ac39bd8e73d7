package olivechute.proxy;

import java.util.function.LongPredicate;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.RequestClass;

/**
 * The state of one client request from its arrival until it is answered and its last attempt has ended. Owned by the
 * event loop; the fields that the check before the first byte reads, on any thread, are volatile. Times are
 * microseconds on the event loop's clock.
 */
@SuppressWarnings("ReferenceEquality") // attempts are compared by identity: two with equal fields are still distinct
final class ActiveRequest implements PreSendCheck {
    /** An answer is sent at least this long before the client's deadline, so that it still reaches the client. */
    static final long DEADLINE_MARGIN_US = 12_000;

    private static final long NOT_STARTED = -1;

    final String id;
    final ProxyEvent.RequestArrived arrival;
    final int classIndex;
    final RequestClass requestClass;
    final long openedAtUs;
    /** When the node gives up the request: the client's deadline, or the end of a drain if that is earlier. */
    volatile long giveUpAtUs;

    TimerWheel.Timer deadlineTimer;
    volatile boolean answered;

    /** The attempt in flight, {@code null} if there is none. */
    volatile UpstreamRequest inFlightAttempt;
    /** When the first attempt that the endpoint may have executed was sent, or {@link RequestRules#NEVER}. */
    volatile long possiblyExecutedSinceUs = RequestRules.NEVER;

    /** Attempts that have ended and may still cause status events. */
    private EarlierAttempts earlierAttempts = EarlierAttempts.NONE;

    int attemptCount;
    /** Number of attempts that were suppressed before a byte was written. */
    int suppressedAttempts;
    /** Outcome of the last attempt that ended, {@code null} before the first. */
    AttemptOutcome lastOutcome;
    /** Whether an attempt failed on a reused idle connection; later attempts then use only new connections. */
    boolean needsNewConnection;

    /** Fires if the endpoint does not accept the attempt in flight in time. */
    TimerWheel.Timer acceptTimer;

    /** When the latest attempt was sent; 0 before the first. */
    long sentAtUs;

    long acceptedAtUs;
    /** Whether the endpoint accepted the attempt in flight. */
    boolean attemptAccepted;
    /**
     * Whether the endpoint was asked to cancel the attempt in flight because a status event may concern an earlier
     * attempt.
     */
    boolean cancelRequested;
    /**
     * Whether the endpoint reported that the attempt in flight runs, by a status event that concerns no earlier
     * attempt.
     */
    boolean startConfirmed;
    /** When the attempt in flight started to run; see {@link #started()} for whether it did. */
    long startedAtUs = NOT_STARTED;

    private final LoadBalancerSettings settings;
    private final LongPredicate listIsCurrent;

    /**
     * Creates the state of a request that has just arrived.
     *
     * @param listIsCurrent whether requests may be sent by the endpoint list at a given time; called on any thread
     */
    ActiveRequest(
            ProxyEvent.RequestArrived arrival,
            LoadBalancerSettings settings,
            int classIndex,
            long openedAtUs,
            long giveUpAtUs,
            LongPredicate listIsCurrent) {
        this.id = arrival.request().id();
        this.arrival = arrival;
        this.settings = settings;
        this.classIndex = classIndex;
        this.requestClass = settings.classes().get(classIndex);
        this.openedAtUs = openedAtUs;
        this.giveUpAtUs = giveUpAtUs;
        this.listIsCurrent = listIsCurrent;
    }

    boolean isInFlight(int attemptNumber) {
        return inFlightAttempt != null && inFlightAttempt.attemptNumber() == attemptNumber;
    }

    EarlierAttempts earlierAttempts() {
        return earlierAttempts;
    }

    /** Records an attempt that has ended without an answer to the client. */
    void onAttemptEnded(String endpoint, AttemptOutcome outcome) {
        if (earlierAttempts == EarlierAttempts.NONE) {
            earlierAttempts = new EarlierAttempts();
        }
        earlierAttempts.add(endpoint, outcome);
    }

    boolean started() {
        return startedAtUs != NOT_STARTED;
    }

    UpstreamRequest newAttempt(int attemptNumber, String endpoint, long timeLeftUs) {
        return new UpstreamRequest(
                id, attemptNumber, endpoint, arrival.payload(), timeLeftUs, needsNewConnection, this);
    }

    void onSend(UpstreamRequest attempt, long nowUs) {
        inFlightAttempt = attempt;
        sentAtUs = nowUs;
        attemptAccepted = false;
        cancelRequested = false;
        startConfirmed = false;
        startedAtUs = NOT_STARTED;
    }

    /** Microseconds from sending the attempt to its acceptance, negative if it was not accepted. */
    long acceptanceDelayUs() {
        return attemptAccepted ? acceptedAtUs - sentAtUs : -1;
    }

    @Override
    public boolean maySendFirstByte(UpstreamRequest attempt, long nowUs, long transitTimeUs) {
        return inFlightAttempt == attempt && maySendAttempt(nowUs, transitTimeUs);
    }

    /**
     * Whether any attempt at this request may be sent now. Its last byte is assumed to arrive within
     * {@code transitTimeUs} plus the answer slack.
     */
    boolean maySendAttempt(long nowUs, long transitTimeUs) {
        long arrivesAtUs = nowUs + transitTimeUs + settings.rules().answerSlackUs();
        return listIsCurrent.test(nowUs)
                && !answered
                && arrival.client().isPresent()
                && nowUs < giveUpAtUs - DEADLINE_MARGIN_US
                && RequestRules.mayArriveAt(requestClass, possiblyExecutedSinceUs, arrivesAtUs);
    }
}
