package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import olivechute.endpointlist.EndpointListLease;
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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the metrics count each request once when it is received and once when it ends, and tests of the request
 * rules. The event loop is never started.
 */
public class RequestMetricsTest extends StubUpstreamTransport {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final RequestClass VERIFY =
            new RequestClass("verify", 5 * S, S / 5, 2, 1, 0, Idempotency.IDEMPOTENT, null, 0, null, 0);
    private static final RequestClass SIGN =
            new RequestClass("sign", 5 * S, S / 5, 0, 1, 0, Idempotency.KEYED, DeduplicationScope.ALL, 7 * S, null, 0);
    private static final RequestClass PAY =
            new RequestClass("pay", 5 * S, S / 5, 0, 1, 0, Idempotency.NOT_IDEMPOTENT, null, 0, null, 0);
    private static final RequestClass ZONED = new RequestClass(
            "zoned", 5 * S, S / 5, 0, 1, 0, Idempotency.KEYED, DeduplicationScope.ZONE, 7 * S, null, 0);
    private static final LoadBalancerSettings SETTINGS = settings(false);

    private final EventLoop loop = new EventLoop();
    private List<String> recordedEvents;
    private AnswerLog client = new AnswerLog();
    private UpstreamRequest lastAttempt;
    private RequestDispatcher dispatcher;

    private static LoadBalancerSettings settings(boolean marksRetries) {
        return new LoadBalancerSettings(
                List.of(VERIFY, SIGN, PAY, ZONED),
                List.of(),
                "z",
                1,
                new ServiceRules(8 * MS, 10 * S, S / 2, 0.3, 9 * S, 3, S, false),
                new DispatchLimits(false, true, false, false, 3, 2 * S, 5 * S),
                LoadReporting.NONE,
                true,
                false,
                0,
                new CostWeights(0, 0, 0, 0),
                TailObjective.NONE,
                marksRetries);
    }

    private final class RecordingMetrics implements RequestMetrics {
        @Override
        public void onReceived(int requestClass) {
            recordedEvents.add("received " + requestClass);
        }

        @Override
        public void onServed(int requestClass, boolean late) {
            recordedEvents.add((late ? "late " : "served ") + requestClass);
        }

        @Override
        public void onRejected(int requestClass) {
            recordedEvents.add("rejected " + requestClass);
        }

        @Override
        public void onFailed(int requestClass) {
            recordedEvents.add("failed " + requestClass);
        }

        @Override
        public void onClientDisconnected(int requestClass) {
            recordedEvents.add("gone " + requestClass);
        }

        @Override
        public void onFirstSend(long delayUs) {
            recordedEvents.add("sent after " + delayUs / (100 * MS) * 100 + " ms");
        }

        @Override
        public void onRuleViolated() {
            recordedEvents.add("violation");
        }
    }

    private void openRequest(String id, String requestClass, long ageUs, int bodyBytes) {
        Request request = new Request(id, requestClass, null, "k", 5 * S, Double.NaN, 1, Double.NaN, false);
        dispatcher.accept(new ProxyEvent.RequestArrived(
                request,
                new Payload("/" + requestClass, null, new byte[bodyBytes], 0, bodyBytes),
                client,
                loop.now() - ageUs));
    }

    private void reportStatus(ProxyEvent.JobStatus status) {
        dispatcher.accept(
                new ProxyEvent.JobStatusReceived("a", lastAttempt.endpoint(), status, 1, new byte[0], LoadReport.NONE));
    }

    private void runStep(String step) {
        String[] words = step.split(" ");
        switch (words[0]) {
            case "open" -> openRequest("a", words[1], words.length > 2 ? Long.parseLong(words[2]) * MS : 0, 1);
            case "another" -> openRequest("b", words[1], 0, 50);
            case "disconnect" -> dispatcher.accept(new ProxyEvent.ClientDisconnected("a", client));
            case "end" ->
                dispatcher.accept(new ProxyEvent.AttemptEnded(
                        "a", lastAttempt.attemptNumber(), AttemptOutcome.valueOf(words[1]), LoadReport.NONE));
            default -> reportStatus(ProxyEvent.JobStatus.valueOf(words[0]));
        }
    }

    @DataProvider
    public Object[][] requestLifecycles() {
        return new Object[][] {
            // steps, calls of the metrics, answers to the client
            {"open verify, DONE", "received 0, sent after 0 ms, served 0", "served"},
            {
                "open verify 100, STARTED, RUNNING, DONE, DONE, FAILED",
                "received 0, sent after 100 ms, served 0",
                "served"
            },
            {"open sign 300, DONE", "received 1, sent after 300 ms, late 1", "served"},
            {"open sign, disconnect, DONE, disconnect", "received 1, sent after 0 ms, gone 1", ""},
            {"open verify, disconnect, end ERROR", "received 0, sent after 0 ms, gone 0", ""},
            {"open pay, DONE, disconnect", "received 2, sent after 0 ms, served 2", "served"},
            {"open pay, FAILED", "received 2, sent after 0 ms, failed 2", "failed"},
            {"open pay, RETURNED, DONE", "received 2, sent after 0 ms, served 2", "served"},
            {
                "open verify, end CONNECT_FAILED, end RESET, end RESET",
                "received 0, sent after 0 ms, rejected 0",
                "rejected"
            },
            {"open verify, RETURNED, disconnect", "received 0, sent after 0 ms, gone 0", ""},
            {"open verify, open verify, DONE", "received 0, sent after 0 ms, served 0", "duplicate, served"},
            {"open verify, DONE, open verify", "received 0, sent after 0 ms, served 0", "served, duplicate"},
            {"another pay, open verify, disconnect", "received 2, sent after 0 ms, received 0, rejected 0", "rejected"},
            {"open pay 6000", "received 2, violation, rejected 2", "rejected"},
        };
    }

