package olivechute.discovery;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import olivechute.discovery.DiscoveryCallException.Reason;
import olivechute.endpointlist.EndpointListLease;
import olivechute.endpointlist.ListPlausibilityCheck;
import olivechute.endpointlist.WatchTimeouts;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.net.Threads;
import olivechute.proxy.EndpointListSource;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/**
 * Watches the list, call after call on one connection, until one fails; the module then says when to go on, but where
 * lists are pushed to an agent, which is asked from the start on whatever fails. The next call leaves as soon as an
 * answer is read, well within the 200 ms that keep a watch alive. A call that stays silent past its time
 * ({@link WatchTimeouts}) is no failure yet: its connection may have broken with nobody to tell, so the call is made
 * once more, at once, on a new one.
 *
 * <p>The first call of a process, and the first one at another address, is answered at once: the list held may be of
 * any age. It asks for what is newer than the version held, as all addresses are one service's, which counts versions
 * once for all; a service that counts lower says so in its answer, and is asked for the whole list. Whole lists are
 * dear: of a fleet of a hundred nodes that asks for them at once the last waits for longer than the list that it holds
 * is good for.
 */
@SuppressWarnings("ReferenceEquality") // a move to an equal address is a move
public final class EndpointListWatcher implements EndpointListSource {
    private static final long PAUSE = 50_000_000; // well within the 200 ms that keep a watch alive
    /** How long a doubtful answer may wait for a second: what is told must be kept to 500 ms after. */
    private static final int AGAIN_MILLIS = 150;

    private final EventLoop loop;
    private final DiscoveryConnection connection;
    private final WatchTimeouts clock;
    private final EndpointListLease lease;
    private final ListPlausibilityCheck guard = new ListPlausibilityCheck();
    private final DiscoveryCallCounts counts = new DiscoveryCallCounts();
    private final Semaphore wanted = new Semaphore(0);
    private final CountDownLatch first = new CountDownLatch(1); // open once requests need not wait for the list
    private final long startedAt = System.nanoTime();
    private volatile Runnable whenFailing = () -> {};
    private volatile boolean watching;
    private volatile long version;
    private volatile long renewedAt; // when the last answer was read
    // The rest belongs to the watch's own thread.
    private InetSocketAddress asked; // where the calls go
    private boolean answered; // a call of this process was
    private boolean settled; // the last call was answered, at this address
    private boolean failing; // the last call failed
    private int timeouts; // calls in a row that waited for no news and were not answered in time
    private long answeredAsOf; // when the call was sent that was answered last, on the loop's clock

