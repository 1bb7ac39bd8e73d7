package olivechute.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import olivechute.endpointlist.EndpointListLease;
import olivechute.endpointlist.WatchTimeouts;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.ServiceRules;
import olivechute.net.Threads;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.ResolvedEndpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the watch against stub discoveries on loopback sockets that fall silent; {@link #TEST_TIMEOUT_SECONDS} only
 * ends a test that would otherwise hang.
 */
public class EndpointListWatcherTest {
    private static final int TEST_TIMEOUT_SECONDS = 20;
    private static final int NOTIFIED_AFTER_MS = 6000; // the protocol's bound
    private static final byte[] CHANGED_LIST = answer(
            8,
            "{\"name\":\"h\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"k\","
                    + "\"status\":\"leaving\",\"since_ms\":0}");
    private static final byte[] UNCHANGED_LIST = answer(7, "");

    /** A call that a stub discovery received, the number of its connection, and how to answer it. */
    private record Call(HttpRequest request, int connectionNumber, Socket socket, long receivedAtNanos) {
        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        String target() {
            return request.target();
        }
    }

    /** Accepts calls and passes them to the test; sends nothing by itself. */
    private final class StubDiscovery {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

        StubDiscovery() throws IOException {
            openResources.add(server);
            Threads.start("registry", () -> {
                try {
                    for (int i = 1; ; i++) {
                        Socket socket = server.accept();
                        int number = i;
                        openResources.add(socket);
                        Threads.start("registry-connection", () -> serve(socket, number));
                    }
                } catch (IOException closed) {
                    return;
                }
            });
        }

        private void serve(Socket socket, int connectionNumber) {
            RequestParser parser = new RequestParser();
            byte[] buffer = new byte[4096];
            try {
                for (int count = socket.getInputStream().read(buffer);
                        count >= 0;
                        count = socket.getInputStream().read(buffer)) {
                    parser.feed(buffer, 0, count);
                    if (parser.isComplete()) {
                        calls.add(new Call(parser.take(), connectionNumber, socket, System.nanoTime()));
                    }
                }
            } catch (Exception ended) {
                return;
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        Call nextCall() throws InterruptedException {
            Call call = calls.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(call, "no call came");
            return call;
        }
    }

    private final List<AutoCloseable> openResources = new CopyOnWriteArrayList<>();
    private BlockingQueue<ProxyEvent> events; // belongs to this test's watcher; an earlier one may still post its end
    private EndpointListWatcher watcher;

    private static byte[] answer(int index, String entries) {
        return MessageWriter.response(
                200,
                ("{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entries + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                true);
    }

    private static final int SHORT_TIMEOUT_MS = 400;
    private static final int NO_TIMEOUT_MS = 60_000;

    private static ServiceRules rules(long drainGrace) {
        return new ServiceRules(0, 10_000_000, drainGrace, 0.3, 8_900_000, 3, 1_000_000, false);
    }

    /** Timeouts in milliseconds: of calls that wait for changes, and of calls that do not wait. */
    private static WatchTimeouts timeouts(int watchTimeoutMs, int immediateTimeoutMs) {
        return new WatchTimeouts(false, rules(0), () -> 0) {
            @Override
            public Call watch() {
                return new Call(300, watchTimeoutMs);
            }

            @Override
            public Call fullList() {
                return new Call(0, immediateTimeoutMs);
            }

            @Override
            public Call afterFailure() {
                return new Call(1, immediateTimeoutMs);
            }
        };
    }

    /**
     * Starts a watch. If a version is known, the watch's first call, which requests changes without waiting, is
     * answered with an unchanged list.
     */
    private void startWatch(StubDiscovery discovery, EndpointListUpdate lastKnownList, WatchTimeouts timeouts)
            throws Exception {
        events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        loop.start(events::add);
        watcher = new EndpointListWatcher(
                loop, discovery.address(), lastKnownList, timeouts, EndpointListLease.nonExpiring());
        watcher.start();
        watcher.watch();
        if (!lastKnownList.endpoints().isEmpty()) {
            Call first = discovery.nextCall();
            assertEquals(first.target(), "/registry/instances?since=7&timeout_ms=1");
            assertEquals(first.connectionNumber(), 1);
            first.write(UNCHANGED_LIST);
            assertListUpdated(7);
        }
    }

    private static EndpointListUpdate knownList() {
        return new EndpointListUpdate(
                7,
                true,
                List.of(new ResolvedEndpoint(
                        new EndpointInfo("h", "a", "k", 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:9")));
    }

    private ProxyEvent nextEvent() throws InterruptedException {
        ProxyEvent event = events.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(event, "no event came");
        return event;
    }

    private void assertListUpdated(int version) throws InterruptedException {
        ProxyEvent event = nextEvent();
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
        assertEquals(((ProxyEvent.ListUpdated) event).update().version(), version);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        for (AutoCloseable resource : openResources) {
            resource.close();
        }
        openResources.clear();
    }

    /**
     * Guards against an error that ends the thread of the watch, after which the node rejected all requests as soon as
     * its list had expired.
     */
    @Test
    public void errorOnTheThreadOfTheWatchDoesNotEndTheWatch() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        AtomicBoolean thrown = new AtomicBoolean();
        watcher.onCallFailure(() -> {
            if (thrown.compareAndSet(false, true)) {
                throw new OutOfMemoryError("of a test");
            }
        });
        discovery.nextCall().socket().close();
        Call next = discovery.nextCall();
        next.write(answer(8, ""));
        assertListUpdated(8);
    }

    /** How many bytes of an answer the silent call receives: none, part of the head, the head and part of the body. */
    @DataProvider
    public Object[][] partialAnswers() {
        return new Object[][] {{0}, {20}, {CHANGED_LIST.length - 5}};
    }

    @Test(dataProvider = "partialAnswers")
    public void silentWatchIsRepeatedOnANewConnection(int bytes) throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(SHORT_TIMEOUT_MS, NO_TIMEOUT_MS));
        Call first = discovery.nextCall();
        assertEquals(first.target(), "/registry/instances?since=7&timeout_ms=300");
        first.write(Arrays.copyOf(CHANGED_LIST, bytes));
        Call second = discovery.nextCall();
        assertEquals(second.connectionNumber(), 2);
        assertEquals(second.target(), "/registry/instances?since=7&timeout_ms=1");
        second.write(CHANGED_LIST);
        assertListUpdated(8);
        assertEquals(discovery.nextCall().target(), "/registry/instances?since=8&timeout_ms=300");
        assertTrue(events.isEmpty(), "a silent call whose repetition succeeds is not a failure");
    }

    /** Uses the timeouts of the product. */
    @Test
    public void silentWatchIsRepeatedBeforeTheMissedChangeCountsAsNotified() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), new WatchTimeouts(false, rules(0), () -> 0));
        Call first = discovery.nextCall();
        Call second = discovery.nextCall();
        long waitMs = Long.parseLong(first.target().replaceAll(".*timeout_ms=", ""));
        assertTrue((second.receivedAtNanos() - first.receivedAtNanos()) / 1_000_000
                < Math.max(NOTIFIED_AFTER_MS, waitMs + 2000));
    }

    @Test
    public void slowlyTricklingAnswerTimesOutLikeASilentOne() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(SHORT_TIMEOUT_MS, NO_TIMEOUT_MS));
        Call first = discovery.nextCall();
        Threads.start("drops", () -> {
            try {
                first.write("HTTP/1.1 200 OK\r\nX-Drops: ".getBytes(StandardCharsets.UTF_8));
                for (; ; ) {
                    first.write(new byte[] {'.'});
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException ended) {
                return;
            }
        });
        Call second = discovery.nextCall();
        assertEquals(second.connectionNumber(), 2);
        second.write(CHANGED_LIST);
        assertListUpdated(8);
    }

    @Test
    public void silentFullListCallIsRepeatedForTheFullList() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, new EndpointListUpdate(0, true, List.of()), timeouts(SHORT_TIMEOUT_MS, SHORT_TIMEOUT_MS));
        assertEquals(discovery.nextCall().target(), "/registry/instances");
        Call second = discovery.nextCall();
        assertEquals(second.target(), "/registry/instances");
        assertEquals(second.connectionNumber(), 2);
    }

    @Test
    public void secondCallIsAnsweredEvenWithoutChanges() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(SHORT_TIMEOUT_MS, NO_TIMEOUT_MS));
        discovery.nextCall();
        Call second = discovery.nextCall();
        assertTrue(second.target().endsWith("timeout_ms=1"), second.target());
        second.write(UNCHANGED_LIST);
        assertListUpdated(7);
        Call third = discovery.nextCall();
        assertEquals(third.connectionNumber(), 2);
        assertFalse(third.target().endsWith("timeout_ms=1"), third.target());
    }

    @Test
    public void secondSilenceIsAFailureAndTheLoadBalancerRestartsTheWatch() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(SHORT_TIMEOUT_MS, SHORT_TIMEOUT_MS));
        discovery.nextCall();
        discovery.nextCall();
        assertTrue(nextEvent() instanceof ProxyEvent.ListWatchFailed);
        assertTrue(discovery.calls.isEmpty());
        watcher.watch();
        Call third = discovery.nextCall();
        assertEquals(third.connectionNumber(), 3);
        third.write(CHANGED_LIST);
        assertListUpdated(8);
    }

    /**
     * Discovery takes three times as long for each answer as the first call waits. If every call was abandoned after
     * the same timeout, no answer would ever arrive.
     */
    @Test
    public void slowDiscoveryIsGivenLongerTimeouts() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, new EndpointListUpdate(0, true, List.of()), timeouts(NO_TIMEOUT_MS, SHORT_TIMEOUT_MS));
        Threads.start("slow", () -> {
            try {
                for (Call call = discovery.calls.take(); ; call = discovery.calls.take()) {
                    Thread.sleep(3 * SHORT_TIMEOUT_MS);
                    answerUnlessClosed(call);
                }
            } catch (InterruptedException ended) {
                return;
            }
        });
        ProxyEvent event = nextEvent();
        for (int failed = 0; event instanceof ProxyEvent.ListWatchFailed && failed < 5; failed++) {
            watcher.watch();
            event = nextEvent();
        }
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
    }

    private static void answerUnlessClosed(Call call) {
        try {
            call.write(CHANGED_LIST);
        } catch (IOException givenUp) {
            return;
        }
    }

    @Test
    public void rejectedCallIsAnImmediateFailure() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        discovery.nextCall().write(MessageWriter.response(503, new byte[0], true));
        assertTrue(nextEvent() instanceof ProxyEvent.ListWatchFailed);
        assertTrue(discovery.calls.isEmpty());
    }

    /**
     * A rejected watch is over. Its next call is answered in turn, even without changes, so that the lease of the list
     * is renewed soon.
     */
    @Test
    public void callAfterARejectionDoesNotWaitForChanges() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        discovery.nextCall().write(MessageWriter.response(503, new byte[0], true));
        assertTrue(nextEvent() instanceof ProxyEvent.ListWatchFailed);
        watcher.watch();
        Call nextCall = discovery.nextCall();
        assertEquals(nextCall.target(), "/registry/instances?since=7&timeout_ms=1");
        nextCall.write(UNCHANGED_LIST);
        assertListUpdated(7);
        assertEquals(discovery.nextCall().target(), "/registry/instances?since=7&timeout_ms=300");
    }

    /** Number of silent calls at the old address before the move. */
    @DataProvider
    public Object[][] silentCalls() {
        return new Object[][] {{1}, {2}};
    }

    @Test(dataProvider = "silentCalls")
    public void moveDuringASilentCallPollsTheNewAddressImmediately(int calls) throws Exception {
        StubDiscovery oldDiscovery = new StubDiscovery();
        StubDiscovery newDiscovery = new StubDiscovery();
        startWatch(oldDiscovery, knownList(), timeouts(calls == 1 ? NO_TIMEOUT_MS : SHORT_TIMEOUT_MS, NO_TIMEOUT_MS));
        for (int i = 0; i < calls; i++) {
            oldDiscovery.nextCall();
        }
        watcher.moveTo(newDiscovery.address());
        Call moved = newDiscovery.nextCall();
        assertEquals(moved.target(), "/registry/instances?since=7&timeout_ms=1");
        moved.write(CHANGED_LIST);
        assertListUpdated(8);
        assertEquals(newDiscovery.nextCall().target(), "/registry/instances?since=8&timeout_ms=300");
        assertTrue(oldDiscovery.calls.isEmpty());
    }

    /**
     * A discovery with a lower version is a different service, and is asked for its full list as soon as it has
     * answered.
     */
    @Test
    public void moveToADiscoveryWithALowerVersionRequestsTheFullList() throws Exception {
        StubDiscovery oldDiscovery = new StubDiscovery();
        StubDiscovery newDiscovery = new StubDiscovery();
        startWatch(oldDiscovery, knownList(), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        oldDiscovery.nextCall();
        watcher.moveTo(newDiscovery.address());
        newDiscovery.nextCall().write(answer(3, ""));
        Call fullListCall = newDiscovery.nextCall();
        assertEquals(fullListCall.target(), "/registry/instances");
        fullListCall.write(MessageWriter.response(
                200,
                ("{\"index\":3,\"snapshot\":true,\"endpoints\":[{\"name\":\"h\","
                                + "\"address\":\"127.0.0.1:9\",\"status\":\"leaving\"}]}")
                        .getBytes(StandardCharsets.UTF_8),
                true));
        assertListUpdated(3);
        assertTrue(oldDiscovery.calls.isEmpty());
    }

    /**
     * A change that discovery wrote counts as notified even if it was not read, so it is requested again immediately,
     * without a pause.
     */
    @Test
    public void truncatedAnswerIsRequestedAgainImmediately() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, knownList(), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        Call first = discovery.nextCall();
        first.write(Arrays.copyOf(CHANGED_LIST, CHANGED_LIST.length - 5));
        first.socket().close();
        Call second = discovery.nextCall();
        assertEquals(second.target(), "/registry/instances?since=7&timeout_ms=1");
        second.write(CHANGED_LIST);
        assertListUpdated(8);
        assertTrue(events.isEmpty(), "a truncated answer whose repetition succeeds is not a failure");
    }

    /** Lists may be long and indented: the fleet has up to 3,200 servers. */
    @Test
    public void listOfThousandsOfServersIsRead() throws Exception {
        int servers = 3200;
        StringBuilder text = new StringBuilder("{\n  \"index\": 8,\n  \"snapshot\": true,\n  \"endpoints\": [");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(String.format(
                            "\n    {\n      \"name\": \"s-%08x\",\n      \"address\": \"127.0.0.1:9\",\n"
                                    + "      \"zone\": \"a\",\n      \"type\": \"k\",\n      \"status\": \"active\",\n      \"since_ms\": 0\n    }",
                            i));
        }
        text.append("\n  ]\n}");
        StubDiscovery discovery = new StubDiscovery();
        startWatch(discovery, new EndpointListUpdate(0, true, List.of()), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        discovery.nextCall().write(MessageWriter.response(200, text.toString().getBytes(StandardCharsets.UTF_8), true));
        ProxyEvent event = nextEvent();
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
        assertEquals(((ProxyEvent.ListUpdated) event).update().endpoints().size(), servers);
    }

    // ---- lists that are pushed to an agent -----------------------------------------------------------------

    /** The timeouts for an agent, with a drain grace long enough for a busy machine. */
    private static WatchTimeouts pushedTimeouts() {
        return new WatchTimeouts(true, rules(4_000_000), () -> 0.5) {
            @Override
            public int firstAnswerTimeoutMs() {
                return NO_TIMEOUT_MS;
            }
        };
    }

    private void startPushed(StubDiscovery agent) {
        events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        loop.start(events::add);
        watcher = new EndpointListWatcher(
                loop, agent.address(), knownList(), pushedTimeouts(), EndpointListLease.nonExpiring());
        watcher.start();
    }

    /**
     * Guards against an agent that is never polled, as the load balancer requests a watch only where the settings say
     * that lists are polled.
     */
    @Test
    public void agentIsPolledFromTheStartWithoutARequest() throws Exception {
        StubDiscovery agent = new StubDiscovery();
        startPushed(agent);
        Call first = agent.nextCall();
        assertTrue(first.target().startsWith("/registry/instances?since=7&"), first.target());
        first.write(CHANGED_LIST);
        watcher.awaitFirstAnswer();
        assertFalse(events.isEmpty(), "the list is posted before the node accepts requests");
        assertListUpdated(8);
        assertTrue(agent.nextCall().target().contains("since=8&"));
    }

    @Test
    public void silentAgentIsPolledRepeatedlyWithoutAFailureEvent() throws Exception {
        StubDiscovery agent = new StubDiscovery();
        startPushed(agent);
        for (int i = 1; i <= 6; i++) {
            assertEquals(agent.nextCall().connectionNumber(), i); // a silent connection is abandoned each time
        }
        agent.nextCall().write(CHANGED_LIST);
        assertListUpdated(8);
        assertTrue(events.isEmpty(), "a silent agent is not a failure of a watch that the load balancer requested");
    }

    @Test
    public void rejectingAgentIsPolledAgainWithoutAFailureEvent() throws Exception {
        StubDiscovery agent = new StubDiscovery();
        startPushed(agent);
        agent.nextCall().write(MessageWriter.response(503, new byte[0], false));
        agent.nextCall().write(CHANGED_LIST);
        assertListUpdated(8);
    }

    /** An invalid list is discarded: the previous list stays in use, and the full list is requested. */
    @Test
    public void invalidListIsIgnoredAndTheFullListRequested() throws Exception {
        StubDiscovery agent = new StubDiscovery();
        startPushed(agent);
        agent.nextCall().write(answer(9, "{\"name\":\"h\",\"address\":\"nowhere\",\"status\":\"leaving\"}"));
        Call second = agent.nextCall();
        assertEquals(second.target(), "/registry/instances");
        second.write(CHANGED_LIST);
        assertListUpdated(8);
    }

    /**
     * The states in an implausible full list apply at once to the endpoints that it names, while the full list is
     * requested again.
     */
    @Test
    public void implausibleListAppliesToItsNamedEndpointsAtOnce() throws Exception {
        StubDiscovery discovery = new StubDiscovery();
        List<ResolvedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            endpoints.add(new ResolvedEndpoint(
                    new EndpointInfo("h" + i, "a", "k", 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:9"));
        }
        startWatch(discovery, new EndpointListUpdate(7, true, endpoints), timeouts(NO_TIMEOUT_MS, NO_TIMEOUT_MS));
        discovery
                .nextCall()
                .write(MessageWriter.response(
                        200,
                        ("{\"index\":8,\"snapshot\":true,\"endpoints\":[{\"name\":\"h0\","
                                        + "\"address\":\"127.0.0.1:9\",\"status\":\"leaving\"}]}")
                                .getBytes(StandardCharsets.UTF_8),
                        true));
        ProxyEvent event = nextEvent();
        EndpointListUpdate list = ((ProxyEvent.ListUpdated) event).update();
        assertFalse(list.complete(), "a change of one endpoint");
        assertEquals(list.endpoints().get(0).info().state(), EndpointState.DRAINING);
        assertEquals(discovery.nextCall().target(), "/registry/instances");
    }
}
