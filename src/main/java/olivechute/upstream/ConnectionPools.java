package olivechute.upstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import olivechute.config.Address;
import olivechute.health.ConnectTimeEstimator;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.EndpointState;
import olivechute.loadbalancing.LoadReport;
import olivechute.memory.MemoryAllowance;
import olivechute.memory.MemoryBudget;
import olivechute.memory.TieredAllowance;
import olivechute.net.Connection;
import olivechute.net.WriterThreads;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.ResolvedEndpoint;
import olivechute.proxy.UpstreamRequest;
import olivechute.proxy.UpstreamTransport;
import olivechute.upstream.UpstreamConnection.DropResult;
import org.tinylog.Logger;

/**
 * The connections to all endpoints. Idle connections are reused before new ones are made, their number is limited, and
 * they are closed before the endpoint closes them. Called on the event loop; {@code connectionsByRequestId} and the
 * connect timeout are read on any thread.
 */
public final class ConnectionPools implements UpstreamTransport {
    /** Number of endpoints no longer listed whose pool is kept, in case requests are still sent to them. */
    private static final int MAX_UNLISTED_POOLS = 256;

    /**
     * A connection that was idle for at most so many microseconds may be used where a new one is required; a little
     * longer than the settle time.
     */
    private static final long FRESH_IDLE_US = UpstreamConnection.SETTLE_TIME_US + 20_000;

    private final MemoryAllowance responseMemory;
    private final EventLoop loop;
    private final WriterThreads writers;
    private final Connector connector;
    final LoadReportHeader loadReportHeader;
    private volatile int connectTimeoutMillis;
    private final int maxConnections;
    private final boolean removalBlocksRequests;
    private final long maxIdleUs;
    final ConnectTimeEstimator connectTimeEstimator = new ConnectTimeEstimator();
    private final Map<String, EndpointConnectionPool> pools = new LinkedHashMap<>();
    private final Map<String, UpstreamConnection> connectionsByRequestId = new ConcurrentHashMap<>();

    /**
     * Creates the pools. {@code endpointIdleTimeoutUs} is when endpoints close idle connections, {@code maxConnections}
     * limits the connections to all endpoints together, and with {@code onlyDrainingBinds} requests may still be sent
     * to endpoints that were removed without having drained.
     */
    public ConnectionPools(
            EventLoop loop,
            WriterThreads writers,
            Connector connector,
            LoadReportHeader loadReportHeader,
            long endpointIdleTimeoutUs,
            long connectTimeoutUs,
            int maxConnections,
            boolean onlyDrainingBinds) {
        this(
                loop,
                writers,
                connector,
                loadReportHeader,
                endpointIdleTimeoutUs,
                connectTimeoutUs,
                maxConnections,
                onlyDrainingBinds,
                MemoryBudget.unlimited());
    }

    /** Creates the pools; {@code memory} limits what endpoints make this node hold of their responses. */
    public ConnectionPools(
            EventLoop loop,
            WriterThreads writers,
            Connector connector,
            LoadReportHeader loadReportHeader,
            long endpointIdleTimeoutUs,
            long connectTimeoutUs,
            int maxConnections,
            boolean onlyDrainingBinds,
            MemoryBudget memory) {
        this.responseMemory = new TieredAllowance(memory, 0) {
            @Override
            protected MemoryBudget.Tier tier() {
                return MemoryBudget.Tier.KNOWN_ENDPOINT;
            }
        };
        this.loop = loop;
        this.writers = writers;
        this.connector = connector;
        this.loadReportHeader = loadReportHeader;
        setConnectTimeout(connectTimeoutUs);
        this.maxConnections = maxConnections;
        this.removalBlocksRequests = !onlyDrainingBinds;
        // A request is lost if it is written just as the endpoint closes the connection, so idle connections are closed
        // well before that.
        this.maxIdleUs = Math.max(0, Math.min(endpointIdleTimeoutUs * 4 / 5, endpointIdleTimeoutUs - 500_000));
    }

    /** Sets the connect timeout for new connections, in microseconds. */
    public void setConnectTimeout(long timeoutUs) {
        connectTimeoutMillis = (int) Math.max(1, timeoutUs / 1000);
    }

    int connectTimeoutMillis() {
        return connectTimeoutMillis;
    }

    /** How long the endpoint of a new connection may take for the handshake, in microseconds. */
    long handshakeTimeoutUs() {
        return 1000L * connectTimeoutMillis;
    }

