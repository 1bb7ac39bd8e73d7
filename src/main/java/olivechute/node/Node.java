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

/** A node: its parts, wired together. It listens once it is made, and ends with {@link #drain()}. */
public final class Node {
    private static final long SWEEP_PERIOD_US = 100_000;
    /** The part of the heap that the bodies of open streams may take: one in so many. */
    private static final long BODY_HEAP_DIVISOR = 4;

    private static final long IDENTITY_CHECK_PERIOD_US = 1_000_000;
    /**
     * ms for which a node that ends serves its clients' connections: in a rolling restart theirs may be the only node
     * up.
     */
    private static final long SERVE_AFTER_SIGTERM_MS = 2200;
    /** After SIGTERM a node has its longest deadline, at most 3 s of it, and 0.7 s; answers leave 0.2 s before. */
    private static final long MAX_DRAIN_DEADLINE_US = 3_000_000;

    private static final long DRAIN_EXTRA_US = 500_000;
    private static final long QUIET_BEFORE_CLOSE_US = 500_000;
    /** Of what is left after that, so much is for the last answers to arrive, and so much for the process to end. */
    private static final long EXIT_RESERVE_US = 100_000;

    private static final long LAST_ANSWER_RESERVE_US = 50_000;
    private static final long DRAIN_POLL_MS = 10;

    private final EventLoop loop = new EventLoop();
    private final NodeConfig startConfig;
    private final int maxDownstreamConnections;
    private final ConnectionPools pools;
    private final EndpointListLease lease;
    private final EndpointListWatcher listWatcher;
    private final DownstreamServer server;
    private final RequestDispatcher dispatcher;
    private final NodeSecurity security; // null where identities are off
    private final MetricsReporting reporting; // null where no supervisor is named
    private final InetSocketAddress address;
    private InetSocketAddress tlsAddress;

    /** Starts a node; it listens once this returns. */
    public Node(NodeConfig config) throws IOException {
        this(config, Instant::now);
    }

    /** With a clock for identities that may step; all else runs on the loop's steady one. */
    public Node(NodeConfig config, Supplier<Instant> clock) throws IOException {
        startConfig = config;
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
                maxDownstreamConnections);
        loop.post(new ProxyEvent.Task(() -> dispatcher.start(config.initialEndpoints())));
        listWatcher.start();
        listWatcher.watch(); // answered, if all goes well, while the node rehearses
        int answeredRequests = Warmup.run(config);
        Logger.debug("rehearsed {} jobs", answeredRequests);
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

    /**
     * Each side has writers of its own: clients that do not read hold up theirs, and no upstream request may wait for
     * that.
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
                config.settings().rules().keepsUnlistedEndpoints());
    }

    private MetricsReporting reporting(NodeConfig config) throws IOException {
        List<String> classes =
                config.settings().classes().stream().map(RequestClass::name).toList();
        return new MetricsReporting(loop, config.metrics(), config.name(), classes, new SplittableRandom());
    }

    /**
     * Waits for the first answer of discovery, as the configured list may be of any age. If none comes in time the node
     * listens all the same and, where discovery is polled, rejects requests until one does.
     */
    private void awaitEndpointList() {
        try {
            if (!listWatcher.awaitFirstAnswer() && !lease.holds(loop.now())) {
                Logger.warn("discovery has not answered yet: nothing is sent until it does");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * As many as the settings allow, and the system: past its own limit neither dials nor news of what is out would
     * come through.
     */
    private static int maxConnections(NodeConfig config) {
        int systemLimit =
                Math.max(NodeConfig.MIN_CONNECTIONS, FileDescriptors.limit() - NodeConfig.RESERVED_DESCRIPTORS);
        if (systemLimit < config.maxConnections()) {
            Logger.warn(
                    "limits.sockets: the system lets this process hold fewer, {} connections are kept", systemLimit);
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

    /** Half of the downstream connections stay free for news: without it no stream would end. */
    private static int maxOpenRequests(int configuredLimit, int downstreamConnections) {
        return Math.min(configuredLimit, Math.max(1, downstreamConnections / 2));
    }

    /** Goes on under another configuration; what is open and all that the decisions know stays. */
    public void reload(NodeConfig config) {
        for (String key : config.restartRequiredKeys(startConfig)) {
            Logger.warn("{}: changed, but cannot change while running; takes a restart", key);
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

    /** Has this done after each call to discovery that failed. */
    public void onDiscoveryFailure(Runnable task) {
        listWatcher.onCallFailure(task);
    }

    /** Has what is believed of the hosts logged. */
    public void logStatus() {
        loop.post(new ProxyEvent.Task(dispatcher::logStatus));
        Logger.info(listWatcher.describe());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where it listens in TLS beside that; null if it does not. */
    public InetSocketAddress tlsAddress() {
        return tlsAddress;
    }

    /** Streams that are owed an answer. */
    public int unansweredRequests() {
        return server.unansweredRequests();
    }

    /**
     * Returns when every request taken is answered and no connection can bring another, or the drain's time is over. It
     * keeps listening while answers are owed, as job statuses come on new connections.
     */
    public void drain() throws InterruptedException {
        drain(0);
    }

    /** The same, so many microseconds after it was told to. */
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
        // News of what is owed comes on new connections: as long as anything is, it listens.
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
