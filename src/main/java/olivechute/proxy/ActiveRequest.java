package olivechute.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.RequestClass;

/**
 * A client's request from its arrival to its answer and the end of its last attempt. Everything is the event loop's;
 * what the check before the first byte reads, on any thread, is volatile. Times are microseconds.
 */
@SuppressWarnings("ReferenceEquality") // two attempts with equal fields are still two attempts
final class ActiveRequest implements PreSendCheck {
    /** An answer that is given this long before the client gives up still reaches it. */
    static final long DEADLINE_MARGIN_US = 12_000;

    private static final long NOT_STARTED = -1;

    final String id;
    final ProxyEvent.RequestArrived arrival;
    final int classIndex;
    final RequestClass requestClass;
    final long openedAtUs;
    /** When the request is given up: its client's deadline, or the end of a drain. */
    volatile long giveUpAtUs;

    TimerWheel.Timer deadlineTimer;
    volatile boolean answered;

    /** The attempt in flight, or {@code null}. */
    volatile UpstreamRequest inFlightAttempt;
    /** When the first attempt was sent that may have been executed, or {@link RequestRules#NEVER}. */
    volatile long possiblyExecutedSinceUs = RequestRules.NEVER;

    int attemptCount;
    /** Attempts of which nothing was written. */
    int suppressedAttempts;
    /** How the last attempt ended, or {@code null}. */
    AttemptOutcome lastOutcome;
    /** Whether a reused idle connection broke under it: it takes no other one. */
    boolean needsNewConnection;

    /** The timer that watches for the acceptance of the attempt in flight. */
    TimerWheel.Timer acceptTimer;

    /** When the attempt in flight was sent; 0 before the first. */
    long sentAtUs;

    long acceptedAtUs;
    /** Whether the endpoint accepted the attempt in flight. */
    boolean attemptAccepted;
    /** Whether its endpoint was told to cancel it, as it is in doubt which attempt a status was of. */
    boolean cancelRequested;
    /** Whether the endpoint reported that the attempt in flight is over. */
    boolean attemptEndReported;
    /** When the attempt in flight began to run; {@link #started()} tells whether it did. */
    long startedAtUs = NOT_STARTED;

    private final LoadBalancerSettings settings;
    private final LongPredicate listIsCurrent;
    private List<String> triedEndpoints = List.of();
    private List<String> endpointsWithoutEndReport = List.of();

    /** {@code listIsCurrent}: whether requests may be sent by the endpoint list at a time; asked on any thread. */
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
        attemptEndReported = false;
        startedAtUs = NOT_STARTED;
    }

    /** Microseconds from the send to the acceptance, negative if it was not accepted. */
    long acceptanceDelayUs() {
        return attemptAccepted ? acceptedAtUs - sentAtUs : -1;
    }

    /** An attempt that may have reached its endpoint ended: status events of it may still come. */
    void recordPossiblyReached(String endpoint, AttemptOutcome outcome) {
        triedEndpoints = append(triedEndpoints, endpoint);
        boolean answeredByEndpoint = outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.REJECTED;
        if (!attemptEndReported && !answeredByEndpoint) {
            endpointsWithoutEndReport = append(endpointsWithoutEndReport, endpoint);
        }
    }

    private static List<String> append(List<String> endpoints, String endpoint) {
        List<String> extended = endpoints.isEmpty() ? new ArrayList<>(2) : endpoints;
        extended.add(endpoint);
        return extended;
    }

    /** Whether an attempt before the one in flight may have reached this endpoint. */
    boolean wasTriedBefore(String endpoint) {
        return triedEndpoints.contains(endpoint);
    }

    /** The same, where the endpoint never reported how that attempt ended. */
    boolean wasTriedWithoutEndReport(String endpoint) {
        return endpointsWithoutEndReport.contains(endpoint);
    }

    @Override
    public boolean maySendFirstByte(UpstreamRequest attempt, long nowUs, long transitTimeUs) {
        return inFlightAttempt == attempt && maySendAttempt(nowUs, transitTimeUs);
    }

    /**
     * Whether an attempt may begin now, whichever it is; its last byte arrives within {@code transitUs} and the slack.
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
