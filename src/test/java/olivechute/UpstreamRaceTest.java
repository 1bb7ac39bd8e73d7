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
 * What happens between the decision to send and the first byte, and between an answer and its end, in the bad order:
 * the pools on real connections, whose dials and reads wait at gates until the test lets them go.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the answers of the peers show whether the tasks ran
public class UpstreamRaceTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;
    private static final byte[] ACCEPTED = MessageWriter.response(202, new byte[0], true);
    private static final byte[] GIVEN_UP = MessageWriter.response(204, null, true);
    private static final byte[] ERROR = MessageWriter.response(500, new byte[0], true);
    private static final PreSendCheck YES = (request, now, transit) -> true;
    private static final CountDownLatch OPEN = new CountDownLatch(0);

    private final List<Peer> peers = new ArrayList<>();
    private final List<CountDownLatch> gates = new ArrayList<>();
    private volatile List<Gated> links; // this test's own, as the counter below
    private final List<String> told = new CopyOnWriteArrayList<>();
    private volatile CountDownLatch dials; // wait for this
    private volatile CountDownLatch reads;
    private volatile CountDownLatch firstReads; // the first connection's, before they look for bytes
    private volatile CountDownLatch dialling;
    private volatile boolean noDescriptors;
    private volatile AtomicInteger readsBegun; // this test's own: a connection of the one before may read on
    private EventLoop loop;
    private ConnectionPools pools;
    private RequestDispatcher dispatcher; // null where the test sends by itself

    /** Waits at the gates. */
    private final class Gated extends Connection {
        private final AtomicInteger begun = readsBegun;
        private final List<Gated> others = links;
        private volatile Thread reader;

        Gated(SocketChannel channel) {
            super(channel);
        }

        @Override
        public void connect(InetSocketAddress address, int millis) throws IOException {
            dialling.countDown();
            pass(dials);
            super.connect(address, millis);
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            reader = Thread.currentThread();
            if (others.get(0) == this) {
                pass(firstReads);
            }
            begun.incrementAndGet();
            int n = super.read(into);
            pass(reads);
            return n;
        }
    }

    private static void pass(CountDownLatch gate) throws IOException {
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

    private void startWith(int most, boolean onlyDrainingBinds) {
        startWith(most, onlyDrainingBinds, 250 * MS);
    }

    private void startWith(int most, boolean onlyDrainingBinds, long dialTimeout) {
        told.clear();
        dials = OPEN;
        reads = OPEN;
        firstReads = OPEN;
        links = new CopyOnWriteArrayList<>();
        dialling = new CountDownLatch(1);
        noDescriptors = false;
        readsBegun = new AtomicInteger();
        dispatcher = null;
        loop = new EventLoop();
        pools = new ConnectionPools(
                loop,
                new WriterThreads(100),
                host -> {
                    if (noDescriptors) {
                        throw new IOException("Too many open files");
                    }
                    Gated link = new Gated(SocketChannel.open());
                    link.others.add(link);
                    return link;
                },
                new LoadReportHeader(new LoadReportFields(List.of(), null, null)),
                5 * S,
                dialTimeout,
                most,
                onlyDrainingBinds);
        loop.start(event -> {
            if (event instanceof ProxyEvent.AttemptAccepted e) {
                told.add(e.requestId() + " accepted");
            } else if (event instanceof ProxyEvent.AttemptEnded e) {
                told.add(e.requestId() + " " + e.outcome());
            }
            if (dispatcher != null) {
                dispatcher.accept(event);
            }
        });
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws IOException {
        gates.forEach(CountDownLatch::countDown);
        for (Peer peer : peers) {
            peer.close();
        }
        peers.clear();
        gates.clear();
    }

    private CountDownLatch gate() {
        CountDownLatch gate = new CountDownLatch(1);
        gates.add(gate);
        return gate;
    }

    private Peer peer(Peer.Answer answer) throws IOException {
        Peer peer = new Peer(answer);
        peers.add(peer);
        return peer;
    }

    private static Peer.Answer takes() {
        return r -> r.method().equals("DELETE") ? GIVEN_UP : ACCEPTED;
    }

    private static ResolvedEndpoint host(String name, Peer peer, EndpointState state, long since) {
        return new ResolvedEndpoint(new EndpointInfo(name, "z", null, 0, state, 1, since), peer.text());
    }

    private static EndpointListUpdate list(ResolvedEndpoint... hosts) {
        return new EndpointListUpdate(1, true, List.of(hosts));
    }

    /** In one turn, and done when this returns. */
    private void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.post(new ProxyEvent.Task(() -> {
            task.run();
            done.complete(null);
        }));
        done.get(5, TimeUnit.SECONDS);
    }

    private static UpstreamRequest request(String id, String host, PreSendCheck look) {
        return new UpstreamRequest(id, 0, host, new Payload("/verify", null, new byte[] {1}, 0, 1), 5 * S, false, look);
    }

    private static void await(BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; i < 500 && !holds.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(holds.getAsBoolean());
    }

    /** Once it returns all is written that was to be: what comes is seen by the peer in this order. */
    /** Has the host listed and the request sent; returns while its dial waits for the gate. */
    private void sendHeldAtItsDial(UpstreamRequest request, Peer peer) throws Exception {
        dials = gate();
        onLoop(() -> pools.onListUpdate(list(host(request.endpoint(), peer, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request));
        dialling.await();
    }

    private void sentAfter(String host, Peer peer, int before) throws Exception {
        onLoop(() -> pools.send(request("last", host, YES)));
        await(() -> told.contains("last accepted"));
        assertEquals(peer.requests().size(), before + 1);
    }

    // ---- the last look ------------------------------------------------------------------------------------

    @Test
    public void whatTheLookDoesNotAllowIsNotWrittenAndItsNewConnectionIsKept() throws Exception {
        Peer peer = peer(takes());
        List<Long> transits = new CopyOnWriteArrayList<>();
        PreSendCheck no = (request, now, transit) -> !transits.add(transit);
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request("a", "s1", no)));
        await(() -> told.contains("a SUPPRESSED"));
        onLoop(() -> pools.send(request("b", "s1", YES)));
        await(() -> told.contains("b accepted"));
        Thread.sleep(60); // until it may be used again
        onLoop(() -> pools.send(request("c", "s1", no)));
        await(() -> told.contains("c SUPPRESSED"));
        sentAfter("s1", peer, 1);
        assertEquals(peer.connections.get(), 1);
        // A host may shake hands before it reads what is first on a connection.
        assertEquals(transits, List.of(250 * MS, 0L));
        assertEquals(told, List.of("a SUPPRESSED", "b accepted", "c SUPPRESSED", "last accepted"));
    }

    @Test
    public void aHostThatBeginsToLeaveDuringTheDialGetsNothing() throws Exception {
        Peer peer = peer(takes());
        sendHeldAtItsDial(request("a", "s1", YES), peer);
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.DRAINING, 0))));
        dials.countDown();
        await(() -> told.contains("a SUPPRESSED"));
        await(() -> peer.idleEnds.get() == 1); // of no use to anybody
        assertEquals(peer.requests().size(), 0);
    }

    @Test
    public void aHostThatIsGoneDuringTheDialGetsNothing() throws Exception {
        Peer peer = peer(takes());
        sendHeldAtItsDial(request("a", "s1", YES), peer);
        onLoop(() -> pools.onListUpdate(list()));
        dials.countDown();
        await(() -> told.contains("a SUPPRESSED"));
        await(() -> peer.idleEnds.get() == 1);
        assertEquals(peer.requests().size(), 0);
    }

    /** Where only draining binds, being gone says nothing, but for a host that drained before. */
    @Test
    public void whereOnlyDrainingBindsAHostThatIsGoneMayBeSentToUnlessItDrained() throws Exception {
        startWith(100, true);
        Peer gone = peer(takes());
        Peer drained = peer(takes());
        onLoop(() -> {
            pools.onListUpdate(
                    list(host("s1", gone, EndpointState.ACTIVE, 0), host("s2", drained, EndpointState.DRAINING, 0)));
            pools.onListUpdate(list());
        });
        onLoop(() -> {
            assertTrue(pools.acceptsRequests("s1"));
            assertFalse(pools.acceptsRequests("s2"));
            pools.send(request("a", "s1", YES));
            pools.send(request("b", "s2", YES));
        });
        await(() -> told.containsAll(List.of("a accepted", "b SUPPRESSED")));
        assertEquals(drained.requests().size(), 0);
    }

    /** The address may be another's by now, who would take the job and tell of it under another name. */
    @Test
    public void aHostThatMovedDuringTheDialGetsNothingWhereItWas() throws Exception {
        Peer before = peer(takes());
        Peer now = peer(takes());
        sendHeldAtItsDial(request("a", "s1", YES), before);
        onLoop(() -> pools.onListUpdate(list(host("s1", now, EndpointState.ACTIVE, 1000))));
        dials.countDown();
        await(() -> told.contains("a SUPPRESSED"));
        sentAfter("s1", now, 0);
        assertEquals(before.requests().size(), 0);
    }

    /** What answers after its host moved is not asked again. */
    @Test
    public void aConnectionThatIsAnsweredAfterItsHostMovedIsNotKept() throws Exception {
        CountDownLatch answers = gate();
        Peer before = peer(r -> {
            answers.await();
            return ACCEPTED;
        });
        Peer now = peer(takes());
        onLoop(() -> pools.onListUpdate(list(host("s1", before, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request("a", "s1", YES)));
        NodeRig.awaitRequests(before, 1);
        onLoop(() -> pools.onListUpdate(list(host("s1", now, EndpointState.ACTIVE, 1000))));
        answers.countDown();
        await(() -> told.contains("a accepted"));
        await(() -> before.open.get() == 0);
        sentAfter("s1", now, 0);
    }

    /** The decision and the news of the drain come in one turn, the writes after it. */
    @Test
    public void aListThatChangesInTheTurnOfTheDecisionBinds() throws Exception {
        Peer peer = peer(takes());
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request("a", "s1", YES)));
        await(() -> told.contains("a accepted"));
        Thread.sleep(60); // until the connection may be used again
        onLoop(() -> {
            pools.send(request("b", "s1", YES));
            pools.onListUpdate(list(host("s1", peer, EndpointState.DRAINING, 0)));
        });
        await(() -> told.contains("b SUPPRESSED"));
        await(() -> peer.idleEnds.get() == 1);
        assertEquals(peer.requests().size(), 1);
        assertEquals(peer.connections.get(), 1);
    }

    // ---- a client that leaves -----------------------------------------------------------------------------

    private void dispatch(ResolvedEndpoint... hosts) throws Exception {
        RequestClass verify =
                new RequestClass("verify", 5 * S, S / 5, 2, 1, 0, Idempotency.IDEMPOTENT, null, 0, null, 0);
        LoadBalancerSettings settings = new LoadBalancerSettings(
                List.of(verify),
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
                true);
        dispatcher = new RequestDispatcher(loop, settings, 1, pools, () -> {}, 100, 1000);
        onLoop(() -> dispatcher.start(list(hosts)));
    }

    private void open(String id, AnswerLog client, long left) {
        Request request = new Request(id, "verify", null, "k", left, Double.NaN, 1, Double.NaN, false);
        loop.post(new ProxyEvent.RequestArrived(
                request, new Payload("/verify", null, new byte[] {1}, 0, 1), client, loop.now()));
    }

    /** At once, not when the dial is up; and the dial is not in vain. */
    @Test
    public void whatIsBeingDialledForAClientThatLeavesIsDropped() throws Exception {
        Peer peer = peer(takes());
        dispatch(host("s1", peer, EndpointState.ACTIVE, 0));
        dials = gate();
        AnswerLog client = new AnswerLog();
        open("a", client, 5 * S);
        dialling.await();
        loop.post(new ProxyEvent.ClientDisconnected("a", client));
        await(() -> told.contains("a SUPPRESSED"));
        assertEquals(peer.connections.get(), 0);
        dials.countDown();
        await(() -> peer.connections.get() == 1);
        open("b", new AnswerLog(), 5 * S);
        await(() -> told.contains("b accepted"));
        assertEquals(peer.requests().size(), 1);
        assertEquals(peer.requests().get(0).headers().get("X-Txn"), "b");
    }

    @Test
    public void nothingIsWrittenForAClientThatIsKnownToHaveGoneAheadOfTheEvent() throws Exception {
        Peer peer = peer(takes());
        dispatch(host("s1", peer, EndpointState.ACTIVE, 0));
        dials = gate();
        AnswerLog client = new AnswerLog();
        open("a", client, 5 * S);
        dialling.await();
        client.clientPresent = false;
        dials.countDown();
        await(() -> told.contains("a SUPPRESSED"));
        loop.post(new ProxyEvent.ClientDisconnected("a", client));
        open("b", new AnswerLog(), 5 * S);
        await(() -> told.contains("b accepted"));
        assertEquals(peer.requests().size(), 1);
        assertEquals(client.answers, List.of());
    }

    /** It had run on at its host, and was never given up there. */
    @Test
    public void whatIsGivenUpWhileItsAcceptanceIsOnItsWayIsGivenUpAtItsHostToo() throws Exception {
        Peer peer = peer(takes());
        dispatch(host("s1", peer, EndpointState.ACTIVE, 0));
        reads = gate();
        AnswerLog client = new AnswerLog();
        open("a", client, 100 * MS); // less than a host is given to accept a job
        await(() -> !client.answers.isEmpty());
        NodeRig.awaitRequests(peer, 2);
        assertEquals(
                peer.requests().get(0).method() + " " + peer.requests().get(1).method()
                        + peer.requests().get(1).target(),
                "POST DELETE/jobs/a");
    }

    /** Has the host's acceptance read in a turn, so that its event waits, and then does this in that turn. */
    private Peer acceptedWhile(Consumer<UpstreamRequest> task) throws Exception {
        CountDownLatch answers = gate();
        Peer peer = peer(r -> {
            answers.await();
            return takes().to(r);
        });
        UpstreamRequest request = request("a", "s1", YES);
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request));
        NodeRig.awaitRequests(peer, 1);
        onLoop(() -> {
            answers.countDown();
            while (readsBegun.get() < 2) {
                Thread.onSpinWait(); // it reads on once it has done with what it read
            }
            assertEquals(told, List.of());
            task.accept(request);
        });
        await(() -> told.contains("a accepted"));
        return peer;
    }

    @Test
    public void whatIsGivenUpDuringItsDialNeverRan() throws Exception {
        Peer peer = peer(takes());
        UpstreamRequest request = request("a", "s1", YES);
        AtomicBoolean withheld = new AtomicBoolean();
        sendHeldAtItsDial(request, peer);
        onLoop(() -> withheld.set(pools.cancelWithoutReport(request, false)));
        dials.countDown();
        assertTrue(withheld.get());
        sentAfter("s1", peer, 0);
        assertEquals(told, List.of("last accepted"));
    }

    /** Not yet accepted, as far as the loop knew: it had neither a connection to close nor, for it, a host to tell. */
    @Test
    public void whatIsGivenUpWhileItsAcceptanceIsQueuedIsGivenUpAtItsHost() throws Exception {
        Peer peer = acceptedWhile(request -> assertFalse(pools.cancelWithoutReport(request, false)));
        NodeRig.awaitRequests(peer, 2);
        assertEquals(peer.requests().get(1).method(), "DELETE");
    }

    /** Its host is not silent. */
    @Test
    public void whatIsAcceptedIsNotWithdrawn() throws Exception {
        Peer peer = acceptedWhile(request -> pools.cancelAndReportEnd(request, false));
        sentAfter("s1", peer, 1);
        assertEquals(told, List.of("a accepted", "last accepted"));
        assertEquals(peer.requests().get(1).method(), "POST");
    }

    // ---- a second answer ----------------------------------------------------------------------------------

    /**
     * The first connection of a peer answers its first request twice, the second time once the next request is written,
     * wherever.
     */
    @Test
    public void aSecondAnswerIsNotTakenForTheAnswerToTheNextRequest() throws Exception {
        int valid = 0;
        for (int i = 0; i < 20 && valid == 0; i++) {
            told.clear();
            CountDownLatch next = gate();
            Peer peer = peer(r -> {
                if (r.headers().get("X-Txn").equals("a")) {
                    return ACCEPTED;
                }
                next.countDown();
                Thread.sleep(100); // the first is answered once more meanwhile
                return ACCEPTED;
            });
            String name = "s" + i;
            onLoop(() -> pools.onListUpdate(list(host(name, peer, EndpointState.ACTIVE, 0))));
            onLoop(() -> pools.send(request("a", name, YES)));
            await(() -> told.contains("a accepted"));
            long since = System.nanoTime();
            Thread.sleep(5); // the answer is read, and the connection given back
            onLoop(() -> pools.send(request("b", name, YES)));
            long took = System.nanoTime() - since;
            next.await();
            peer.say(0, ERROR);
            await(() -> told.size() == 2);
            if (took < 20_000_000) { // else it had settled, and proves nothing
                valid++;
                assertEquals(told, List.of("a accepted", "b accepted"));
                await(() -> peer.open.get() == 1); // what was said in between closed the other
            }
        }
        assertEquals(valid, 1);
    }

    @Test
    public void anotherThatHasSettledGoesFirst() throws Exception {
        Peer peer = peer(takes());
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        for (String id : List.of("a", "b")) {
            onLoop(() -> pools.send(request(id, "s1", YES)));
        }
        await(() -> told.containsAll(List.of("a accepted", "b accepted")));
        Thread.sleep(60);
        for (String id : List.of("c", "d")) {
            onLoop(() -> pools.send(request(id, "s1", YES)));
            await(() -> told.contains(id + " accepted"));
        }
        assertEquals(peer.connections.get(), 2);
    }

    /** However fast a host answers, it does not have to hold a connection for each request of the last moment. */
    @Test
    public void connectionsThatSettleAreBounded() throws Exception {
        Peer peer = peer(takes());
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        for (int i = 0; i < 200; i++) {
            String id = "t" + i;
            onLoop(() -> pools.send(request(id, "s1", YES)));
            while (!told.contains(id + " accepted")) {
                Thread.onSpinWait();
            }
        }
        assertTrue(peer.connections.get() <= 12, peer.connections + " connections");
    }

    /** One connection that was used and may be used again. */
    private void settled(Peer peer) throws Exception {
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        onLoop(() -> pools.send(request("a", "s1", YES)));
        await(() -> told.contains("a accepted"));
        Thread.sleep(60);
    }

    private void spinUntil(BooleanSupplier holds) {
        for (long end = System.nanoTime() + 5_000_000_000L; !holds.getAsBoolean() && System.nanoTime() < end; ) {
            Thread.onSpinWait();
        }
    }

    /** It lies in the kernel: who reads there has not come to it by the time the next request is written. */
    @Test
    public void aLateAnswerThatNobodyHasReadYetIsNotTakenForTheNext() throws Exception {
        Peer peer = peer(r -> {
            if (r.headers().get("X-Txn").equals("a")) {
                spinUntil(() -> readsBegun.get() == 1);
                firstReads = gate();
            }
            return ACCEPTED;
        });
        settled(peer);
        peer.say(0, ERROR);
        await(() -> links.get(0).hasUnreadInput());
        onLoop(() -> pools.send(request("b", "s1", YES)));
        NodeRig.awaitRequests(peer, 2);
        firstReads.countDown();
        await(() -> told.size() == 2);
        assertEquals(told, List.of("a accepted", "b accepted"));
        await(() -> peer.open.get() == 1);
        assertEquals(peer.connections.get(), 2);
    }

    /** It was read, and its reader waits behind the one that is about to write. */
    @Test
    public void aLateAnswerInItsReadersHandIsNotTakenForTheNext() throws Exception {
        Peer peer = peer(takes());
        settled(peer);
        CountDownLatch looks = gate();
        CountDownLatch looking = new CountDownLatch(1);
        PreSendCheck waits = (request, now, transit) -> {
            looking.countDown();
            try {
                return looks.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return false;
            }
        };
        CompletableFuture.runAsync(() -> loop.post(new ProxyEvent.Task(() -> pools.send(request("b", "s1", waits)))));
        looking.await();
        peer.say(0, ERROR);
        await(() -> !links.get(0).hasUnreadInput() && links.get(0).reader.getState() == Thread.State.BLOCKED);
        looks.countDown();
        await(() -> told.size() == 2);
        assertEquals(told, List.of("a accepted", "b accepted"));
        assertEquals(peer.connections.get(), 2);
    }

    /** Between the decision and the first byte. */
    @Test
    public void aLateAnswerBeforeTheNextRequestIsWrittenIsNotTakenForItsOwn() throws Exception {
        Peer peer = peer(takes());
        settled(peer);
        onLoop(() -> {
            pools.send(request("b", "s1", YES));
            said(peer);
        });
        await(() -> told.size() == 2);
        assertEquals(told, List.of("a accepted", "b accepted"));
        assertEquals(peer.connections.get(), 2);
    }

    /** Something unasked on the first connection; until it was read. */
    private void said(Peer peer) {
        try {
            peer.say(0, ERROR);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        spinUntil(() -> peer.open.get() == 0 || readsBegun.get() == 3);
    }

    /** Its connection strayed, and the loop has not come to send it by another. */
    @Test
    public void whatIsTakenBackBetweenTwoConnectionsGoesByNeither() throws Exception {
        Peer peer = peer(takes());
        settled(peer);
        UpstreamRequest request = request("b", "s1", YES);
        AtomicBoolean begun = new AtomicBoolean(true);
        onLoop(() -> {
            pools.send(request);
            said(peer);
            begun.set(pools.hasWrittenBytes(request));
            pools.suppressIfUnwritten(request);
        });
        assertFalse(begun.get());
        await(() -> told.contains("b SUPPRESSED"));
        sentAfter("s1", peer, 1);
        assertEquals(told, List.of("a accepted", "b SUPPRESSED", "last accepted"));
    }

    /**
     * One request by a dial of a fifth of a second and one by the same connection later, so that it is known what a
     * dial takes.
     */
    private Peer slowToDial() throws Exception {
        Peer peer = peer(takes());
        startWith(100, false, 3 * S);
        sendHeldAtItsDial(request("a", "s1", YES), peer);
        Thread.sleep(200);
        dials.countDown();
        await(() -> told.contains("a accepted"));
        Thread.sleep(60);
        onLoop(() -> pools.send(request("b", "s1", YES)));
        spinUntil(() -> told.contains("b accepted") && readsBegun.get() == 3); // and is given back
        return peer;
    }

    @Test
    public void whereDialsAreSlowTheNextRequestWaitsUntilAConnectionHasSettled() throws Exception {
        Peer peer = slowToDial();
        for (int i = 0; i < 10; i++) {
            String id = "c" + i;
            int reads = 4 + i;
            onLoop(() -> pools.send(request(id, "s1", YES)));
            spinUntil(() -> told.contains(id + " accepted") && readsBegun.get() == reads);
        }
        assertEquals(peer.requests().size(), 12);
        assertEquals(peer.connections.get(), 1);
        for (int i = 2; i < 12; i++) {
            long since = peer.seen.get(i).at() - peer.seen.get(i - 1).at();
            assertTrue(since >= 29, "after " + since + " ms, in whole ones");
        }
    }

    /** Each connection that settles is waited for by one. */
    @Test
    public void twoThatWaitDoNotWaitForTheSame() throws Exception {
        Peer peer = slowToDial();
        dials = OPEN;
        onLoop(() -> {
            pools.send(request("c", "s1", YES));
            pools.send(request("d", "s1", YES));
        });
        await(() -> told.containsAll(List.of("c accepted", "d accepted")));
        assertEquals(peer.connections.get(), 2);
    }

    @Test
    public void whatIsTakenBackWhileItWaitsIsNotWrittenAndTheConnectionIsKept() throws Exception {
        Peer peer = slowToDial();
        UpstreamRequest request = request("c", "s1", YES);
        AtomicBoolean begun = new AtomicBoolean(true);
        onLoop(() -> {
            pools.send(request);
            begun.set(pools.hasWrittenBytes(request));
            pools.suppressIfUnwritten(request);
        });
        assertFalse(begun.get());
        await(() -> told.contains("c SUPPRESSED"));
        Thread.sleep(60);
        sentAfter("s1", peer, 2);
        assertEquals(peer.connections.get(), 1);
    }

    /** What waited goes by another, and its host hears of it once. */
    @Test
    public void aSecondAnswerEndsTheWaitAndIsNotTakenForTheAnswer() throws Exception {
        Peer peer = slowToDial();
        onLoop(() -> {
            pools.send(request("c", "s1", YES));
            try {
                peer.say(0, ERROR);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            spinUntil(() -> peer.open.get() == 0 || readsBegun.get() == 4);
        });
        await(() -> told.size() == 3);
        assertEquals(told, List.of("a accepted", "b accepted", "c accepted"));
        assertEquals(peer.requests().size(), 3);
        assertEquals(peer.connections.get(), 2);
    }

    // ---- bounds -------------------------------------------------------------------------------------------

    @Test
    public void aRequestThatGetsNoConnectionCouldNotConnect() throws Exception {
        startWith(1, false);
        Peer peer = peer(takes());
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        dials = gate();
        onLoop(() -> pools.send(request("a", "s1", YES)));
        onLoop(() -> pools.send(request("b", "s1", YES)));
        await(() -> told.contains("b CONNECT_FAILED"));
        dials.countDown();
        await(() -> told.contains("a accepted"));
        noDescriptors = true;
        Thread.sleep(5);
        onLoop(() -> {
            pools.closeIdleConnections("s1");
            pools.send(request("c", "s1", YES));
        });
        await(() -> told.contains("c CONNECT_FAILED"));
        noDescriptors = false;
        sentAfter("s1", peer, 1);
    }

    /** A limit of this node's own, of a second, cut it off. */
    @Test
    public void aDialMayTakeWhatTheSettingsSay() throws Exception {
        startWith(100, false, 3 * S);
        Peer peer = peer(takes());
        sendHeldAtItsDial(request("a", "s1", YES), peer);
        Thread.sleep(1100);
        onLoop(pools::sweep);
        dials.countDown();
        await(() -> !told.isEmpty());
        assertEquals(told, List.of("a accepted"));
    }

    @Test
    public void anAnswerThatNeverEndsIsNotWaitedForForEver() throws Exception {
        Peer peer = peer(r -> "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\nhalf".getBytes(UTF_8));
        onLoop(() -> pools.onListUpdate(list(host("s1", peer, EndpointState.ACTIVE, 0))));
        UpstreamRequest impatient = new UpstreamRequest(
                "a", 0, "s1", new Payload("/verify", null, new byte[] {1}, 0, 1), 50 * MS, false, YES);
        onLoop(() -> pools.send(impatient));
        NodeRig.awaitRequests(peer, 1);
        for (int i = 0; i < 100 && told.isEmpty(); i++) {
            Thread.sleep(20);
            onLoop(pools::sweep);
        }
        assertEquals(told, List.of("a RESET"));
        await(() -> peer.open.get() == 0);
    }
}
