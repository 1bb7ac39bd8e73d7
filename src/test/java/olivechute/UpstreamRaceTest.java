package olivechute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import olivechute.config.LoadReportFields;
import olivechute.http.MessageWriter;
import olivechute.loadbalancing.CostWeights;
import olivechute.loadbalancing.DispatchLimits;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.LoadReporting;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.RequestClass;
import olivechute.loadbalancing.ServiceRules;
import olivechute.loadbalancing.TailObjective;
import olivechute.net.Connection;
import olivechute.net.WriterThreads;
import olivechute.proxy.AnswerLog;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.Payload;
import olivechute.proxy.PreSendCheck;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.RequestDispatcher;
import olivechute.proxy.ResolvedEndpoint;
import olivechute.proxy.UpstreamRequest;
import olivechute.upstream.ConnectionPools;
import olivechute.upstream.LoadReportHeader;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests races between the decision to send a request and its first byte, between a cancellation and the server's
 * acceptance, and between a late or duplicate response and the next request: the connection pools run on real
 * connections whose connects and reads wait at gates until the test opens them.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the events and server logs show whether the tasks ran
public class UpstreamRaceTest {
    private static final long US_PER_MS = 1000;
    private static final long US_PER_S = 1_000_000;
    private static final byte[] ACCEPTED = MessageWriter.response(202, new byte[0], true);
    private static final byte[] CANCELLED_RESPONSE = MessageWriter.response(204, null, true);
    private static final byte[] ERROR = MessageWriter.response(500, new byte[0], true);
    private static final PreSendCheck ALLOW = (request, now, transit) -> true;
    private static final CountDownLatch OPEN_GATE = new CountDownLatch(0);

    private final List<TestServer> peers = new ArrayList<>();
    private final List<CountDownLatch> gates = new ArrayList<>();
    private volatile List<GatedConnection> connections; // replaced for each test, as the counter below
    private final List<String> events = new CopyOnWriteArrayList<>();
    private volatile CountDownLatch dialGate; // connects wait for this gate
    private volatile CountDownLatch readGate; // reads wait for this gate after they have read
    /** Reads of the first connection wait for this gate before they read. */
    private volatile CountDownLatch firstConnectionReadGate;

    private volatile CountDownLatch dialStarted;
    private volatile boolean noDescriptors; // no connection can be created
    /** Replaced for each test, as a connection of an earlier test may still read. */
    private volatile AtomicInteger readsStarted;

    private EventLoop loop;
    private ConnectionPools pools;
    private RequestDispatcher dispatcher; // null if the test sends requests itself

    /** A connection that waits at the gates. */
    private final class GatedConnection extends Connection {
        private final AtomicInteger readCounter = readsStarted;
        private final List<GatedConnection> allConnections = connections;
        private volatile Thread reader;

        GatedConnection(SocketChannel channel) {
            super(channel);
        }

        @Override
        public void connect(InetSocketAddress address, int millis) throws IOException {
            dialStarted.countDown();
            awaitGate(dialGate);
            super.connect(address, millis);
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            reader = Thread.currentThread();
            if (allConnections.get(0) == this) {
                awaitGate(firstConnectionReadGate);
            }
            readCounter.incrementAndGet();
            int n = super.read(into);
            awaitGate(readGate);
            return n;
        }
    }

