package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.CostWeights;
import olivechute.loadbalancing.DeduplicationScope;
import olivechute.loadbalancing.DispatchLimits;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.LoadReport;
import olivechute.loadbalancing.LoadReporting;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.RequestClass;
import olivechute.loadbalancing.ServiceRules;
import olivechute.loadbalancing.TailObjective;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the check before the first byte of an attempt, and of what follows when it suppresses one. The event loop is
 * not started unless a test needs it.
 */
public class PreSendCheckTest extends StubUpstreamTransport {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final long ANSWER_SLACK = 8 * MS;
    private static final long DEDUPLICATION_WINDOW = 2 * S;

    private EventLoop loop;
    private final List<UpstreamRequest> sentAttempts = new ArrayList<>();
    private final List<String> recordedCalls = new CopyOnWriteArrayList<>();
    private AnswerLog client;
    private boolean hasWrittenBytes;
    private RequestDispatcher dispatcher;

    @BeforeMethod
    public void createDispatcher() {
        loop = new EventLoop();
        sentAttempts.clear();
        recordedCalls.clear();
        client = new AnswerLog("", recordedCalls);
        hasWrittenBytes = true;
        RequestClass verify =
                new RequestClass("verify", 5 * S, S / 5, 2, 1, 0, Idempotency.IDEMPOTENT, null, 0, null, 0);
        RequestClass sign = new RequestClass(
                "sign",
                5 * S,
                S / 5,
                0,
                1,
                0,
                Idempotency.KEYED,
                DeduplicationScope.ALL,
                DEDUPLICATION_WINDOW,
                null,
                0);
        RequestClass pay = new RequestClass("pay", 5 * S, S / 5, 0, 1, 0, Idempotency.NOT_IDEMPOTENT, null, 0, null, 0);
        LoadBalancerSettings settings = new LoadBalancerSettings(
                List.of(verify, sign, pay),
                List.of(),
                "z",
                1,
                new ServiceRules(ANSWER_SLACK, 10 * S, S / 2, 0.3, 9 * S, 3, S, false),
                new DispatchLimits(false, true, false, false, 3, 2 * S, 5 * S),
                LoadReporting.NONE,
                true,
                false,
                0,
                new CostWeights(0, 0, 0, 0),
                TailObjective.NONE,
                true);
        dispatcher = new RequestDispatcher(loop, settings, 1, this, () -> {}, 10, 1000);
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new ResolvedEndpoint(
                    new EndpointInfo("s" + i, "z", null, 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:1"));
        }
        dispatcher.start(new EndpointListUpdate(1, true, endpoints));
    }

    private UpstreamRequest openRequest(String requestClass) {
        Request request = new Request("a", requestClass, null, "k", 5 * S, Double.NaN, 1, Double.NaN, false);
        dispatcher.accept(new ProxyEvent.RequestArrived(
                request, new Payload("/" + requestClass, null, new byte[1], 0, 1), client, loop.now()));
        return lastAttempt();
    }

    private UpstreamRequest lastAttempt() {
        return sentAttempts.get(sentAttempts.size() - 1);
    }

    private void endLastAttempt(AttemptOutcome outcome) {
        dispatcher.accept(new ProxyEvent.AttemptEnded("a", lastAttempt().attemptNumber(), outcome, LoadReport.NONE));
    }

    private void reportStatus(ProxyEvent.JobStatus status) {
        reportStatusFrom(lastAttempt().endpoint(), status);
    }

    private void reportStatusFrom(String endpoint, ProxyEvent.JobStatus status) {
        dispatcher.accept(new ProxyEvent.JobStatusReceived("a", endpoint, status, 1, new byte[0], LoadReport.NONE));
    }

    private static boolean maySend(UpstreamRequest attempt, long nowUs, long transitTimeUs) {
        return attempt.preSendCheck().maySendFirstByte(attempt, nowUs, transitTimeUs);
    }

    @Test
    public void noAttemptStartsOnceTheClientIsKnownToHaveGone() {
        UpstreamRequest attempt = openRequest("verify");
        assertEquals(maySend(attempt, loop.now(), 0), true);
        client.clientPresent = false; // the corresponding event has not reached the loop yet
        assertEquals(maySend(attempt, loop.now(), 0), false);
    }

    @Test
    public void noAttemptStartsAfterTheAnswerOrTheDeadline() {
        UpstreamRequest attempt = openRequest("verify");
        assertEquals(maySend(attempt, loop.now() + 4 * S, 0), true);
        assertEquals(maySend(attempt, loop.now() + 5 * S, 0), false);
        reportStatus(ProxyEvent.JobStatus.DONE);
        assertEquals(maySend(attempt, loop.now(), 0), false);
        assertEquals(recordedCalls, List.of("served"));
    }

    @Test
    public void onlyTheAttemptInFlightMayStart() {
        UpstreamRequest first = openRequest("verify");
        endLastAttempt(AttemptOutcome.CONNECT_FAILED);
        assertEquals(sentAttempts.size(), 2);
        assertEquals(maySend(first, loop.now(), 0), false);
        assertEquals(maySend(lastAttempt(), loop.now(), 0), true);
    }

    @DataProvider
    public Object[][] deduplicationWindowCases() {
        return new Object[][] {
            // request class, outcome of the first attempt, time before the end of the window, transit time, whether the
            // second attempt may be sent
            {"sign", AttemptOutcome.RESET, ANSWER_SLACK + 100 * MS, 0L, true},
            {"sign", AttemptOutcome.RESET, ANSWER_SLACK - 1, 0L, false},
            {"sign", AttemptOutcome.RESET, ANSWER_SLACK + 250 * MS, 200 * MS, true},
            {"sign", AttemptOutcome.RESET, ANSWER_SLACK + 100 * MS, 200 * MS, false},
            {"sign", AttemptOutcome.CONNECT_FAILED, -S, 200 * MS, true},
            {"verify", AttemptOutcome.RESET, -S, 200 * MS, true},
            {"pay", AttemptOutcome.CONNECT_FAILED, -S, 200 * MS, true},
        };
    }

    /**
     * The deduplication window lasts from the first attempt that may have been executed to the arrival of the retry's
     * last byte.
     */
    @Test(dataProvider = "deduplicationWindowCases")
    public void retryStartsOnlyIfItArrivesWithinTheDeduplicationWindow(
            String requestClass, AttemptOutcome outcome, long beforeWindowEndUs, long transitTimeUs, boolean allowed) {
        long earliestSendUs = loop.now();
        openRequest(requestClass);
        long latestSendUs = loop.now();
        endLastAttempt(outcome);
        assertEquals(sentAttempts.size(), 2);
        // The first attempt was sent between these two times: check a permitted retry against the earlier and a
        // forbidden one against the later.
        assertEquals(
                maySend(
                        lastAttempt(),
                        (allowed ? earliestSendUs : latestSendUs) + DEDUPLICATION_WINDOW - beforeWindowEndUs,
                        transitTimeUs),
                allowed);
    }

    @Test
    public void noRetryIsSentOnceTheClientIsKnownToHaveGone() {
        openRequest("verify");
        client.clientPresent = false;
        endLastAttempt(AttemptOutcome.RESET);
        assertEquals(sentAttempts.size(), 1);
        dispatcher.accept(new ProxyEvent.ClientDisconnected("a", client));
        assertEquals(sentAttempts.size(), 1);
    }

    @Test
    public void unwrittenAttemptIsSuppressedOnceTheClientHasGone() {
        openRequest("verify");
        dispatcher.accept(new ProxyEvent.ClientDisconnected("a", client));
        assertEquals(recordedCalls, List.of("suppress 0"));
        endLastAttempt(AttemptOutcome.SUPPRESSED);
        assertEquals(sentAttempts.size(), 1);
        openRequest("verify"); // nothing of the first request was written, so its id may be used again
        assertEquals(sentAttempts.size(), 2);
    }

    /**
     * A suppressed attempt never ran: even a request class that must not run twice is retried, and finally rejected
     * rather than failed.
     */
    @Test
    public void suppressedAttemptIsRetriedAtAnotherEndpoint() {
        openRequest("pay");
        endLastAttempt(AttemptOutcome.SUPPRESSED);
        assertEquals(sentAttempts.size(), 2);
        endLastAttempt(AttemptOutcome.SUPPRESSED);
        endLastAttempt(AttemptOutcome.SUPPRESSED);
        assertEquals(recordedCalls, List.of("rejected"));
    }

    // ---- status events that may concern an earlier attempt ------------------------------------------------

    @DataProvider
    public Object[][] endStatuses() {
        return new Object[][] {
            {ProxyEvent.JobStatus.RETURNED}, {ProxyEvent.JobStatus.FAILED}, {ProxyEvent.JobStatus.LOST}
        };
    }

    /**
     * Guards against taking a late end of the first attempt for the end of the second, which let a third attempt be
     * sent while the second was running.
     */
    @Test(dataProvider = "endStatuses")
    public void endThatMayBeOfAnEarlierAttemptAtTheSameEndpointCancelsTheAttemptInFlight(ProxyEvent.JobStatus status) {
        listOnlyOneEndpoint();
        openRequest("verify");
        endLastAttempt(AttemptOutcome.ACCEPT_TIMEOUT);
        awaitAttempts(2);
        dispatcher.accept(new ProxyEvent.AttemptAccepted("a", 1));
        reportStatus(status);
        reportStatus(status);
        assertEquals(sentAttempts.size(), 2);
        assertEquals(recordedCalls, List.of("cancel and report 1 accepted"));
        reportStatus(ProxyEvent.JobStatus.DONE);
        assertEquals(recordedCalls.get(1), "served");
    }

    @Test
    public void statusThatMayBeOfAnEarlierAttemptDoesNotCountAsAcceptance() {
        listOnlyOneEndpoint();
        openRequest("verify");
        endLastAttempt(AttemptOutcome.RESET);
        awaitAttempts(2);
        reportStatus(ProxyEvent.JobStatus.STARTED);
        reportStatus(ProxyEvent.JobStatus.LOST);
        assertEquals(recordedCalls, List.of("cancel and report 1"));
        assertEquals(sentAttempts.size(), 2);
    }

    /**
     * An endpoint repeats a status event that is not acknowledged; here it arrives while the second attempt is still
     * connecting and cannot have ended.
     */
    @Test(dataProvider = "endStatuses")
    public void repeatedStatusIsIgnoredBeforeTheNextAttemptIsWritten(ProxyEvent.JobStatus status) {
        listOnlyOneEndpoint();
        openRequest("verify");
        reportStatus(status);
        awaitAttempts(2);
        hasWrittenBytes = false;
        reportStatus(status);
        reportStatus(ProxyEvent.JobStatus.STARTED);
        hasWrittenBytes = true;
        assertEquals(recordedCalls, List.of());
        assertEquals(sentAttempts.size(), 2);
        reportStatus(status); // of either attempt, now that the second may have reached its endpoint
        assertEquals(recordedCalls, List.of("cancel and report 1"));
        assertEquals(sentAttempts.size(), 2);
    }

    @Test
    public void suppressedAttemptLeavesNoDoubtAboutALaterStatus() {
        listOnlyOneEndpoint();
        openRequest("verify");
        endLastAttempt(AttemptOutcome.SUPPRESSED);
        awaitAttempts(2);
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        awaitAttempts(3);
        assertEquals(recordedCalls, List.of());
    }

    /**
     * Guards against taking a repetition of the call that ended the first attempt, whose answer was lost, for the end
     * of the second: the third attempt was sent while the second was running. A second call of the same kind may as
     * well concern the second attempt, so the endpoint confirms first that it no longer runs.
     */
    @Test(dataProvider = "endStatuses")
    public void repeatedEndOfAnEarlierAttemptSendsNoAttemptBesideTheOneInFlight(ProxyEvent.JobStatus status) {
        listOnlyOneEndpoint();
        openRequest("verify");
        reportStatus(status);
        awaitAttempts(2);
        dispatcher.accept(new ProxyEvent.AttemptAccepted("a", 1));
        reportStatus(status);
        reportStatus(status);
        assertEquals(sentAttempts.size(), 2);
        assertEquals(recordedCalls, List.of("cancel and report 1 accepted"));
        endLastAttempt(AttemptOutcome.ACCEPT_TIMEOUT);
        awaitAttempts(3);
    }

    /** Guards against ending an attempt that runs: one that was handed back never started, so the start is later. */
    @Test
    public void repeatedReturnAfterTheNextAttemptStartedIsIgnored() {
        listOnlyOneEndpoint();
        openRequest("verify");
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        awaitAttempts(2);
        reportStatus(ProxyEvent.JobStatus.STARTED);
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        reportStatus(ProxyEvent.JobStatus.RUNNING);
        assertEquals(recordedCalls, List.of());
        reportStatus(ProxyEvent.JobStatus.DONE);
        assertEquals(recordedCalls, List.of("served"));
        assertEquals(sentAttempts.size(), 2);
    }

    /** A late start of the first attempt, which failed, says nothing about the second. */
    @Test
    public void returnAfterALateStartOfAFailedAttemptIsOfAnUnknownAttempt() {
        listOnlyOneEndpoint();
        openRequest("verify");
        reportStatus(ProxyEvent.JobStatus.FAILED);
        awaitAttempts(2);
        dispatcher.accept(new ProxyEvent.AttemptAccepted("a", 1));
        reportStatus(ProxyEvent.JobStatus.STARTED);
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        assertEquals(recordedCalls, List.of("cancel and report 1 accepted"));
    }

    /** An endpoint that turned the request away in its response never accepted it, so a later end leaves no doubt. */
    @Test
    public void endAfterARejectionInTheResponseEndsTheAttemptInFlight() {
        listOnlyOneEndpoint();
        openRequest("pay");
        endLastAttempt(AttemptOutcome.REJECTED);
        awaitAttempts(2);
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        assertEquals(recordedCalls, List.of("rejected"));
        assertEquals(sentAttempts.size(), 2);
    }

    /**
     * Guards against running an unsafe request twice, or rejecting one that runs: where two attempts were at one
     * endpoint, no status event proves that the second never ran.
     */
    @Test
    public void unsafeRequestIsRejectedRatherThanSentToTheEndpointThatReturnedIt() {
        listOnlyOneEndpoint();
        openRequest("pay");
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        listOnlyOneEndpoint();
        assertEquals(recordedCalls, List.of("rejected"));
        assertEquals(sentAttempts.size(), 1);
    }

    @Test
    public void returnedUnsafeRequestIsSentToOtherEndpointsOnly() {
        openRequest("pay");
        String first = lastAttempt().endpoint();
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        assertEquals(sentAttempts.size(), 2);
        String second = lastAttempt().endpoint();
        reportStatusFrom(first, ProxyEvent.JobStatus.RETURNED); // repeated: the first attempt has ended
        assertEquals(sentAttempts.size(), 2);
        reportStatus(ProxyEvent.JobStatus.RETURNED);
        assertEquals(sentAttempts.size(), 3);
        String third = lastAttempt().endpoint();
        assertEquals(Set.of(first, second, third).size(), 3);
        reportStatusFrom(first, ProxyEvent.JobStatus.RETURNED);
        reportStatusFrom(second, ProxyEvent.JobStatus.RETURNED);
        reportStatus(ProxyEvent.JobStatus.STARTED);
        reportStatus(ProxyEvent.JobStatus.DONE);
        assertEquals(recordedCalls, List.of("served"));
        assertEquals(sentAttempts.size(), 3);
    }

    @DataProvider
    public Object[][] deadlineCases() {
        return new Object[][] {
            {"pay", true, "failed"},
            {"pay", false, "rejected"},
            {"verify", true, "rejected"},
            {"verify", false, "rejected"}
        };
    }

    /**
     * At the deadline a request that may have run fails if its class is unsafe to repeat; one that was never written is
     * rejected, so that the client may retry.
     */
    @Test(dataProvider = "deadlineCases")
    public void requestNeverWrittenIsRejectedAtItsDeadline(String requestClass, boolean written, String answer) {
        hasWrittenBytes = written;
        loop.start(dispatcher);
        Request request = new Request(
                "a",
                requestClass,
                null,
                "k",
                S / 4,
                Double.NaN,
                1,
                Double.NaN,
                false); // expires before the accept timeout
        loop.post(new ProxyEvent.RequestArrived(
                request, new Payload("/" + requestClass, null, new byte[1], 0, 1), client, loop.now()));
        for (int i = 0; i < 2500 && recordedCalls.size() < 2; i++) {
            LockSupport.parkNanos(2_000_000);
        }
        assertEquals(sentAttempts.size(), 1);
        assertEquals(recordedCalls, List.of("cancel 0", answer));
    }

    private void listOnlyOneEndpoint() {
        dispatcher.accept(new ProxyEvent.ListUpdated(
                new EndpointListUpdate(
                        2,
                        true,
                        List.of(new ResolvedEndpoint(
                                new EndpointInfo("s0", "z", null, 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:1"))),
                loop.now()));
    }

    /**
     * Repeats the list update until enough attempts were sent: the load balancer dispatches queued requests when it
     * receives a list, and waits for a while before it uses an endpoint that has just rejected one.
     */
    private void awaitAttempts(int expectedAttempts) {
        for (int i = 0; i < 500 && sentAttempts.size() < expectedAttempts; i++) {
            LockSupport.parkNanos(2_000_000);
            listOnlyOneEndpoint();
        }
        assertEquals(sentAttempts.size(), expectedAttempts);
    }

    @Override
    public void send(UpstreamRequest attempt) {
        sentAttempts.add(attempt);
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest attempt) {
        return hasWrittenBytes;
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest attempt) {
        recordedCalls.add("suppress " + attempt.attemptNumber());
    }

    @Override
    public boolean cancelWithoutReport(UpstreamRequest attempt, boolean accepted) {
        recordedCalls.add("cancel " + attempt.attemptNumber());
        return !hasWrittenBytes;
    }

    @Override
    public void cancelAndReportEnd(UpstreamRequest attempt, boolean accepted) {
        recordedCalls.add("cancel and report " + attempt.attemptNumber() + (accepted ? " accepted" : ""));
    }
}
