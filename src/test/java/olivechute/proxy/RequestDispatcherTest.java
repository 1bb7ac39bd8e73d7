package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import olivechute.loadbalancing.CostWeights;
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
import org.testng.annotations.Test;

/** Tests of the limits that the dispatcher enforces itself. The event loop is started only where a test needs it. */
public class RequestDispatcherTest extends StubUpstreamTransport {
    private static final int BODY_BYTES = 64 * 1024;
    private static final long S = 1_000_000;

    private final List<String> answers = new ArrayList<>();
    private final EventLoop loop = new EventLoop();

    @BeforeMethod
    public void clearAnswers() {
        answers.clear();
    }

    private void openRequest(RequestDispatcher dispatcher, String id) {
        Request request = new Request(id, "verify", null, "k", 5 * S, Double.NaN, 1, Double.NaN, false);
        dispatcher.accept(new ProxyEvent.RequestArrived(
                request,
                new Payload("/verify", null, new byte[BODY_BYTES], 0, BODY_BYTES),
                new AnswerLog(id + " ", answers),
                loop.now()));
    }

    @Test
    public void totalBodyBytesAreBoundedAndReleased() {
        LoadBalancerSettings settings = settings();
        RequestDispatcher dispatcher =
                new RequestDispatcher(loop, settings, 1, this, () -> {}, 100, 2 * BODY_BYTES + BODY_BYTES / 2);
        dispatcher.start(new EndpointListUpdate(
                1,
                true,
                List.of(new ResolvedEndpoint(
                        new EndpointInfo("s1", "z", null, 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:1"))));
        openRequest(dispatcher, "a");
        openRequest(dispatcher, "b");
        openRequest(dispatcher, "c");
        assertEquals(answers, List.of("c rejected"));
        dispatcher.accept(new ProxyEvent.JobStatusReceived(
                "a", "s1", ProxyEvent.JobStatus.DONE, 1, new byte[0], LoadReport.NONE));
        openRequest(dispatcher, "d");
        openRequest(dispatcher, "e");
        assertEquals(answers, List.of("c rejected", "a served", "e rejected"));
    }

    private static LoadBalancerSettings settings() {
        RequestClass verify =
                new RequestClass("verify", 5 * S, S / 5, 2, 1, 0, Idempotency.IDEMPOTENT, null, 0, null, 0);
        return new LoadBalancerSettings(
                List.of(verify),
                List.of(),
                "z",
                1,
                new ServiceRules(8000, 10 * S, S / 2, 0.3, 9 * S, 3, S, false),
                new DispatchLimits(false, true, false, true, 3, 2 * S, 5 * S),
                LoadReporting.WITH_RESPONSES,
                true,
                true,
                1,
                new CostWeights(0, 0, 0, 0),
                TailObjective.NONE,
                true);
    }

    @Test
    public void requestOpenedBeforeADrainIsAnsweredByTheDrainsEnd() throws Exception {
        RequestDispatcher dispatcher = new RequestDispatcher(loop, settings(), 1, this, () -> {}, 100, 2 * BODY_BYTES);
        loop.start(dispatcher);
        loop.post(new ProxyEvent.Task(() -> {
            dispatcher.start(new EndpointListUpdate(
                    1,
                    true,
                    List.of(new ResolvedEndpoint(
                            new EndpointInfo("s1", "z", null, 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:1"))));
            openRequest(dispatcher, "a");
            dispatcher.answerAllBy(loop.now() + S / 10);
        }));
        Thread.sleep(500);
        CountDownLatch eventHandled = new CountDownLatch(1);
        loop.post(new ProxyEvent.Task(eventHandled::countDown));
        eventHandled.await();
        assertEquals(answers, List.of("a failed"));
    }
}
