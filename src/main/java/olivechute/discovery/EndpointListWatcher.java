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
import olivechute.memory.FailureLog;
import olivechute.net.Threads;
import olivechute.proxy.EndpointListSource;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/**
 * Watches the endpoint list at discovery, on a thread of its own: it makes one call after another on one connection
 * until a call fails, and posts each update to the event loop. After a failure the load balancer decides when the watch
 * is restarted; where lists are pushed to an agent, the agent is polled from the start and regardless of failures. The
 * next call is sent as soon as an answer has been read, well within the 200 ms after an answer in which the next call
 * must arrive for the watch to continue. A call that exceeds its timeout ({@link WatchTimeouts}) is not a failure yet:
 * its connection may have broken without either side being notified, so the call is repeated immediately on a new
 * connection.
 *
 * <p>The first call of a process, and the first one at a new address, is answered immediately, as the held list may be
 * of any age. It requests changes since the held version, because all addresses belong to one service with a single
 * version sequence. A service with a lower version says so in its answer and is then asked for the full list. Full
 * lists are expensive: if a fleet of a hundred nodes requests them at once, the last node waits for longer than its
 * held list is valid.
 */
@SuppressWarnings(
        "ReferenceEquality") // addresses are compared by identity: moving to an equal address also counts as a move
public final class EndpointListWatcher implements EndpointListSource {
    /** Well within the 200 ms after an answer in which the next call must arrive for the watch to continue. */
    private static final long MIN_POLL_INTERVAL_NANOS = 50_000_000;
    /**
     * How long the answer to the confirming call may take after an implausible list: a change that counts as notified
     * must be obeyed within 500 ms.
     */
    private static final int CONFIRMATION_TIMEOUT_MS = 150;

    private static final long FAILURE_PAUSE_NANOS = 100_000_000;

    private final EventLoop loop;
    private final DiscoveryConnection connection;
    private final WatchTimeouts watchTimeouts;
    private final EndpointListLease lease;
    private final ListPlausibilityCheck plausibilityCheck = new ListPlausibilityCheck();
    private final DiscoveryCallCounts callCounts = new DiscoveryCallCounts();
    private final Semaphore watchRequests = new Semaphore(0);
    /** Released once requests no longer have to wait for the list. */
    private final CountDownLatch firstAnswerLatch = new CountDownLatch(1);

    private final long startedAtNanos = System.nanoTime();
    private volatile Runnable onCallFailure = () -> {};
    private volatile boolean watching;
    private volatile long heldVersion;
    private volatile long lastAnswerAtNanos; // when the last answer was read
    private InetSocketAddress currentAddress; // the address that calls are sent to
    private boolean everAnswered; // whether any call of this process was answered
    private boolean nextCallMayWait; // whether this address has answered, so that the next call may wait for changes
    private boolean lastCallFailed; // whether the last call failed
    private int consecutiveTimeouts; // consecutive calls that did not wait for changes and timed out
    private long answeredCallSentAtUs; // when the last answered call was sent, on the loop's clock

    /**
     * Creates a watcher; {@link #start} starts its thread.
     *
     * @param lastKnownList the list that the node starts with
     * @param seed a seed of this node's own, which keeps its calls out of step with those of other nodes
     * @param lease renewed or invalidated according to how the calls end
     */
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

    /** Starts the watch's thread and, where lists are pushed, also the watch. */
    public void start() {
        if (watchTimeouts.pushed()) {
            watch();
        }
        Threads.start("discovery", this::run);
    }

