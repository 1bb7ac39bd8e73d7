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
    private static final long MIN_POLL_INTERVAL_NANOS = 50_000_000; // well within the 200 ms that keep a watch alive
    /** How long a doubtful answer may wait for a second: what is told must be kept to 500 ms after. */
    private static final int CONFIRMATION_TIMEOUT_MS = 150;

    private final EventLoop loop;
    private final DiscoveryConnection connection;
    private final WatchTimeouts watchTimeouts;
    private final EndpointListLease lease;
    private final ListPlausibilityCheck plausibilityCheck = new ListPlausibilityCheck();
    private final DiscoveryCallCounts callCounts = new DiscoveryCallCounts();
    private final Semaphore watchRequests = new Semaphore(0);
    private final CountDownLatch firstAnswerLatch =
            new CountDownLatch(1); // open once requests need not wait for the list
    private final long startedAtNanos = System.nanoTime();
    private volatile Runnable onCallFailure = () -> {};
    private volatile boolean watching;
    private volatile long heldVersion;
    private volatile long lastAnswerAtNanos; // when the last answer was read
    // The rest belongs to the watch's own thread.
    private InetSocketAddress currentAddress; // where the calls go
    private boolean everAnswered; // a call of this process was
    private boolean nextCallMayWait; // the last call was answered, at this address
    private boolean lastCallFailed; // the last call failed
    private int consecutiveTimeouts; // calls in a row that waited for no news and were not answered in time
    private long answeredCallSentAtUs; // when the call was sent that was answered last, on the loop's clock

    /** {@code seed}: the node's own, which keeps its calls out of step with those of others. */
    public EndpointListWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListUpdate lastKnownList,
            LoadBalancerSettings settings,
            long seed,
            EndpointListLease lease) {
        this(
                loop,
                address,
                lastKnownList,
                new WatchTimeouts(
                        !settings.pollsList(), settings.rules(), new SplittableRandom(seed).split()::nextDouble),
                lease);
    }

    EndpointListWatcher(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListUpdate lastKnownList,
            WatchTimeouts watchTimeouts,
            EndpointListLease lease) {
        this.loop = loop;
        this.lease = lease;
        this.watchTimeouts = watchTimeouts;
        this.connection = new DiscoveryConnection(address);
        this.currentAddress = address;
        this.lastAnswerAtNanos = startedAtNanos;
        updateKnownEndpoints(lastKnownList);
        this.heldVersion =
                lastKnownList.endpoints().isEmpty() ? DiscoveryConnection.FULL_LIST : lastKnownList.version();
    }

    /** Starts the thread; where lists are pushed also the watch. */
    public void start() {
        if (watchTimeouts.pushed()) {
            watch();
        }
        Threads.start("discovery", this::run);
    }

    /**
     * Waits until discovery has answered for the first time or could not be reached, and where lists are pushed until
     * the agent was asked, but no longer than {@link WatchTimeouts#first}; false if it was that.
     */
    public boolean awaitFirstAnswer() throws InterruptedException {
        return firstAnswerLatch.await(watchTimeouts.firstAnswerTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void watch() {
        if (!watching && watchRequests.availablePermits() == 0) {
            watchRequests.release();
        }
    }

    /** Watches at another address from now on, at once, whatever call or pause is under way. */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(connection.address())) {
            Logger.info("discovery moves to {}", newAddress);
            lease.onDiscoveryMoved(loop.now());
            connection.moveTo(newAddress);
            watch();
        }
    }

    /** Has this done after each call that failed, on the watch's thread. */
    public void onCallFailure(Runnable task) {
        onCallFailure = task;
    }

    /** Where the list stands and how the calls ended, in one line. */
    public String describe() {
        return "list version " + heldVersion + ", last answer " + millisSince(lastAnswerAtNanos) + " ms ago, "
                + callCounts.describe();
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void run() {
        for (; ; ) {
            watchRequests.acquireUninterruptibly();
            watching = true;
            try {
                for (; ; ) {
                    pollOnce();
                }
            } catch (InterruptedException e) {
                return;
            } catch (DiscoveryCallException e) {
                connection.close();
                watching = false;
                if (currentAddress != connection.address()) {
                    watch(); // moved: no failure, and nothing to wait for
                } else {
                    handleFailure(e);
                }
            }
        }
    }

    /** One call, and what its answer says. */
    private void pollOnce() throws DiscoveryCallException, InterruptedException {
        if (currentAddress != connection.address()) {
            currentAddress = connection.address();
            nextCallMayWait = false;
            heldVersion = watchTimeouts.pushed()
                    ? DiscoveryConnection.FULL_LIST
                    : heldVersion; // another agent, which answers at no cost
            connection.close();
        }
        long startNanos = System.nanoTime();
        EndpointListUpdate list = confirmIfImplausible(pollWithRetry());
        boolean unchanged = list.endpoints().isEmpty() && list.version() == heldVersion && !list.complete();
        boolean olderVersion = list.version() < heldVersion && !list.complete();
        if (olderVersion) {
            Logger.info(
                    "discovery {}: version {} where {} was held, the whole list is asked for",
                    currentAddress,
                    list.version(),
                    heldVersion);
            heldVersion = DiscoveryConnection.FULL_LIST;
            return;
        }
        heldVersion = list.version();
        if (!(unchanged && watchTimeouts.pushed() && !lastCallFailed)) {
            updateKnownEndpoints(list);
            loop.post(new ProxyEvent.ListUpdated(list, answeredCallSentAtUs));
        }
        lastCallFailed = false;
        nextCallMayWait = true;
        firstAnswerLatch.countDown();
        if (unchanged && System.nanoTime() - startNanos < MIN_POLL_INTERVAL_NANOS) {
            Thread.sleep(
                    MIN_POLL_INTERVAL_NANOS / 1_000_000); // a service that never waits is not to be asked without end
        }
    }

    /**
     * An agent that says nothing says so for as long as discovery is down: logged once, and asked again all the while.
     */
    private void handleFailure(DiscoveryCallException failure) {
        if (failure.reason() == Reason.UNREADABLE) {
            heldVersion = DiscoveryConnection.FULL_LIST;
        }
        if (!lastCallFailed || !watchTimeouts.pushed()) {
            Logger.warn(
                    "discovery {}: {}: {}. To do: {}.",
                    currentAddress,
                    failure.reason(),
                    failure.getMessage(),
                    failure.reason().remedy());
        }
        lastCallFailed = true;
        nextCallMayWait &= watchTimeouts.pushed();
        if (watchTimeouts.pushed() || failure.reason() == Reason.UNREACHABLE) {
            firstAnswerLatch.countDown();
        }
        if (watchTimeouts.pushed()) {
            LockSupport.parkNanos(watchTimeouts.agentRetryPauseMs() * 1_000_000L);
            watch();
        } else {
            loop.post(new ProxyEvent.ListWatchFailed());
        }
    }

    /** What is newer than the version held; asked for on a second connection where the first stays silent. */
    private EndpointListUpdate pollWithRetry() throws DiscoveryCallException {
        try {
            return nextCallMayWait && heldVersion != DiscoveryConnection.FULL_LIST
                    ? call(heldVersion, watchTimeouts.watch())
                    : pollWithoutWaiting();
        } catch (DiscoveryCallException e) {
            if (!e.timedOut() && e.reason() != Reason.INCOMPLETE) {
                throw e;
            }
            connection.close();
            if (!lastCallFailed) {
                Logger.info("discovery {}: {}, asked again", currentAddress, e.getMessage());
            }
            return pollWithoutWaiting();
        }
    }

    /** The same by a call that waits for no news. */
    private EndpointListUpdate pollWithoutWaiting() throws DiscoveryCallException {
        WatchTimeouts.Call callTimeouts =
                heldVersion == DiscoveryConnection.FULL_LIST ? watchTimeouts.fullList() : watchTimeouts.afterFailure();
        try {
            EndpointListUpdate list = call(heldVersion, watchTimeouts.withBackoff(callTimeouts, consecutiveTimeouts));
            consecutiveTimeouts = 0;
            return list;
        } catch (DiscoveryCallException e) {
            consecutiveTimeouts += e.timedOut() ? 1 : 0;
            throw e;
        }
    }

    /** Makes a call, counts it and logs how it ended. */
    private EndpointListUpdate call(long sinceVersion, WatchTimeouts.Call callTimeouts) throws DiscoveryCallException {
        long startNanos = System.nanoTime();
        long sentAtUs = loop.now();
        try {
            EndpointListUpdate list = connection.call(currentAddress, sinceVersion, callTimeouts);
            answeredCallSentAtUs = sentAtUs;
            int failedBefore = callCounts.answered();
            Logger.debug(
                    "discovery {}: answered after {} ms, version {} to {}, {} entries{}",
                    currentAddress,
                    millisSince(startNanos),
                    sinceVersion,
                    list.version(),
                    list.endpoints().size(),
                    list.complete() ? ", whole" : "");
            if (!everAnswered || failedBefore > 0) {
                Logger.info(
                        "discovery {}: {} after {} ms, version {} to {}, {} entries, {} calls failed before",
                        currentAddress,
                        everAnswered ? "list renewed" : "first answer",
                        millisSince(lastAnswerAtNanos),
                        sinceVersion,
                        list.version(),
                        list.endpoints().size(),
                        failedBefore);
            }
            everAnswered = true;
            lastAnswerAtNanos = System.nanoTime();
            return list;
        } catch (DiscoveryCallException e) {
            callCounts.recordFailure(e.reason());
            if (e.reason() == Reason.UNREACHABLE) {
                lease.onDiscoveryUnreachable(sentAtUs);
            } else if (e.reason() == Reason.REFUSED) {
                lease.onRejected(sentAtUs, loop.now());
            } else if (e.reason().hasUnreadContent()) {
                lease.onUnreadableAnswer(loop.now());
            }
            Logger.debug(
                    "discovery {}: {} after {} ms from version {}",
                    currentAddress,
                    e.reason(),
                    millisSince(startNanos),
                    sinceVersion);
            runFailureCallback();
            throw e;
        }
    }

    private void runFailureCallback() {
        try {
            onCallFailure.run();
        } catch (RuntimeException e) {
            Logger.error(e, "discovery {}: what follows a failed call failed itself", currentAddress);
        }
    }

    /** The answer itself, or what a second one says where the first would drop most hosts at once. */
    private EndpointListUpdate confirmIfImplausible(EndpointListUpdate firstAnswer) {
        if (!firstAnswer.complete() || !plausibilityCheck.isImplausible(endpointNames(firstAnswer))) {
            return firstAnswer;
        }
        Logger.warn(
                "discovery {}: {} hosts where more were listed, asked again",
                currentAddress,
                firstAnswer.endpoints().size());
        // What it says of those that it names is told, whatever becomes of the rest.
        loop.post(new ProxyEvent.ListUpdated(
                new EndpointListUpdate(firstAnswer.version(), false, firstAnswer.endpoints()),
                ProxyEvent.ListUpdated.PARTIAL));
        try {
            return call(DiscoveryConnection.FULL_LIST, new WatchTimeouts.Call(0, CONFIRMATION_TIMEOUT_MS));
        } catch (DiscoveryCallException e) {
            Logger.warn("discovery {}: no second answer, the first holds: {}", currentAddress, e.getMessage());
            connection.close();
            return firstAnswer;
        }
    }

    private static Set<String> endpointNames(EndpointListUpdate list) {
        return list.endpoints().stream().map(endpoint -> endpoint.info().name()).collect(Collectors.toSet());
    }

    private void updateKnownEndpoints(EndpointListUpdate list) {
        if (list.complete()) {
            plausibilityCheck.onFullList(endpointNames(list));
        } else {
            list.endpoints()
                    .forEach(endpoint -> plausibilityCheck.onChange(
                            endpoint.info().name(), endpoint.info().state() != EndpointState.REMOVED));
        }
    }
}