    private static void awaitGate(CountDownLatch gate) throws IOException {
        try {
            gate.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @BeforeMethod
    public void start() {
        startWith(100, false);
    }

    private void startWith(int maxConnections, boolean onlyDrainingBinds) {
        startWith(maxConnections, onlyDrainingBinds, 250 * US_PER_MS);
    }

    private void startWith(int maxConnections, boolean onlyDrainingBinds, long dialTimeout) {
        events.clear();
        dialGate = OPEN_GATE;
        readGate = OPEN_GATE;
        firstConnectionReadGate = OPEN_GATE;
        connections = new CopyOnWriteArrayList<>();
        dialStarted = new CountDownLatch(1);
        noDescriptors = false;
        readsStarted = new AtomicInteger();
        dispatcher = null;
        loop = new EventLoop();
        pools = new ConnectionPools(
                loop,
                new WriterThreads(100),
                host -> {
                    if (noDescriptors) {
                        throw new IOException("Too many open files");
                    }
                    GatedConnection link = new GatedConnection(SocketChannel.open());
                    link.allConnections.add(link);
                    return link;
                },
                new LoadReportHeader(new LoadReportFields(List.of(), null, null)),
                5 * US_PER_S,
                dialTimeout,
                maxConnections,
                onlyDrainingBinds);
        loop.start(event -> {
            if (event instanceof ProxyEvent.AttemptAccepted e) {
                events.add(e.requestId() + " accepted");
            } else if (event instanceof ProxyEvent.AttemptEnded e) {
                events.add(e.requestId() + " " + e.outcome());
            }
            if (dispatcher != null) {
                dispatcher.accept(event);
            }
        });
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws IOException {
        gates.forEach(CountDownLatch::countDown);
        for (TestServer peer : peers) {
            peer.close();
        }
        peers.clear();
        gates.clear();
    }

    private CountDownLatch newGate() {
        CountDownLatch gate = new CountDownLatch(1);
        gates.add(gate);
        return gate;
    }

    private TestServer startServer(TestServer.ResponseHandler answer) throws IOException {
        TestServer peer = new TestServer(answer);
        peers.add(peer);
        return peer;
    }

    private static TestServer.ResponseHandler acceptAll() {
        return r -> r.method().equals("DELETE") ? CANCELLED_RESPONSE : ACCEPTED;
    }

    private static ResolvedEndpoint endpoint(String name, TestServer peer, EndpointState state, long since) {
        return new ResolvedEndpoint(new EndpointInfo(name, "z", null, 0, state, 1, since), peer.hostAndPort());
    }

    private static EndpointListUpdate snapshot(ResolvedEndpoint... hosts) {
        return new EndpointListUpdate(1, true, List.of(hosts));
    }

    /** Runs a task in one turn of the event loop and waits for its end. */
    private void runOnLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.post(new ProxyEvent.Task(() -> {
            task.run();
            done.complete(null);
        }));
        done.get(5, TimeUnit.SECONDS);
    }

    private static UpstreamRequest request(String id, String host, PreSendCheck check) {
        return new UpstreamRequest(
                id, 0, host, new Payload("/verify", null, new byte[] {1}, 0, 1), 5 * US_PER_S, false, check);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }

    /** Lists the endpoint and sends the request; returns while its connect waits at the gate. */
    private void sendBlockedAtDial(UpstreamRequest request, TestServer peer) throws Exception {
        dialGate = newGate();
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint(request.endpoint(), peer, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request));
        dialStarted.await();
    }

    private void assertNextRequestSent(String host, TestServer peer, int before) throws Exception {
        runOnLoop(() -> pools.send(request("last", host, ALLOW)));
        await(() -> events.contains("last accepted"));
        assertEquals(peer.requests().size(), before + 1);
    }

    // ---- pre-send check -----------------------------------------------------------------------------------

    @Test
    public void requestRejectedByPreSendCheckIsNotWrittenAndItsConnectionIsKept() throws Exception {
        TestServer peer = startServer(acceptAll());
        List<Long> transits = new CopyOnWriteArrayList<>();
        PreSendCheck no = (request, now, transit) -> !transits.add(transit);
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request("a", "s1", no)));
        await(() -> events.contains("a SUPPRESSED"));
        runOnLoop(() -> pools.send(request("b", "s1", ALLOW)));
        await(() -> events.contains("b accepted"));
        Thread.sleep(60); // until the connection may be reused
        runOnLoop(() -> pools.send(request("c", "s1", no)));
        await(() -> events.contains("c SUPPRESSED"));
        assertNextRequestSent("s1", peer, 1);
        assertEquals(peer.connectionCount.get(), 1);
        // A server may complete a handshake before it reads the first request of a connection.
        assertEquals(transits, List.of(250 * US_PER_MS, 0L));
        assertEquals(events, List.of("a SUPPRESSED", "b accepted", "c SUPPRESSED", "last accepted"));
    }

    @Test
    public void endpointThatDrainsDuringConnectGetsNoRequest() throws Exception {
        TestServer peer = startServer(acceptAll());
        sendBlockedAtDial(request("a", "s1", ALLOW), peer);
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.DRAINING, 0))));
        dialGate.countDown();
        await(() -> events.contains("a SUPPRESSED"));
        await(() -> peer.idleCloses.get() == 1); // the connection is of no further use
        assertEquals(peer.requests().size(), 0);
    }

    @Test
    public void endpointRemovedDuringConnectGetsNoRequest() throws Exception {
        TestServer peer = startServer(acceptAll());
        sendBlockedAtDial(request("a", "s1", ALLOW), peer);
        runOnLoop(() -> pools.onListUpdate(snapshot()));
        dialGate.countDown();
        await(() -> events.contains("a SUPPRESSED"));
        await(() -> peer.idleCloses.get() == 1);
        assertEquals(peer.requests().size(), 0);
    }

    /**
     * If only the draining state prevents sending, removal from the list does not, except for an endpoint that was
     * draining before.
     */
    @Test
    public void removedEndpointAcceptsRequestsIfOnlyDrainingBinds() throws Exception {
        startWith(100, true);
        TestServer gone = startServer(acceptAll());
        TestServer drained = startServer(acceptAll());
        runOnLoop(() -> {
            pools.onListUpdate(snapshot(
                    endpoint("s1", gone, EndpointState.ACTIVE, 0), endpoint("s2", drained, EndpointState.DRAINING, 0)));
            pools.onListUpdate(snapshot());
        });
        runOnLoop(() -> {
            assertTrue(pools.acceptsRequests("s1"));
            assertFalse(pools.acceptsRequests("s2"));
            pools.send(request("a", "s1", ALLOW));
            pools.send(request("b", "s2", ALLOW));
        });
        await(() -> events.containsAll(List.of("a accepted", "b SUPPRESSED")));
        assertEquals(drained.requests().size(), 0);
    }

    /** The address may belong to another server by now, which would accept the job and report it under another name. */
    @Test
    public void endpointThatMovedDuringConnectGetsNoRequestAtItsOldAddress() throws Exception {
        TestServer before = startServer(acceptAll());
        TestServer now = startServer(acceptAll());
        sendBlockedAtDial(request("a", "s1", ALLOW), before);
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", now, EndpointState.ACTIVE, 1000))));
        dialGate.countDown();
        await(() -> events.contains("a SUPPRESSED"));
        assertNextRequestSent("s1", now, 0);
        assertEquals(before.requests().size(), 0);
    }

    /** A connection that receives a response after its endpoint moved is not reused. */
    @Test
    public void connectionAnsweredAfterItsEndpointMovedIsNotKept() throws Exception {
        CountDownLatch answers = newGate();
        TestServer before = startServer(r -> {
            answers.await();
            return ACCEPTED;
        });
        TestServer now = startServer(acceptAll());
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", before, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request("a", "s1", ALLOW)));
        NodeTestBase.awaitRequests(before, 1);
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", now, EndpointState.ACTIVE, 1000))));
        answers.countDown();
        await(() -> events.contains("a accepted"));
        await(() -> before.openConnections.get() == 0);
        assertNextRequestSent("s1", now, 0);
    }

    /** The decision to send and the draining state arrive in one turn of the event loop, the write follows after it. */
    @Test
    public void listChangeInTheTurnOfTheDecisionApplies() throws Exception {
        TestServer peer = startServer(acceptAll());
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request("a", "s1", ALLOW)));
        await(() -> events.contains("a accepted"));
        Thread.sleep(60); // until the connection may be reused
        runOnLoop(() -> {
            pools.send(request("b", "s1", ALLOW));
            pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.DRAINING, 0)));
        });
        await(() -> events.contains("b SUPPRESSED"));
        await(() -> peer.idleCloses.get() == 1);
        assertEquals(peer.requests().size(), 1);
        assertEquals(peer.connectionCount.get(), 1);
    }

    // ---- client disconnects -------------------------------------------------------------------------------

    private void dispatch(ResolvedEndpoint... hosts) throws Exception {
        RequestClass verify = new RequestClass(
                "verify", 5 * US_PER_S, US_PER_S / 5, 2, 1, 0, Idempotency.IDEMPOTENT, null, 0, null, 0);
        LoadBalancerSettings settings = new LoadBalancerSettings(
                List.of(verify),
                List.of(),
                "z",
                1,
                new ServiceRules(8 * US_PER_MS, 10 * US_PER_S, US_PER_S / 2, 0.3, 9 * US_PER_S, 3, US_PER_S, false),
                new DispatchLimits(false, true, false, false, 3, 2 * US_PER_S, 5 * US_PER_S),
                LoadReporting.NONE,
                true,
                false,
                0,
                new CostWeights(0, 0, 0, 0),
                TailObjective.NONE,
                true);
        dispatcher = new RequestDispatcher(loop, settings, 1, pools, () -> {}, 100, 1000);
        runOnLoop(() -> dispatcher.start(snapshot(hosts)));
    }

    private void openRequest(String id, AnswerLog client, long remainingUs) {
        Request request = new Request(id, "verify", null, "k", remainingUs, Double.NaN, 1, Double.NaN, false);
        loop.post(new ProxyEvent.RequestArrived(
                request, new Payload("/verify", null, new byte[] {1}, 0, 1), client, loop.now()));
    }

    /**
     * The attempt is dropped at once, not when the connect completes, and the new connection is kept for later
     * requests.
     */
    @Test
    public void requestOfDisconnectedClientIsDroppedDuringConnect() throws Exception {
        TestServer peer = startServer(acceptAll());
        dispatch(endpoint("s1", peer, EndpointState.ACTIVE, 0));
        dialGate = newGate();
        AnswerLog client = new AnswerLog();
        openRequest("a", client, 5 * US_PER_S);
        dialStarted.await();
        loop.post(new ProxyEvent.ClientDisconnected("a", client));
        await(() -> events.contains("a SUPPRESSED"));
        assertEquals(peer.connectionCount.get(), 0);
        dialGate.countDown();
        await(() -> peer.connectionCount.get() == 1);
        openRequest("b", new AnswerLog(), 5 * US_PER_S);
        await(() -> events.contains("b accepted"));
        assertEquals(peer.requests().size(), 1);
        assertEquals(peer.requests().get(0).headers().get("X-Txn"), "b");
    }

    @Test
    public void nothingIsWrittenForAClientKnownToBeDisconnected() throws Exception {
        TestServer peer = startServer(acceptAll());
        dispatch(endpoint("s1", peer, EndpointState.ACTIVE, 0));
        dialGate = newGate();
        AnswerLog client = new AnswerLog();
        openRequest("a", client, 5 * US_PER_S);
        dialStarted.await();
        client.clientPresent = false;
        dialGate.countDown();
        await(() -> events.contains("a SUPPRESSED"));
        loop.post(new ProxyEvent.ClientDisconnected("a", client));
        openRequest("b", new AnswerLog(), 5 * US_PER_S);
        await(() -> events.contains("b accepted"));
        assertEquals(peer.requests().size(), 1);
        assertEquals(client.answers, List.of());
    }

    /** Regression test: the job kept running on its server and was never cancelled there. */
    @Test
    public void cancellationDuringAcceptanceReachesTheServer() throws Exception {
        TestServer peer = startServer(acceptAll());
        dispatch(endpoint("s1", peer, EndpointState.ACTIVE, 0));
        readGate = newGate();
        AnswerLog client = new AnswerLog();
        openRequest("a", client, 100 * US_PER_MS); // less than a server has to accept a job
        await(() -> !client.answers.isEmpty());
        NodeTestBase.awaitRequests(peer, 2);
        assertEquals(
                peer.requests().get(0).method() + " " + peer.requests().get(1).method()
                        + peer.requests().get(1).target(),
                "POST DELETE/jobs/a");
    }

    /**
     * Blocks a turn of the event loop until the server's acceptance has been read, so that its event is queued, and
     * then runs the task in the same turn.
     */
    private TestServer runWhileAcceptanceIsQueued(Consumer<UpstreamRequest> task) throws Exception {
        CountDownLatch answers = newGate();
        TestServer peer = startServer(r -> {
            answers.await();
            return acceptAll().respond(r);
        });
        UpstreamRequest request = request("a", "s1", ALLOW);
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request));
        NodeTestBase.awaitRequests(peer, 1);
        runOnLoop(() -> {
            answers.countDown();
            while (readsStarted.get() < 2) {
                Thread.onSpinWait(); // the second read begins once the first response is processed
            }
            assertEquals(events, List.of());
            task.accept(request);
        });
        await(() -> events.contains("a accepted"));
        return peer;
    }

    @Test
    public void requestCancelledDuringConnectIsNeverSent() throws Exception {
        TestServer peer = startServer(acceptAll());
        UpstreamRequest request = request("a", "s1", ALLOW);
        AtomicBoolean withheld = new AtomicBoolean();
        sendBlockedAtDial(request, peer);
        runOnLoop(() -> withheld.set(pools.cancelWithoutReport(request, false)));
        dialGate.countDown();
        assertTrue(withheld.get());
        assertNextRequestSent("s1", peer, 0);
        assertEquals(events, List.of("last accepted"));
    }

    /**
     * Regression test: to the event loop the request was not yet accepted, so there was neither a connection to close
     * nor a server to send the cancellation to.
     */
    @Test
    public void cancellationWithQueuedAcceptanceReachesTheServer() throws Exception {
        TestServer peer = runWhileAcceptanceIsQueued(request -> assertFalse(pools.cancelWithoutReport(request, false)));
        NodeTestBase.awaitRequests(peer, 2);
        assertEquals(peer.requests().get(1).method(), "DELETE");
    }

    /** The server has responded, so the attempt is not withdrawn. */
    @Test
    public void acceptedRequestIsNotWithdrawn() throws Exception {
        TestServer peer = runWhileAcceptanceIsQueued(request -> pools.cancelAndReportEnd(request, false));
        assertNextRequestSent("s1", peer, 1);
        assertEquals(events, List.of("a accepted", "last accepted"));
        assertEquals(peer.requests().get(1).method(), "POST");
    }

    // ---- duplicate responses ------------------------------------------------------------------------------

    /**
     * The first connection of a server answers its first request twice, the second time after the next request was
     * written, on whichever connection.
     */
    @Test
    public void duplicateResponseIsNotTakenForTheNextRequests() throws Exception {
        int valid = 0;
        for (int i = 0; i < 20 && valid == 0; i++) {
            events.clear();
            CountDownLatch next = newGate();
            TestServer peer = startServer(r -> {
                if (r.headers().get("X-Txn").equals("a")) {
                    return ACCEPTED;
                }
                next.countDown();
                Thread.sleep(100); // the first request is answered a second time meanwhile
                return ACCEPTED;
            });
            String name = "s" + i;
            runOnLoop(() -> pools.onListUpdate(snapshot(endpoint(name, peer, EndpointState.ACTIVE, 0))));
            runOnLoop(() -> pools.send(request("a", name, ALLOW)));
            await(() -> events.contains("a accepted"));
            long since = System.nanoTime();
            Thread.sleep(5); // the response is read, and the connection returned to the pool
            runOnLoop(() -> pools.send(request("b", name, ALLOW)));
            long took = System.nanoTime() - since;
            next.await();
            peer.sendUnsolicited(0, ERROR);
            await(() -> events.size() == 2);
            if (took < 20_000_000) { // otherwise the connection was reusable already, and the run proves nothing
                valid++;
                assertEquals(events, List.of("a accepted", "b accepted"));
                await(() -> peer.openConnections.get() == 1); // the unsolicited response closed the other connection
            }
        }
        assertEquals(valid, 1);
    }

    @Test
    public void reusableConnectionIsPreferred() throws Exception {
        TestServer peer = startServer(acceptAll());
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        for (String id : List.of("a", "b")) {
            runOnLoop(() -> pools.send(request(id, "s1", ALLOW)));
        }
        await(() -> events.containsAll(List.of("a accepted", "b accepted")));
        Thread.sleep(60);
        for (String id : List.of("c", "d")) {
            runOnLoop(() -> pools.send(request(id, "s1", ALLOW)));
            await(() -> events.contains(id + " accepted"));
        }
        assertEquals(peer.connectionCount.get(), 2);
    }

    /** However fast a server answers, it does not have to hold a connection for each recent request. */
    @Test
    public void connectionsNotYetReusableAreBounded() throws Exception {
        TestServer peer = startServer(acceptAll());
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        for (int i = 0; i < 200; i++) {
            String id = "t" + i;
            runOnLoop(() -> pools.send(request(id, "s1", ALLOW)));
            while (!events.contains(id + " accepted")) {
                Thread.onSpinWait();
            }
        }
        assertTrue(peer.connectionCount.get() <= 12, peer.connectionCount + " connections");
    }

    /** Establishes one connection that was used and may be reused. */
    private void establishReusableConnection(TestServer peer) throws Exception {
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        runOnLoop(() -> pools.send(request("a", "s1", ALLOW)));
        await(() -> events.contains("a accepted"));
        Thread.sleep(60);
    }

    private void spinUntil(BooleanSupplier condition) {
        for (long end = System.nanoTime() + 5_000_000_000L; !condition.getAsBoolean() && System.nanoTime() < end; ) {
            Thread.onSpinWait();
        }
    }

    /** The late response is in the kernel's buffer: the reader has not read it when the next request is written. */
    @Test
    public void unreadLateResponseIsNotTakenForTheNextRequests() throws Exception {
        TestServer peer = startServer(r -> {
            if (r.headers().get("X-Txn").equals("a")) {
                spinUntil(() -> readsStarted.get() == 1);
                firstConnectionReadGate = newGate();
            }
            return ACCEPTED;
        });
        establishReusableConnection(peer);
        peer.sendUnsolicited(0, ERROR);
        await(() -> connections.get(0).hasUnreadInput());
        runOnLoop(() -> pools.send(request("b", "s1", ALLOW)));
        NodeTestBase.awaitRequests(peer, 2);
        firstConnectionReadGate.countDown();
        await(() -> events.size() == 2);
        assertEquals(events, List.of("a accepted", "b accepted"));
        await(() -> peer.openConnections.get() == 1);
        assertEquals(peer.connectionCount.get(), 2);
    }

    /** The late response was read, and its reader waits for the lock of the thread that is about to write. */
    @Test
    public void lateResponseBeingReadIsNotTakenForTheNextRequests() throws Exception {
        TestServer peer = startServer(acceptAll());
        establishReusableConnection(peer);
        CountDownLatch checkReleased = newGate();
        CountDownLatch checkStarted = new CountDownLatch(1);
        PreSendCheck waits = (request, now, transit) -> {
            checkStarted.countDown();
            try {
                return checkReleased.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return false;
            }
        };
        CompletableFuture.runAsync(() -> loop.post(new ProxyEvent.Task(() -> pools.send(request("b", "s1", waits)))));
        checkStarted.await();
        peer.sendUnsolicited(0, ERROR);
        await(() -> !connections.get(0).hasUnreadInput()
                && connections.get(0).reader.getState() == Thread.State.BLOCKED);
        checkReleased.countDown();
        await(() -> events.size() == 2);
        assertEquals(events, List.of("a accepted", "b accepted"));
        assertEquals(peer.connectionCount.get(), 2);
    }

    /** The late response arrives between the decision to send and the first byte. */
    @Test
    public void lateResponseBeforeTheNextWriteIsNotTakenForTheNextRequests() throws Exception {
        TestServer peer = startServer(acceptAll());
        establishReusableConnection(peer);
        runOnLoop(() -> {
            pools.send(request("b", "s1", ALLOW));
            sendUnsolicitedAndAwaitRead(peer);
        });
        await(() -> events.size() == 2);
        assertEquals(events, List.of("a accepted", "b accepted"));
        assertEquals(peer.connectionCount.get(), 2);
    }

    /** Sends an unsolicited response on the first connection and waits until it was read. */
    private void sendUnsolicitedAndAwaitRead(TestServer peer) {
        try {
            peer.sendUnsolicited(0, ERROR);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        spinUntil(() -> peer.openConnections.get() == 0 || readsStarted.get() == 3);
    }

    /** The chosen connection gets an unsolicited response; the event loop has not used another one yet. */
    @Test
    public void requestSuppressedBetweenConnectionsIsNotSent() throws Exception {
        TestServer peer = startServer(acceptAll());
        establishReusableConnection(peer);
        UpstreamRequest request = request("b", "s1", ALLOW);
        AtomicBoolean written = new AtomicBoolean(true);
        runOnLoop(() -> {
            pools.send(request);
            sendUnsolicitedAndAwaitRead(peer);
            written.set(pools.hasWrittenBytes(request));
            pools.suppressIfUnwritten(request);
        });
        assertFalse(written.get());
        await(() -> events.contains("b SUPPRESSED"));
        assertNextRequestSent("s1", peer, 1);
        assertEquals(events, List.of("a accepted", "b SUPPRESSED", "last accepted"));
    }

    /**
     * Sends one request over a connect of 200 ms and a later one over the same connection, so that the pool knows how
     * long a connect takes.
     */
    private TestServer serverWithSlowDial() throws Exception {
        TestServer peer = startServer(acceptAll());
        startWith(100, false, 3 * US_PER_S);
        sendBlockedAtDial(request("a", "s1", ALLOW), peer);
        Thread.sleep(200);
        dialGate.countDown();
        await(() -> events.contains("a accepted"));
        Thread.sleep(60);
        runOnLoop(() -> pools.send(request("b", "s1", ALLOW)));
        spinUntil(() -> events.contains("b accepted") && readsStarted.get() == 3); // the connection is back in the pool
        return peer;
    }

    @Test
    public void requestWaitsForReusableConnectionIfConnectsAreSlow() throws Exception {
        TestServer peer = serverWithSlowDial();
        for (int i = 0; i < 10; i++) {
            String id = "c" + i;
            int reads = 4 + i;
            runOnLoop(() -> pools.send(request(id, "s1", ALLOW)));
            spinUntil(() -> events.contains(id + " accepted") && readsStarted.get() == reads);
        }
        assertEquals(peer.requests().size(), 12);
        assertEquals(peer.connectionCount.get(), 1);
        for (int i = 2; i < 12; i++) {
            long since = peer.received.get(i).receivedAtMs()
                    - peer.received.get(i - 1).receivedAtMs();
            assertTrue(since >= 29, "after " + since + " ms, rounded down");
        }
    }

    /** Each connection that becomes reusable is awaited by one request only. */
    @Test
    public void waitingRequestsAwaitDifferentConnections() throws Exception {
        TestServer peer = serverWithSlowDial();
        dialGate = OPEN_GATE;
        runOnLoop(() -> {
            pools.send(request("c", "s1", ALLOW));
            pools.send(request("d", "s1", ALLOW));
        });
        await(() -> events.containsAll(List.of("c accepted", "d accepted")));
        assertEquals(peer.connectionCount.get(), 2);
    }

    @Test
    public void requestSuppressedWhileWaitingIsNotWrittenAndTheConnectionIsKept() throws Exception {
        TestServer peer = serverWithSlowDial();
        UpstreamRequest request = request("c", "s1", ALLOW);
        AtomicBoolean written = new AtomicBoolean(true);
        runOnLoop(() -> {
            pools.send(request);
            written.set(pools.hasWrittenBytes(request));
            pools.suppressIfUnwritten(request);
        });
        assertFalse(written.get());
        await(() -> events.contains("c SUPPRESSED"));
        Thread.sleep(60);
        assertNextRequestSent("s1", peer, 2);
        assertEquals(peer.connectionCount.get(), 1);
    }

    /** The waiting request is sent over another connection, and its server receives it once. */
    @Test
    public void duplicateResponseEndsTheWaitAndIsIgnored() throws Exception {
        TestServer peer = serverWithSlowDial();
        runOnLoop(() -> {
            pools.send(request("c", "s1", ALLOW));
            try {
                peer.sendUnsolicited(0, ERROR);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            spinUntil(() -> peer.openConnections.get() == 0 || readsStarted.get() == 4);
        });
        await(() -> events.size() == 3);
        assertEquals(events, List.of("a accepted", "b accepted", "c accepted"));
        assertEquals(peer.requests().size(), 3);
        assertEquals(peer.connectionCount.get(), 2);
    }

    // ---- limits -------------------------------------------------------------------------------------------

    @Test
    public void requestWithoutConnectionIsAConnectFailure() throws Exception {
        startWith(1, false);
        TestServer peer = startServer(acceptAll());
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        dialGate = newGate();
        runOnLoop(() -> pools.send(request("a", "s1", ALLOW)));
        runOnLoop(() -> pools.send(request("b", "s1", ALLOW)));
        await(() -> events.contains("b CONNECT_FAILED"));
        dialGate.countDown();
        await(() -> events.contains("a accepted"));
        noDescriptors = true;
        Thread.sleep(5);
        runOnLoop(() -> {
            pools.closeIdleConnections("s1");
            pools.send(request("c", "s1", ALLOW));
        });
        await(() -> events.contains("c CONNECT_FAILED"));
        noDescriptors = false;
        assertNextRequestSent("s1", peer, 1);
    }

    /** Regression test: a fixed limit of one second cut off the connect. */
    @Test
    public void connectMayTakeTheConfiguredTimeout() throws Exception {
        startWith(100, false, 3 * US_PER_S);
        TestServer peer = startServer(acceptAll());
        sendBlockedAtDial(request("a", "s1", ALLOW), peer);
        Thread.sleep(1100);
        runOnLoop(pools::sweep);
        dialGate.countDown();
        await(() -> !events.isEmpty());
        assertEquals(events, List.of("a accepted"));
    }

    @Test
    public void incompleteResponseTimesOut() throws Exception {
        TestServer peer = startServer(r -> "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf".getBytes(UTF_8));
        runOnLoop(() -> pools.onListUpdate(snapshot(endpoint("s1", peer, EndpointState.ACTIVE, 0))));
        UpstreamRequest impatient = new UpstreamRequest(
                "a", 0, "s1", new Payload("/verify", null, new byte[] {1}, 0, 1), 50 * US_PER_MS, false, ALLOW);
        runOnLoop(() -> pools.send(impatient));
        NodeTestBase.awaitRequests(peer, 1);
        for (int i = 0; i < 100 && events.isEmpty(); i++) {
            Thread.sleep(20);
            runOnLoop(pools::sweep);
        }
        assertEquals(events, List.of("a RESET"));
        await(() -> peer.openConnections.get() == 0);
    }
}
