package olivechute.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import olivechute.config.NodeConfig;
import olivechute.discovery.EndpointListWatcher;
import olivechute.downstream.DownstreamServer;
import olivechute.downstream.PeerIdentity;
import olivechute.endpointlist.EndpointListLease;
import olivechute.loadbalancing.RequestClass;
import olivechute.memory.MemoryBudget;
import olivechute.metrics.MetricsReporting;
import olivechute.net.FileDescriptors;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.RequestDispatcher;
import olivechute.proxy.RequestMetrics;
import olivechute.security.NodeSecurity;
import olivechute.upstream.ConnectionPools;
import olivechute.upstream.Connector;
import olivechute.upstream.LoadReportHeader;
import org.tinylog.Logger;

/**
 * A load balancer node. The constructor starts the event loop, discovery, the downstream server and metrics reporting,
 * and returns once the node listens; {@link #drain()} ends it.
 */
public final class Node {
    private static final long SWEEP_PERIOD_US = 100_000;
    /** The bodies of open requests may take up this fraction of the heap: one part in so many. */
    private static final long BODY_HEAP_DIVISOR = 4;
    /** All that peers make the node hold may take up this fraction of the heap. */
    private static final double PEER_MEMORY_HEAP_FRACTION = 0.4;
    /** The same as a fraction of the memory that the process may take: one part in so many. */
    private static final long PEER_MEMORY_LIMIT_DIVISOR = 8;

    private static final long IDENTITY_CHECK_PERIOD_US = 1_000_000;
    /**
     * How long a draining node keeps serving its clients' existing connections, in ms: in a rolling restart it may be
     * the only node that those clients can reach.
     */
    private static final long SERVE_AFTER_SIGTERM_MS = 2200;
    /**
     * After SIGTERM a node may run for its longest request deadline, of which at most 3 s count, plus 0.7 s; it sends
     * the last answers 0.2 s before that time is over.
     */
    private static final long MAX_DRAIN_DEADLINE_US = 3_000_000;

    /** The part of the 0.7 s that passes before the last answers are sent. */
    private static final long DRAIN_EXTRA_US = 500_000;
    /** How long no request must have arrived before the listeners are closed. */
    private static final long QUIET_BEFORE_CLOSE_US = 500_000;
    /**
     * Of the 0.2 s that remain, this much is kept for the process to exit and {@link #LAST_ANSWER_RESERVE_US} for the
     * last answers to reach their clients.
     */
    private static final long EXIT_RESERVE_US = 100_000;

    private static final long LAST_ANSWER_RESERVE_US = 50_000;
    private static final long DRAIN_POLL_MS = 10;

    private final EventLoop loop = new EventLoop();
    private final MemoryBudget peerMemory;
    private final NodeConfig startConfig;
    private final int maxDownstreamConnections;
    private final ConnectionPools pools;
    private final EndpointListLease lease;
    private final EndpointListWatcher listWatcher;
    private final DownstreamServer server;
    private final RequestDispatcher dispatcher;
    private final NodeSecurity security; // null if identities are off
    private final MetricsReporting reporting; // null if no supervisor is configured
    private final InetSocketAddress address;
    private InetSocketAddress tlsAddress;

    /** Starts a node that checks the validity of certificates against the system clock. */
    public Node(NodeConfig config) throws IOException {
        this(config, Instant::now);
    }