    @Override
    public void onListUpdate(EndpointListUpdate update) {
        if (update.complete()) {
            pools.values().forEach(pool -> pool.listed = false);
        }
        for (ResolvedEndpoint endpoint : update.endpoints()) {
            EndpointConnectionPool pool = pools.get(endpoint.info().name());
            InetSocketAddress address = Address.parse("address", endpoint.address());
            if (pool == null) {
                pool = new EndpointConnectionPool(
                        endpoint.info().name(), address, endpoint.info().startedAtUs());
                pools.put(endpoint.info().name(), pool);
            } else if (pool.updateLocation(address, endpoint.info().startedAtUs())) {
                // The endpoint restarted: connections to its earlier process may stay open without a response.
                pool.closeIdle(0);
            }
            pool.listed = endpoint.info().state() != EndpointState.REMOVED;
            pool.updateState(endpoint.info().state(), removalBlocksRequests);
        }
        List<EndpointConnectionPool> unlisted =
                pools.values().stream().filter(pool -> !pool.listed).toList();
        for (EndpointConnectionPool pool : unlisted) {
            pool.updateState(EndpointState.REMOVED, removalBlocksRequests);
            pool.closeIdle(0);
        }
        if (unlisted.size() > MAX_UNLISTED_POOLS) {
            pools.values().removeIf(pool -> !pool.listed && pool.openConnections() == 0);
        }
    }

    @Override
    public boolean acceptsRequests(String endpoint) {
        EndpointConnectionPool pool = pools.get(endpoint);
        return pool != null && pool.acceptsRequests();
    }

    @Override
    public void send(UpstreamRequest request) {
        submit(request.endpoint(), Exchange.of(request, loop.now()));
    }

    @Override
    public boolean cancelWithoutReport(UpstreamRequest request, boolean accepted) {
        UpstreamConnection connection = connectionsByRequestId.get(request.requestId());
        if (!accepted && connection != null) {
            if (connection.withdraw(request)) {
                return true;
            }
            if (connection.drop(request) == DropResult.WRITTEN) {
                closeIdleConnections(request.endpoint()); // the others may be as unresponsive
            }
        }
        // Also sent while no acceptance is known: the acceptance may be on its way, and the endpoint then continues the
        // job whatever happens to the connection.
        submit(request.endpoint(), Exchange.cancellationOf(request, false, loop.now()));
        return false;
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest request) {
        UpstreamConnection connection = connectionsByRequestId.get(request.requestId());
        return connection == null || connection.hasBegun(request);
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest request) {
        UpstreamConnection connection = connectionsByRequestId.get(request.requestId());
        if (connection != null && connection.withdraw(request)) {
            onWithdrawn(request);
        }
    }

    @Override
    public long handshakeAllowanceUs(UpstreamRequest request) {
        UpstreamConnection connection = connectionsByRequestId.get(request.requestId());
        return connection != null && connection.mayBeInHandshake(request) ? handshakeTimeoutUs() : 0;
    }