    /** {@code seed}: the node's own, which keeps its calls out of step with those of others. */
    public EndpointListWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListUpdate known,
            LoadBalancerSettings settings,
            long seed,
            EndpointListLease lease) {
        this(
                loop,
                address,
                known,
                new WatchTimeouts(
                        !settings.pollsList(), settings.rules(), new SplittableRandom(seed).split()::nextDouble),
                lease);
    }

    EndpointListWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListUpdate known,
            WatchTimeouts clock,
            EndpointListLease lease) {
        this.loop = loop;
        this.lease = lease;
        this.clock = clock;
        this.connection = new DiscoveryConnection(address);
        this.asked = address;
        this.renewedAt = startedAt;
        noteHosts(known);
        this.version = known.endpoints().isEmpty() ? DiscoveryConnection.WHOLE : known.version();
    }

    /** Starts the thread; where lists are pushed also the watch. */
    public void start() {
        if (clock.pushed()) {
            watch();
        }
        Threads.start("discovery", this::run);
    }

    /**
     * Waits until discovery has answered for the first time or could not be reached, and where lists are pushed until
     * the agent was asked, but no longer than {@link WatchTimeouts#first}; false if it was that.
     */
    public boolean awaitFirst() throws InterruptedException {
        return first.await(clock.firstAnswerTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void watch() {
        if (!watching && wanted.availablePermits() == 0) {
            wanted.release();
        }
    }

    /** Watches at another address from now on, at once, whatever call or pause is under way. */
    public void move(InetSocketAddress to) {
        if (!to.equals(connection.address())) {
            Logger.info("discovery moves to {}", to);
            lease.onDiscoveryMoved(loop.now());
            connection.move(to);
            watch();
        }
    }

    /** Has this done after each call that failed, on the watch's thread. */
    public void whenFailing(Runnable task) {
        whenFailing = task;
    }

    /** Where the list stands and how the calls ended, in one line. */
    public String describe() {
        return "list version " + version + ", last answer " + millisSince(renewedAt) + " ms ago, " + counts.describe();
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void run() {
        for (; ; ) {
            wanted.acquireUninterruptibly();
            watching = true;
            try {
                for (; ; ) {
                    round();
                }
            } catch (InterruptedException e) {
                return;
            } catch (DiscoveryCallException e) {
                connection.close();
                watching = false;
                if (asked != connection.address()) {
                    watch(); // moved: no failure, and nothing to wait for
                } else {
                    failed(e);
                }
            }
        }
    }

    /** One call, and what its answer says. */
    private void round() throws DiscoveryCallException, InterruptedException {
        if (asked != connection.address()) {
            asked = connection.address();
            settled = false;
            version = clock.pushed() ? DiscoveryConnection.WHOLE : version; // another agent, which answers at no cost
            connection.close();
        }
        long before = System.nanoTime();
        EndpointListUpdate list = confirmed(ask());
        boolean nothing = list.endpoints().isEmpty() && list.version() == version && !list.complete();
        boolean older = list.version() < version && !list.complete();
        if (older) {
            Logger.info(
                    "discovery {}: version {} where {} was held, the whole list is asked for",
                    asked,
                    list.version(),
                    version);
            version = DiscoveryConnection.WHOLE;
            return;
        }
        version = list.version();
        if (!(nothing && clock.pushed() && !failing)) {
            noteHosts(list);
            loop.post(new ProxyEvent.ListUpdated(list, answeredAsOf));
        }
        failing = false;
        settled = true;
        first.countDown();
        if (nothing && System.nanoTime() - before < PAUSE) {
            Thread.sleep(PAUSE / 1_000_000); // a service that never waits is not to be asked without end
        }
    }

    /**
     * An agent that says nothing says so for as long as discovery is down: logged once, and asked again all the while.
     */
    private void failed(DiscoveryCallException e) {
        if (e.reason() == Reason.UNREADABLE) {
            version = DiscoveryConnection.WHOLE;
        }
        if (!failing || !clock.pushed()) {
            Logger.warn(
                    "discovery {}: {}: {}. To do: {}.",
                    asked,
                    e.reason(),
                    e.getMessage(),
                    e.reason().remedy());
        }
        failing = true;
        settled &= clock.pushed();
        if (clock.pushed() || e.reason() == Reason.UNREACHABLE) {
            first.countDown();
        }
        if (clock.pushed()) {
            LockSupport.parkNanos(clock.agentRetryPauseMs() * 1_000_000L);
            watch();
        } else {
            loop.post(new ProxyEvent.ListFailed());
        }
    }

    /** What is newer than the version held; asked for on a second connection where the first stays silent. */
    private EndpointListUpdate ask() throws DiscoveryCallException {
        try {
            return settled && version != DiscoveryConnection.WHOLE ? call(version, clock.watch()) : askAtOnce();
        } catch (DiscoveryCallException e) {
            if (!e.timedOut() && e.reason() != Reason.INCOMPLETE) {
                throw e;
            }
            connection.close();
            if (!failing) {
                Logger.info("discovery {}: {}, asked again", asked, e.getMessage());
            }
            return askAtOnce();
        }
    }

    /** The same by a call that waits for no news. */
    private EndpointListUpdate askAtOnce() throws DiscoveryCallException {
        WatchTimeouts.Call times = version == DiscoveryConnection.WHOLE ? clock.fullList() : clock.afterFailure();
        try {
            EndpointListUpdate list = call(version, clock.withBackoff(times, timeouts));
            timeouts = 0;
            return list;
        } catch (DiscoveryCallException e) {
            timeouts += e.timedOut() ? 1 : 0;
            throw e;
        }
    }

    /** Makes a call, counts it and logs how it ended. */
    private EndpointListUpdate call(long since, WatchTimeouts.Call times) throws DiscoveryCallException {
        long before = System.nanoTime();
        long asOf = loop.now();
        try {
            EndpointListUpdate list = connection.call(asked, since, times);
            answeredAsOf = asOf;
            int failed = counts.answered();
            Logger.debug(
                    "discovery {}: answered after {} ms, version {} to {}, {} entries{}",
                    asked,
                    millisSince(before),
                    since,
                    list.version(),
                    list.endpoints().size(),
                    list.complete() ? ", whole" : "");
            if (!answered || failed > 0) {
                Logger.info(
                        "discovery {}: {} after {} ms, version {} to {}, {} entries, {} calls failed before",
                        asked,
                        answered ? "list renewed" : "first answer",
                        millisSince(renewedAt),
                        since,
                        list.version(),
                        list.endpoints().size(),
                        failed);
            }
            answered = true;
            renewedAt = System.nanoTime();
            return list;
        } catch (DiscoveryCallException e) {
            counts.failed(e.reason());
            if (e.reason() == Reason.UNREACHABLE) {
                lease.onDiscoveryUnreachable(asOf);
            } else if (e.reason() == Reason.REFUSED) {
                lease.onRejected(asOf, loop.now());
            } else if (e.reason().writtenUnread()) {
                lease.onUnreadableAnswer(loop.now());
            }
            Logger.debug("discovery {}: {} after {} ms from version {}", asked, e.reason(), millisSince(before), since);
            reportFailure();
            throw e;
        }
    }

    private void reportFailure() {
        try {
            whenFailing.run();
        } catch (RuntimeException e) {
            Logger.error(e, "discovery {}: what follows a failed call failed itself", asked);
        }
    }

    /** The answer itself, or what a second one says where the first would drop most hosts at once. */
    private EndpointListUpdate confirmed(EndpointListUpdate first) {
        if (!first.complete() || !guard.isImplausible(names(first))) {
            return first;
        }
        Logger.warn(
                "discovery {}: {} hosts where more were listed, asked again",
                asked,
                first.endpoints().size());
        // What it says of those that it names is told, whatever becomes of the rest.
        loop.post(new ProxyEvent.ListUpdated(
                new EndpointListUpdate(first.version(), false, first.endpoints()), ProxyEvent.ListUpdated.PARTIAL));
        try {
            return call(DiscoveryConnection.WHOLE, new WatchTimeouts.Call(0, AGAIN_MILLIS));
        } catch (DiscoveryCallException e) {
            Logger.warn("discovery {}: no second answer, the first holds: {}", asked, e.getMessage());
            connection.close();
            return first;
        }
    }

    private static Set<String> names(EndpointListUpdate list) {
        return list.endpoints().stream().map(h -> h.info().name()).collect(Collectors.toSet());
    }

    private void noteHosts(EndpointListUpdate list) {
        if (list.complete()) {
            guard.onFullList(names(list));
        } else {
            list.endpoints()
                    .forEach(h -> guard.onChange(h.info().name(), h.info().state() != EndpointState.REMOVED));
        }
    }
}