    /**
     * Starts a node. {@code clock} is the wall clock that certificate validity is checked against and may step;
     * everything else uses the event loop's monotonic clock.
     */
    public Node(NodeConfig config, Supplier<Instant> clock) throws IOException {
        startConfig = config;
        peerMemory = new MemoryBudget(peerMemoryBytes(config));
        int totalConnections = maxConnections(config);
        int maxUpstreamConnections = totalConnections / 4;
        maxDownstreamConnections = totalConnections - maxUpstreamConnections;
        security = config.identity() == null ? null : new NodeSecurity(config.identity(), clock);
        pools = pools(config, maxUpstreamConnections);
        lease = config.settings().pollsList()
                ? EndpointListLease.forPolledList(config.settings().rules())
                : EndpointListLease.nonExpiring();
        listWatcher = new EndpointListWatcher(
                loop, config.discoveryAddress(), config.initialEndpoints(), config.settings(), config.seed(), lease);
        reporting = config.metrics() == null ? null : reporting(config);
        dispatcher = new RequestDispatcher(
                loop,
                config.settings(),
                config.seed(),
                pools,
                listWatcher,
                maxOpenRequests(config.maxOpenRequests(), maxDownstreamConnections),
                Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR,
                reporting == null ? RequestMetrics.NONE : reporting.requestMetrics(),
                lease);
        server = new DownstreamServer(
                loop,
                new WriterThreads(2 * maxDownstreamConnections),
                Threads.connectionThreads(),
                config.settings(),
                config.loadReportFields(),
                maxDownstreamConnections,
                peerMemory);
        loop.post(new ProxyEvent.Task(() -> dispatcher.start(config.initialEndpoints())));
        listWatcher.start();
        listWatcher.watch(); // the answer normally arrives during the warmup
        int answeredRequests = Warmup.run(config);
        Logger.debug("warmup: {} requests answered", answeredRequests);
        loop.runPeriodically(SWEEP_PERIOD_US, pools::sweep);
        loop.runPeriodically(SWEEP_PERIOD_US, server::sweep);
        if (security != null) {
            loop.runPeriodically(IDENTITY_CHECK_PERIOD_US, security::warnOfExpiry);
        }
        if (reporting != null) {
            reporting.start();
        }
        loop.start(dispatcher);
        awaitEndpointList();
        address = listen(config);
        server.ready();
        Logger.info("{} listens on {}", config.name(), address);
    }