    @Override
    public void cancelAndReportEnd(UpstreamRequest request, boolean accepted) {
        if (!accepted) {
            UpstreamConnection connection = connectionsByRequestId.get(request.requestId());
            DropResult dropped = connection == null ? DropResult.NOT_CARRIED : connection.drop(request);
            if (dropped == DropResult.UNWRITTEN) {
                reportEnd(request, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
            }
            if (dropped != DropResult.WRITTEN) {
                return; // if it is not carried, its response or its end is already posted
            }
            closeIdleConnections(request.endpoint()); // the others may be as unresponsive
        }
        submit(request.endpoint(), Exchange.cancellationOf(request, true, loop.now()));
    }

    private void submit(String endpoint, Exchange exchange) {
        EndpointConnectionPool pool = pools.get(endpoint);
        if (pool == null) {
            onFailed(exchange, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        long nowUs = loop.now();
        if (!exchange.isCancellation()) {
            connectionsByRequestId.remove(exchange.request().requestId());
        }
        long reuseLimitUs = Math.min(
                maxIdleUs, exchange.request().requiresNewConnection() ? FRESH_IDLE_US : pool.maxReuseIdleUs(nowUs));
        // Waits for a connection that settles sooner than a new one would have its response; nothing is written until
        // then.
        long maxWaitUs = reuseLimitUs < UpstreamConnection.SETTLE_TIME_US
                ? 0
                : Math.max(0, connectTimeEstimator.extraConnectTimeUs() - EventLoop.TICK_US);
        for (UpstreamConnection idleConnection = pool.takeIdle(nowUs, nowUs - reuseLimitUs, maxWaitUs);
                idleConnection != null;
                idleConnection = pool.takeIdle(nowUs, nowUs - reuseLimitUs, maxWaitUs)) {
            long settledAtUs = idleConnection.settledAtUs();
            if (idleConnection.begin(
                    exchange, settledAtUs <= nowUs + maxWaitUs ? Math.max(nowUs, settledAtUs) : nowUs)) {
                return;
            }
        }
        if (openConnections() >= maxConnections && !closeOneIdle()) {
            onFailed(exchange, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, pool, exchange);
        try {
            connection.start();
        } catch (OutOfMemoryError noThread) {
            // The system has no thread: this request fails to connect, and everything else continues.
            connection.close();
        }
    }

    private int openConnections() {
        return pools.values().stream()
                .mapToInt(EndpointConnectionPool::openConnections)
                .sum();
    }

    private boolean closeOneIdle() {
        return pools.values().stream().anyMatch(EndpointConnectionPool::closeOldestIdle);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        EndpointConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            pool.closeIdle(0);
        }
    }

    /**
     * Closes connections that were idle for too long and those whose endpoint does not respond in time; to be called
     * periodically on the event loop.
     */
    public void sweep() {
        long nowUs = loop.now();
        for (EndpointConnectionPool pool : pools.values()) {
            pool.closeIdle(maxIdleUs == 0 ? 0 : nowUs - maxIdleUs);
            pool.closeStalled(nowUs);
            if (connector != Connector.PLAINTEXT) {
                pool.closeIdleWithInvalidIdentity();
            }
        }
    }

    long now() {
        return loop.now();
    }

    /** What the connections may use for responses; thread-safe, as it never waits. */
    MemoryAllowance responseMemory() {
        return responseMemory;
    }

    Connection createUnconnected(EndpointConnectionPool pool) throws IOException {
        return connector.createUnconnected(pool.name);
    }

    /** Runs a task at a time, on the event loop; to be called there. */
    void runAt(long atUs, Runnable task) {
        loop.runAt(atUs, task);
    }

    /**
     * Submits an exchange, of which nothing was written, again on another connection to the same endpoint;
     * {@code takeExchange} takes it from its old connection and returns null if it was given up meanwhile.
     */
    void resubmit(Supplier<Exchange> takeExchange) {
        loop.post(new ProxyEvent.Task(() -> {
            Exchange exchange = takeExchange.get();
            if (exchange != null) {
                submit(exchange.request().endpoint(), exchange);
            }
        }));
    }

    /**
     * Schedules a write to an endpoint that has read everything sent before; called on the event loop. False if the
     * write cannot be queued.
     */
    boolean scheduleWrite(Runnable write) {
        if (loop.onLoopThread()) {
            return writers.offer(write); // if the endpoint responds without reading, a blocked write delays no timer
        }
        loop.defer(write);
        return true;
    }

    void register(Exchange exchange, UpstreamConnection connection) {
        if (!exchange.isCancellation()) {
            connectionsByRequestId.put(exchange.request().requestId(), connection);
        }
    }

    void unregister(Exchange exchange, UpstreamConnection connection) {
        connectionsByRequestId.remove(exchange.request().requestId(), connection);
    }

    void onAccepted(Exchange exchange) {
        loop.post(new ProxyEvent.AttemptAccepted(
                exchange.request().requestId(), exchange.request().attemptNumber()));
    }

    void onFailed(Exchange exchange, AttemptOutcome outcome) {
        if (exchange.retriesIfBroken()
                && outcome != AttemptOutcome.CONNECT_FAILED
                && loop.now() < exchange.responseDeadlineUs()) {
            loop.post(new ProxyEvent.Task(() -> submit(exchange.request().endpoint(), exchange.withoutRetry())));
            return;
        }
        if (exchange.isCancellation()) {
            Logger.debug(
                    "endpoint {} did not confirm the cancellation of {}: {}",
                    exchange.request().endpoint(),
                    exchange.request().requestId(),
                    outcome);
        }
        reportEnd(exchange, exchange.isCancellation() ? AttemptOutcome.CANCEL_UNCONFIRMED : outcome, LoadReport.NONE);
    }

    /** The endpoint responded, as opposed to {@link #onFailed}; any response confirms a cancellation. */
    void onResponse(Exchange exchange, AttemptOutcome outcome, LoadReport loadReport) {
        reportEnd(exchange, exchange.isCancellation() ? AttemptOutcome.ACCEPT_TIMEOUT : outcome, loadReport);
    }

    /** Nothing of the request was written, nor will be. */
    void onWithdrawn(UpstreamRequest request) {
        reportEnd(request, AttemptOutcome.SUPPRESSED, LoadReport.NONE);
    }

    private void reportEnd(Exchange exchange, AttemptOutcome outcome, LoadReport loadReport) {
        if (exchange.reportsEnd()) {
            reportEnd(exchange.request(), outcome, loadReport);
        }
    }

    private void reportEnd(UpstreamRequest request, AttemptOutcome outcome, LoadReport loadReport) {
        loop.post(new ProxyEvent.AttemptEnded(request.requestId(), request.attemptNumber(), outcome, loadReport));
    }
}
