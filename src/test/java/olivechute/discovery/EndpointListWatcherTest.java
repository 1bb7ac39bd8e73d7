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
 * The watch against discoveries on loopback sockets that fall silent; {@link #PATIENCE} only ends a test that would
 * hang.
 */
public class EndpointListWatcherTest {
    private static final int PATIENCE = 20; // seconds
    private static final int TOLD_MILLIS = 6000; // the protocol's
    private static final byte[] NEWS = answer(
            8,
            "{\"name\":\"h\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"k\","
                    + "\"status\":\"leaving\",\"since_ms\":0}");
    private static final byte[] NOTHING = answer(7, "");

    /** A call that a discovery has got, on which of its connections, and how to answer it. */
    private record Call(HttpRequest request, int connection, Socket socket, long at) {
        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        String target() {
            return request.target();
        }
    }

    /** Takes calls and hands them to the test; says nothing by itself. */
    private final class Registry {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

        Registry() throws IOException {
            open.add(server);
            Threads.start("registry", () -> {
                try {
                    for (int i = 1; ; i++) {
                        Socket socket = server.accept();
                        int number = i;
                        open.add(socket);
                        Threads.start("registry-connection", () -> serve(socket, number));
                    }
                } catch (IOException closed) {
                    return;
                }
            });
        }

        private void serve(Socket socket, int number) {
            RequestParser parser = new RequestParser();
            byte[] buffer = new byte[4096];
            try {
                for (int n = socket.getInputStream().read(buffer);
                        n >= 0;
                        n = socket.getInputStream().read(buffer)) {
                    parser.feed(buffer, 0, n);
                    if (parser.complete()) {
                        calls.add(new Call(parser.take(), number, socket, System.nanoTime()));
                    }
                }
            } catch (Exception ended) {
                return;
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        Call next() throws InterruptedException {
            Call call = calls.poll(PATIENCE, TimeUnit.SECONDS);
            assertNotNull(call, "no call came");
            return call;
        }
    }

    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private BlockingQueue<ProxyEvent> events; // of the test's own watch; an earlier one may still report its end
    private EndpointListWatcher watch;

    private static byte[] answer(int index, String entries) {
        return MessageWriter.response(
                200,
                ("{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entries + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                true);
    }

    private static final int SOON = 400;
    private static final int NEVER = 60_000;

    private static ServiceRules rules(long drainGrace) {
        return new ServiceRules(0, 10_000_000, drainGrace, 0.3, 8_900_000, 3, 1_000_000, false);
    }

    /** Calls are silent after so many milliseconds: the first, or those that wait for nothing. */
    private static WatchTimeouts clock(int first, int atOnce) {
        return new WatchTimeouts(false, rules(0), () -> 0) {
            @Override
            public Call watch() {
                return new Call(300, first);
            }

            @Override
            public Call fullList() {
                return new Call(0, atOnce);
            }

            @Override
            public Call afterFailure() {
                return new Call(1, atOnce);
            }
        };
    }

    /**
     * Starts a watch. Where a version is known its first call, which asks for news without a wait, is answered with
     * none.
     */
    private void watch(Registry registry, EndpointListUpdate known, WatchTimeouts clock) throws Exception {
        events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        loop.start(events::add);
        watch = new EndpointListWatcher(loop, registry.address(), known, clock, EndpointListLease.nonExpiring());
        watch.start();
        watch.watch();
        if (!known.endpoints().isEmpty()) {
            Call first = registry.next();
            assertEquals(first.target(), "/registry/instances?since=7&timeout_ms=1");
            assertEquals(first.connection(), 1);
            first.write(NOTHING);
            assertNews(7);
        }
    }

    private static EndpointListUpdate known() {
        return new EndpointListUpdate(
                7,
                true,
                List.of(new ResolvedEndpoint(
                        new EndpointInfo("h", "a", "k", 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:9")));
    }

    private ProxyEvent event() throws InterruptedException {
        ProxyEvent event = events.poll(PATIENCE, TimeUnit.SECONDS);
        assertNotNull(event, "no event came");
        return event;
    }

    private void assertNews(int version) throws InterruptedException {
        ProxyEvent event = event();
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
        assertEquals(((ProxyEvent.ListUpdated) event).update().version(), version);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        for (AutoCloseable party : open) {
            party.close();
        }
        open.clear();
    }

    /** What the first answer of a silent call holds: nothing at all, part of a head, a head and part of a body. */
    @DataProvider
    public Object[][] beginnings() {
        return new Object[][] {{0}, {20}, {NEWS.length - 5}};
    }

    @Test(dataProvider = "beginnings")
    public void aSilentWatchIsAskedAgainOnANewConnection(int bytes) throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(SOON, NEVER));
        Call first = registry.next();
        assertEquals(first.target(), "/registry/instances?since=7&timeout_ms=300");
        first.write(Arrays.copyOf(NEWS, bytes));
        Call second = registry.next();
        assertEquals(second.connection(), 2);
        assertEquals(second.target(), "/registry/instances?since=7&timeout_ms=1");
        second.write(NEWS);
        assertNews(8);
        assertEquals(registry.next().target(), "/registry/instances?since=8&timeout_ms=300");
        assertTrue(events.isEmpty(), "a silence that the second call mended is no failure");
    }

    /** With the figures that serve. */
    @Test
    public void aSilentWatchIsAskedAgainBeforeWhatItMissedCountsAsTold() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), new WatchTimeouts(false, rules(0), () -> 0));
        Call first = registry.next();
        Call second = registry.next();
        long hold = Long.parseLong(first.target().replaceAll(".*timeout_ms=", ""));
        assertTrue((second.at() - first.at()) / 1_000_000 < Math.max(TOLD_MILLIS, hold + 2000));
    }

    @Test
    public void anAnswerThatComesInDropsEndsNoLaterThanASilentOne() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(SOON, NEVER));
        Call first = registry.next();
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
        Call second = registry.next();
        assertEquals(second.connection(), 2);
        second.write(NEWS);
        assertNews(8);
    }

    @Test
    public void aSilentPollIsAskedAgainForTheWholeList() throws Exception {
        Registry registry = new Registry();
        watch(registry, new EndpointListUpdate(0, true, List.of()), clock(SOON, SOON));
        assertEquals(registry.next().target(), "/registry/instances");
        Call second = registry.next();
        assertEquals(second.target(), "/registry/instances");
        assertEquals(second.connection(), 2);
    }

    @Test
    public void theSecondCallIsAnsweredAlsoWhereThereIsNothingNew() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(SOON, NEVER));
        registry.next();
        Call second = registry.next();
        assertTrue(second.target().endsWith("timeout_ms=1"), second.target());
        second.write(NOTHING);
        assertNews(7);
        Call third = registry.next();
        assertEquals(third.connection(), 2);
        assertFalse(third.target().endsWith("timeout_ms=1"), third.target());
    }

    @Test
    public void aSecondSilenceIsAFailureAndTheModuleSaysWhenToGoOn() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(SOON, SOON));
        registry.next();
        registry.next();
        assertTrue(event() instanceof ProxyEvent.ListFailed);
        assertTrue(registry.calls.isEmpty());
        watch.watch();
        Call third = registry.next();
        assertEquals(third.connection(), 3);
        third.write(NEWS);
        assertNews(8);
    }

    /**
     * It takes three times as long for each answer as a first call is waited for: to be given up each time would bring
     * none, for ever.
     */
    @Test
    public void aSlowDiscoveryGetsItsAnswerThrough() throws Exception {
        Registry registry = new Registry();
        watch(registry, new EndpointListUpdate(0, true, List.of()), clock(NEVER, SOON));
        Threads.start("slow", () -> {
            try {
                for (Call call = registry.calls.take(); ; call = registry.calls.take()) {
                    Thread.sleep(3 * SOON);
                    answerIfThere(call);
                }
            } catch (InterruptedException ended) {
                return;
            }
        });
        ProxyEvent event = event();
        for (int failed = 0; event instanceof ProxyEvent.ListFailed && failed < 5; failed++) {
            watch.watch();
            event = event();
        }
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
    }

    private static void answerIfThere(Call call) {
        try {
            call.write(NEWS);
        } catch (IOException givenUp) {
            return;
        }
    }

    @Test
    public void aRefusalIsAFailureAtOnce() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(NEVER, NEVER));
        registry.next().write(MessageWriter.response(503, new byte[0], true));
        assertTrue(event() instanceof ProxyEvent.ListFailed);
        assertTrue(registry.calls.isEmpty());
    }

    /**
     * A watch that is refused is over. Its next call is answered in its turn, also with nothing, so that the lease of
     * the list is renewed soon.
     */
    @Test
    public void theCallAfterARefusalWaitsForNoNews() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(NEVER, NEVER));
        registry.next().write(MessageWriter.response(503, new byte[0], true));
        assertTrue(event() instanceof ProxyEvent.ListFailed);
        watch.watch();
        Call again = registry.next();
        assertEquals(again.target(), "/registry/instances?since=7&timeout_ms=1");
        again.write(NOTHING);
        assertNews(7);
        assertEquals(registry.next().target(), "/registry/instances?since=7&timeout_ms=300");
    }

    /** Calls at the old address before the move: the first is silent, or the first and the second. */
    @DataProvider
    public Object[][] silences() {
        return new Object[][] {{1}, {2}};
    }

    @Test(dataProvider = "silences")
    public void aMoveInTheSilenceAsksTheNewAddressAtOnceAndNotTheOldOne(int calls) throws Exception {
        Registry old = new Registry();
        Registry other = new Registry();
        watch(old, known(), clock(calls == 1 ? NEVER : SOON, NEVER));
        for (int i = 0; i < calls; i++) {
            old.next();
        }
        watch.move(other.address());
        Call moved = other.next();
        assertEquals(moved.target(), "/registry/instances?since=7&timeout_ms=1");
        moved.write(NEWS);
        assertNews(8);
        assertEquals(other.next().target(), "/registry/instances?since=8&timeout_ms=300");
        assertTrue(old.calls.isEmpty());
    }

    /** One that counts lower is another service: its whole list is asked for as soon as it has said so. */
    @Test
    public void aMoveToADiscoveryThatCountsLowerAsksItForTheWholeList() throws Exception {
        Registry old = new Registry();
        Registry other = new Registry();
        watch(old, known(), clock(NEVER, NEVER));
        old.next();
        watch.move(other.address());
        other.next().write(answer(3, ""));
        Call whole = other.next();
        assertEquals(whole.target(), "/registry/instances");
        whole.write(MessageWriter.response(
                200,
                ("{\"index\":3,\"snapshot\":true,\"endpoints\":[{\"name\":\"h\","
                                + "\"address\":\"127.0.0.1:9\",\"status\":\"leaving\"}]}")
                        .getBytes(StandardCharsets.UTF_8),
                true));
        assertNews(3);
        assertTrue(old.calls.isEmpty());
    }

    /** What was written counts as notified, read or not: it is asked for again at once, not after a pause. */
    @Test
    public void anAnswerThatBreaksOffIsAskedForAgainAtOnce() throws Exception {
        Registry registry = new Registry();
        watch(registry, known(), clock(NEVER, NEVER));
        Call first = registry.next();
        first.write(Arrays.copyOf(NEWS, NEWS.length - 5));
        first.socket().close();
        Call second = registry.next();
        assertEquals(second.target(), "/registry/instances?since=7&timeout_ms=1");
        second.write(NEWS);
        assertNews(8);
        assertTrue(events.isEmpty(), "a break that the second call mended is no failure");
    }

    /** Lists may be long, and indented: the fleet has up to 3,200 servers. */
    @Test
    public void aListOfThousandsOfServersIsRead() throws Exception {
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
        Registry registry = new Registry();
        watch(registry, new EndpointListUpdate(0, true, List.of()), clock(NEVER, NEVER));
        registry.next().write(MessageWriter.response(200, text.toString().getBytes(StandardCharsets.UTF_8), true));
        ProxyEvent event = event();
        assertTrue(event instanceof ProxyEvent.ListUpdated, String.valueOf(event));
        assertEquals(((ProxyEvent.ListUpdated) event).update().endpoints().size(), servers);
    }

    // ---- lists that are pushed to an agent -----------------------------------------------------------------

    /** An agent's times, and a grace long enough for a busy machine. */
    private static WatchTimeouts pushed() {
        return new WatchTimeouts(true, rules(4_000_000), () -> 0.5) {
            @Override
            public int firstAnswerTimeoutMs() {
                return NEVER;
            }
        };
    }

    private void startPushed(Registry agent) {
        events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        loop.start(events::add);
        watch = new EndpointListWatcher(loop, agent.address(), known(), pushed(), EndpointListLease.nonExpiring());
        watch.start();
    }

    /** Nobody asked an agent at all: the decisions ask only where the settings say that lists have to be asked for. */
    @Test
    public void anAgentIsAskedFromTheStartWithoutAWord() throws Exception {
        Registry agent = new Registry();
        startPushed(agent);
        Call first = agent.next();
        assertTrue(first.target().startsWith("/registry/instances?since=7&"), first.target());
        first.write(NEWS);
        watch.awaitFirst();
        assertFalse(events.isEmpty(), "the list is on its way to the decisions before the node takes anything");
        assertNews(8);
        assertTrue(agent.next().target().contains("since=8&"));
    }

    @Test
    public void anAgentThatSaysNothingIsAskedAgainAndAgainWithoutAWord() throws Exception {
        Registry agent = new Registry();
        startPushed(agent);
        for (int i = 1; i <= 6; i++) {
            assertEquals(agent.next().connection(), i); // a silent connection is given up each time
        }
        agent.next().write(NEWS);
        assertNews(8);
        assertTrue(events.isEmpty(), "an agent's silence is no failure of a call that the decisions made");
    }

    @Test
    public void anAgentThatRefusesIsAskedAgainWithoutAWord() throws Exception {
        Registry agent = new Registry();
        startPushed(agent);
        agent.next().write(MessageWriter.response(503, new byte[0], false));
        agent.next().write(NEWS);
        assertNews(8);
    }

    /** A list that is broken is no list: the former one is kept, and the whole one asked for. */
    @Test
    public void aBrokenListIsLeftAloneAndTheWholeOneAskedFor() throws Exception {
        Registry agent = new Registry();
        startPushed(agent);
        agent.next().write(answer(9, "{\"name\":\"h\",\"address\":\"nowhere\",\"status\":\"leaving\"}"));
        Call second = agent.next();
        assertEquals(second.target(), "/registry/instances");
        second.write(NEWS);
        assertNews(8);
    }

    /**
     * What a doubtful whole list says of the hosts that it names counts at once, while the rest is asked for once more.
     */
    @Test
    public void aDoubtfulListTellsAtOnceOfTheHostsThatItNames() throws Exception {
        Registry registry = new Registry();
        List<ResolvedEndpoint> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new ResolvedEndpoint(
                    new EndpointInfo("h" + i, "a", "k", 0, EndpointState.ACTIVE, 1, 0), "127.0.0.1:9"));
        }
        watch(registry, new EndpointListUpdate(7, true, hosts), clock(NEVER, NEVER));
        registry.next()
                .write(MessageWriter.response(
                        200,
                        ("{\"index\":8,\"snapshot\":true,\"endpoints\":[{\"name\":\"h0\","
                                        + "\"address\":\"127.0.0.1:9\",\"status\":\"leaving\"}]}")
                                .getBytes(StandardCharsets.UTF_8),
                        true));
        ProxyEvent told = event();
        EndpointListUpdate list = ((ProxyEvent.ListUpdated) told).update();
        assertFalse(list.complete(), "a change of one host");
        assertEquals(list.endpoints().get(0).info().state(), EndpointState.DRAINING);
        assertEquals(registry.next().target(), "/registry/instances");
    }
}