    /**
     * Waits until discovery has answered for the first time or could not be reached, or, where lists are pushed, until
     * the agent was polled, but no longer than {@link WatchTimeouts#firstAnswerTimeoutMs}. Returns false if that time
     * elapsed.
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

    /** Watches at another address from now on, immediately, whatever call or pause is in progress. */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(connection.address())) {
            Logger.info("discovery moves to {}", newAddress);
            lease.onDiscoveryMoved(loop.now());
            connection.moveTo(newAddress);
            watch();
        }
    }

    /** Sets a task that runs on the watch's thread after each failed call. */
    public void onCallFailure(Runnable task) {
        onCallFailure = task;
    }

    /** Returns the version of the list, the time since the last answer and the call counts, in one line for the log. */
    public String describe() {
        return "list version " + heldVersion + ", last answer " + millisSince(lastAnswerAtNanos) + " ms ago, "
                + callCounts.describe();
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                runWatches();
            } catch (RuntimeException | Error e) {
                // Without this thread the node would reject all requests once its list has expired.
                FailureLog.log(e, "discovery: the watch failed, watching again");
                connection.close();
                lastCallFailed = true;
                watching = false;
                LockSupport.parkNanos(FAILURE_PAUSE_NANOS);
                watch();
            }
        }
    }

    private void runWatches() {
        for (; ; ) {
            watchRequests.acquireUninterruptibly();
            watching = true;
            try {
                for (; ; ) {
                    pollOnce();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (DiscoveryCallException e) {
                connection.close();
                watching = false;
                if (currentAddress != connection.address()) {
                    watch(); // the address changed: not a failure, and no need to wait
                } else {
                    handleFailure(e);
                }
            }
        }
    }

    /** Makes one call, repeated if it times out, and applies its answer. */
    private void pollOnce() throws DiscoveryCallException, InterruptedException {
        if (currentAddress != connection.address()) {
            currentAddress = connection.address();
            nextCallMayWait = false;
            // An agent at another address sends the full list at no cost.
            heldVersion = watchTimeouts.pushed() ? DiscoveryConnection.FULL_LIST : heldVersion;
            connection.close();
        }
        long startNanos = System.nanoTime();
        EndpointListUpdate list = confirmIfImplausible(pollWithRetry());
        boolean unchanged = list.endpoints().isEmpty() && list.version() == heldVersion && !list.complete();
        boolean olderVersion = list.version() < heldVersion && !list.complete();
        if (olderVersion) {
            Logger.info(
                    "discovery {}: version {} is lower than the held version {}, requesting the full list",
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
            // A service that answers without waiting must not be polled in a tight loop.
            Thread.sleep(MIN_POLL_INTERVAL_NANOS / 1_000_000);
        }
    }

    /**
     * Handles a failed call. While discovery is down an agent does not answer: only the first failure of the calls to
     * it is logged, and it is polled again regardless.
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

    /**
     * Requests the changes since the held version; repeats the call on a new connection if the first one stays silent
     * or breaks off.
     */
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
                Logger.info("discovery {}: {}, polling again on a new connection", currentAddress, e.getMessage());
            }
            return pollWithoutWaiting();
        }
    }

    /** Requests the changes since the held version, or the full list, by a call that does not wait for changes. */
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
            int failedBefore = callCounts.recordAnswer();
            Logger.debug(
                    "discovery {}: answered after {} ms, version {} to {}, {} entries{}",
                    currentAddress,
                    millisSince(startNanos),
                    sinceVersion,
                    list.version(),
                    list.endpoints().size(),
                    list.complete() ? ", full list" : "");
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
            Logger.error(e, "discovery {}: the task that follows a failed call failed", currentAddress);
        }
    }

    /** Returns the answer itself, or the answer to a second call if the first would remove most endpoints at once. */
    private EndpointListUpdate confirmIfImplausible(EndpointListUpdate firstAnswer) {
        if (!firstAnswer.complete() || !plausibilityCheck.isImplausible(endpointNames(firstAnswer))) {
            return firstAnswer;
        }
        Logger.warn(
                "discovery {}: full list of {} endpoints lacks most of those listed before, polling again",
                currentAddress,
                firstAnswer.endpoints().size());
        // The states of the endpoints in the first answer apply at once, whatever the second answer says.
        loop.post(new ProxyEvent.ListUpdated(
                new EndpointListUpdate(firstAnswer.version(), false, firstAnswer.endpoints()),
                ProxyEvent.ListUpdated.PARTIAL));
        try {
            return call(DiscoveryConnection.FULL_LIST, new WatchTimeouts.Call(0, CONFIRMATION_TIMEOUT_MS));
        } catch (DiscoveryCallException e) {
            Logger.warn("discovery {}: second call failed, using the first answer: {}", currentAddress, e.getMessage());
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