    private static long peerMemoryBytes(NodeConfig config) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return Math.min(
                (long) (PEER_MEMORY_HEAP_FRACTION * heapBytes), config.memoryLimitBytes() / PEER_MEMORY_LIMIT_DIVISOR);
    }

    /**
     * Creates the upstream connection pools with writer threads of their own: clients that do not read block the
     * downstream writers, and no upstream request may wait for that.
     */
    private ConnectionPools pools(NodeConfig config, int maxConnections) throws IOException {
        Connector connector =
                security != null && config.identity().upstreamTls() ? security.connector() : Connector.PLAINTEXT;
        return new ConnectionPools(
                loop,
                new WriterThreads(2 * maxConnections),
                connector,
                new LoadReportHeader(config.loadReportFields()),
                config.settings().limits().connectionIdleTimeoutUs(),
                config.connectTimeoutUs(),
                maxConnections,
                config.settings().rules().keepsUnlistedEndpoints(),
                peerMemory);
    }

    private MetricsReporting reporting(NodeConfig config) throws IOException {
        List<String> classes =
                config.settings().classes().stream().map(RequestClass::name).toList();
        return new MetricsReporting(loop, config.metrics(), config.name(), classes, new SplittableRandom());
    }

    /**
     * Waits for the first answer of discovery, as the configured endpoint list may be of any age. If none arrives in
     * time the node listens anyway and, where discovery is polled, rejects requests until one does.
     */
    private void awaitEndpointList() {
        try {
            if (!listWatcher.awaitFirstAnswer() && !lease.holds(loop.now())) {
                Logger.warn("discovery has not answered yet: requests are rejected until it does");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the smaller of the configured connection limit and what the process's file descriptor limit allows:
     * beyond that limit neither upstream connects nor new connections with job status events would succeed.
     */
    private static int maxConnections(NodeConfig config) {
        int systemLimit =
                Math.max(NodeConfig.MIN_CONNECTIONS, FileDescriptors.limit() - NodeConfig.RESERVED_DESCRIPTORS);
        if (systemLimit < config.maxConnections()) {
            Logger.warn(
                    "limits.sockets: the file descriptor limit allows fewer, at most {} connections are accepted",
                    systemLimit);
        }
        return Math.min(systemLimit, config.maxConnections());
    }

    private InetSocketAddress listen(NodeConfig config) throws IOException {
        if (security == null) {
            return server.listen(config.listenAddress(), PeerIdentity.Authenticator.PLAINTEXT);
        }
        security.start();
        InetSocketAddress tlsListen = config.identity().downstream().tlsListen();
        if (tlsListen != null) {
            tlsAddress = server.listen(tlsListen, security.tlsAuthenticator());
            Logger.info("{} listens with identities on {}", config.name(), tlsAddress);
        }
        return server.listen(config.listenAddress(), security.platformAuthenticator());
    }

    /** Half of the downstream connections stay free for job status events: without them no request would end. */
    private static int maxOpenRequests(int configuredLimit, int downstreamConnections) {
        return Math.min(configuredLimit, Math.max(1, downstreamConnections / 2));
    }

    /**
     * Applies another configuration. Open requests, connections and the load balancer's state are kept; keys that need
     * a restart are only logged.
     */
    public void reload(NodeConfig config) {
        for (String key : config.restartRequiredKeys(startConfig)) {
            Logger.warn("{}: changed, but takes effect only after a restart", key);
        }
        if (security != null && config.identity() != null) {
            security.rules(config.identity().rules());
        }
        int openRequestLimit = maxOpenRequests(config.maxOpenRequests(), maxDownstreamConnections);
        loop.post(new ProxyEvent.Task(() -> {
            listWatcher.moveTo(config.discoveryAddress());
            pools.setConnectTimeout(config.connectTimeoutUs());
            dispatcher.limitOpenRequests(openRequestLimit);
        }));
        Logger.info("configuration read again");
    }

    /** Registers a task to run after each failed call to discovery. */
    public void onDiscoveryFailure(Runnable task) {
        listWatcher.onCallFailure(task);
    }

    /** Logs the load balancer's current view of the endpoints. */
    public void logStatus() {
        loop.post(new ProxyEvent.Task(dispatcher::logStatus));
        Logger.info(listWatcher.describe());
    }

    /** Returns the address of the platform's listener. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the address of the separate TLS listener, or null if there is none. */
    public InetSocketAddress tlsAddress() {
        return tlsAddress;
    }

    /** Returns the number of requests that have not been answered yet. */
    public int unansweredRequests() {
        return server.unansweredRequests();
    }

    /**
     * Drains the node. Returns when every accepted request is answered and no open connection can bring another, or
     * when the drain time is over. The node keeps listening while answers are outstanding, as job status events arrive
     * on new connections.
     */
    public void drain() throws InterruptedException {
        drain(0);
    }

    /** Drains the node, with the drain time counted from a signal that came this many microseconds ago. */
    public void drain(long sinceSignalUs) throws InterruptedException {
        Logger.info("draining");
        long longestDeadlineUs = startConfig.settings().classes().stream()
                .mapToLong(RequestClass::deadlineUs)
                .max()
                .orElse(0);
        long drainDeadlineUs =
                loop.now() - sinceSignalUs + Math.min(longestDeadlineUs, MAX_DRAIN_DEADLINE_US) + DRAIN_EXTRA_US;
        loop.post(new ProxyEvent.Task(() -> dispatcher.answerAllBy(drainDeadlineUs)));
        server.markNotReady();
        Thread.sleep(Math.max(0, Math.min(SERVE_AFTER_SIGTERM_MS, longestDeadlineUs / 1000) - sinceSignalUs / 1000));
        server.drain();
        // Job status events arrive on new connections: the node listens as long as a request is unanswered.
        while (server.unansweredRequests() > 0
                || (loop.now() < drainDeadlineUs
                        && (!server.isQuiescent() || loop.now() - server.lastRequestAtUs() < QUIET_BEFORE_CLOSE_US))) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        server.close(DRAIN_POLL_MS);
        server.endConnections();
        while (server.unansweredRequests() > 0
                || (loop.now() < drainDeadlineUs + EXIT_RESERVE_US
                        && !server.isQuiescentSince(loop.now() - LAST_ANSWER_RESERVE_US))) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        if (reporting != null) {
            reporting.shutDown();
            Thread.sleep(LAST_ANSWER_RESERVE_US / 1000);
        }
        Logger.info("drained");
    }
}