    @Test(dataProvider = "requestLifecycles")
    public void eachRequestIsCountedOnce(String steps, String expectedEvents, String expectedAnswers) {
        recordedEvents = new ArrayList<>();
        client = new AnswerLog();
        dispatcher = new RequestDispatcher(
                loop, SETTINGS, 1, this, () -> {}, 10, 50, new RecordingMetrics(), EndpointListLease.nonExpiring());
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new ResolvedEndpoint(
                    new EndpointInfo("s" + i, "z", null, 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:1"));
        }
        dispatcher.start(new EndpointListUpdate(1, true, endpoints));
        for (String step : steps.split(", ")) {
            runStep(step);
        }
        assertEquals(String.join(", ", recordedEvents), expectedEvents);
        assertEquals(String.join(", ", client.answers), expectedAnswers);
    }

    @DataProvider
    public Object[][] objectiveCases() {
        double noEstimate = Double.NaN;
        return new Object[][] {
            // request class, estimated work, time to the answer, run time (negative: no start was reported), time left,
            // marked retry, whether it is late
            {VERIFY, noEstimate, 200 * MS, -1L, 5 * S, false, false},
            {VERIFY, noEstimate, 201 * MS, -1L, 5 * S, false, true},
            {VERIFY, 100.0 * MS, 400 * MS, -1L, 5 * S, false, false},
            {VERIFY, 100.0 * MS, 401 * MS, -1L, 5 * S, false, true},
            {VERIFY, 100.0 * MS, 600 * MS, 200 * MS, 5 * S, false, false},
            {VERIFY, noEstimate, 601 * MS, 200 * MS, 5 * S, false, true},
            {VERIFY, noEstimate, 5 * S, 4 * S, 5 * S, false, false},
            {VERIFY, noEstimate, 5 * S + 1, 4 * S, 5 * S, false, true},
            {SIGN, 100.0 * MS, 201 * MS, 100 * MS, 5 * S, false, true},
            {SIGN, noEstimate, 100 * MS, -1L, 5 * S - 100 * MS, true, false},
            {SIGN, noEstimate, 101 * MS, -1L, 5 * S - 100 * MS, true, true},
            {SIGN, noEstimate, 200 * MS, -1L, 4 * S, false, false},
        };
    }

    @Test(dataProvider = "objectiveCases")
    public void answerIsLateAfterTheObjectiveAndItsStretch(
            RequestClass requestClass,
            double estimatedWorkUs,
            long answeredAfterUs,
            long runTimeUs,
            long timeLeftUs,
            boolean markedRetry,
            boolean late) {
        Request request = new Request(
                "a", requestClass.name(), null, "k", timeLeftUs, estimatedWorkUs, 1, Double.NaN, markedRetry);
        long receivedAtUs = 77 * S;
        ProxyEvent.RequestArrived arrival = new ProxyEvent.RequestArrived(request, null, client, receivedAtUs);
        assertEquals(
                RequestRules.missesLatencyObjective(
                        settings(true),
                        requestClass,
                        arrival,
                        runTimeUs < 0 ? -1 : receivedAtUs + answeredAfterUs - runTimeUs,
                        receivedAtUs + answeredAfterUs),
                late);
    }

    /** If the settings do not mark retries, a retry cannot be told from a client with a shorter deadline. */
    @Test
    public void unmarkedRetriesCountFromTheirArrival() {
        Request request = new Request("a", "sign", null, "k", S, Double.NaN, 1, Double.NaN, true);
        assertEquals(
                RequestRules.missesLatencyObjective(
                        SETTINGS, SIGN, new ProxyEvent.RequestArrived(request, null, client, 0), -1, 200 * MS),
                false);
    }

    @DataProvider
    public Object[][] retryRuleCases() {
        return new Object[][] {
            // request class, time since a possible execution (negative: none), may be retried, may be rejected
            {VERIFY, -1L, true, true},
            {VERIFY, 9 * S, true, true},
            {PAY, -1L, true, true},
            {PAY, 1L, false, false},
            {SIGN, -1L, true, true},
            {SIGN, 7 * S + 50 * MS, true, true},
            {SIGN, 7 * S + 51 * MS, false, true},
            {ZONED, -1L, true, true},
            {ZONED, 1L, true, false},
        };
    }

    @Test(dataProvider = "retryRuleCases")
    public void retryAndRejectionFollowTheClassOncePossiblyExecuted(
            RequestClass requestClass, long executedBeforeUs, boolean mayRetry, boolean mayReject) {
        long nowUs = 77 * S;
        long possiblyExecutedSinceUs = executedBeforeUs < 0 ? RequestRules.NEVER : nowUs - executedBeforeUs;
        assertEquals(RequestRules.mayRetry(requestClass, possiblyExecutedSinceUs, nowUs), mayRetry);
        assertEquals(RequestRules.mayReject(requestClass, possiblyExecutedSinceUs), mayReject);
    }

    @Override
    public void send(UpstreamRequest attempt) {
        lastAttempt = attempt;
    }
}
