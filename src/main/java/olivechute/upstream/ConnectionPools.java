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
import olivechute.net.Connection;
import olivechute.net.WriterThreads;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.ResolvedEndpoint;
import olivechute.proxy.UpstreamRequest;
import olivechute.proxy.UpstreamTransport;
import olivechute.upstream.UpstreamConnection.Dropped;
import org.tinylog.Logger;

/**
 * The connections to the endpoints: reused before new ones are made, bounded, closed before the endpoint does. Called
 * on the event loop; {@code carrying} and the connect timeout are read on any thread.
 */
public final class ConnectionPools implements UpstreamTransport {
    /** Hosts no longer listed whose address is remembered, in case they are still sent to. */
    private static final int REMEMBERED = 256;

    /** One that carried something so lately is as good as new: little older than one that has just settled. */
    private static final long FRESH = UpstreamConnection.SETTLING + 20_000;

    private final EventLoop loop;
    private final WriterThreads writers;
    private final Connector dialler;
    final LoadReportHeader pressure;
    private volatile int dialMillis;
    private final int most;
    private final boolean goneBinds;
    private final long idleLimit;
    final ConnectTimeEstimator dialTime = new ConnectTimeEstimator();
    private final Map<String, EndpointConnectionPool> pools = new LinkedHashMap<>();
    private final Map<String, UpstreamConnection> carrying = new ConcurrentHashMap<>();

    /**
     * {@code connIdle} is when hosts close idle connections, {@code most} bounds the connections, and with
     * {@code onlyDrainingBinds} hosts that are gone without having drained may still be sent to; all told.
     */
    public ConnectionPools(
            EventLoop loop,
            WriterThreads writers,
            Connector dialler,
            LoadReportHeader pressure,
            long connIdle,
            long dialTimeout,
            int most,
            boolean onlyDrainingBinds) {
        this.loop = loop;
        this.writers = writers;
        this.dialler = dialler;
        this.pressure = pressure;
        dialTimeout(dialTimeout);
        this.most = most;
        this.goneBinds = !onlyDrainingBinds;
        // A request written to a connection that the host closes at that moment is lost: ours close well before.
        this.idleLimit = Math.max(0, Math.min(connIdle * 4 / 5, connIdle - 500_000));
    }

    /** How long dials may take from now on. */
    public void dialTimeout(long micros) {
        dialMillis = (int) Math.max(1, micros / 1000);
    }

    int dialMillis() {
        return dialMillis;
    }

    /** How long the host of a new connection may shake hands, in microseconds. */
    long dialLimit() {
        return 1000L * dialMillis;
    }

    @Override
    public void onListUpdate(EndpointListUpdate list) {
        if (list.complete()) {
            pools.values().forEach(pool -> pool.listed = false);
        }
        for (ResolvedEndpoint host : list.endpoints()) {
            EndpointConnectionPool pool = pools.get(host.info().name());
            InetSocketAddress address = Address.parse("address", host.address());
            if (pool == null) {
                pool = new EndpointConnectionPool(
                        host.info().name(), address, host.info().startedAtUs());
                pools.put(host.info().name(), pool);
            } else if (pool.moved(address, host.info().startedAtUs())) {
                // It started anew: connections to the process before it may stay open and silent.
                pool.closeIdle(0);
            }
            pool.listed = host.info().state() != EndpointState.REMOVED;
            pool.stands(host.info().state(), goneBinds);
        }
        List<EndpointConnectionPool> unlisted =
                pools.values().stream().filter(pool -> !pool.listed).toList();
        for (EndpointConnectionPool pool : unlisted) {
            pool.stands(EndpointState.REMOVED, goneBinds);
            pool.closeIdle(0);
        }
        if (unlisted.size() > REMEMBERED) {
            pools.values().removeIf(pool -> !pool.listed && pool.open() == 0);
        }
    }

    @Override
    public boolean acceptsRequests(String host) {
        EndpointConnectionPool pool = pools.get(host);
        return pool != null && pool.takes();
    }

    @Override
    public void send(UpstreamRequest request) {
        exchange(request.endpoint(), Exchange.of(request, loop.now()));
    }

    @Override
    public boolean cancelWithoutReport(UpstreamRequest request, boolean accepted) {
        UpstreamConnection connection = carrying.get(request.requestId());
        if (!accepted && connection != null) {
            if (connection.withhold(request)) {
                return true;
            }
            if (connection.drop(request) == Dropped.WRITTEN) {
                closeIdleConnections(request.endpoint()); // as silent as that one, for all that is known
            }
        }
        // Also before the acceptance is known: it may be on its way, and the host then runs on, whatever becomes of the
        // connection.
        exchange(request.endpoint(), Exchange.cancelling(request, false, loop.now()));
        return false;
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest request) {
        UpstreamConnection connection = carrying.get(request.requestId());
        return connection == null || connection.begun(request);
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest request) {
        UpstreamConnection connection = carrying.get(request.requestId());
        if (connection != null && connection.withhold(request)) {
            withheld(request);
        }
    }

    @Override
    public long handshakeAllowanceUs(UpstreamRequest request) {
        UpstreamConnection connection = carrying.get(request.requestId());
        return connection != null && connection.shakesHandsFor(request) ? dialLimit() : 0;
    }

    @Override
    public void cancelAndReportEnd(UpstreamRequest request, boolean accepted) {
        if (!accepted) {
            UpstreamConnection connection = carrying.get(request.requestId());
            Dropped dropped = connection == null ? Dropped.NOT_CARRIED : connection.drop(request);
            if (dropped == Dropped.UNWRITTEN) {
                ended(request, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
            }
            if (dropped != Dropped.WRITTEN) {
                return; // if not carried, its answer or its end is on its way here
            }
            closeIdleConnections(request.endpoint()); // as silent as that one, for all that is known
        }
        exchange(request.endpoint(), Exchange.cancelling(request, true, loop.now()));
    }

    private void exchange(String host, Exchange exchange) {
        EndpointConnectionPool pool = pools.get(host);
        if (pool == null) {
            failed(exchange, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        long now = loop.now();
        if (!exchange.cancels()) {
            carrying.remove(exchange.request().requestId());
        }
        long limit = Math.min(idleLimit, exchange.request().requiresNewConnection() ? FRESH : pool.reuseLimit(now));
        // One that settles sooner than a new one would have its answer is waited for; until then nothing is written.
        long wait = limit < UpstreamConnection.SETTLING ? 0 : Math.max(0, dialTime.extraConnectTimeUs() - EventLoop.TICK_US);
        for (UpstreamConnection c = pool.take(now, now - limit, wait);
                c != null;
                c = pool.take(now, now - limit, wait)) {
            long settled = c.settledAt();
            if (c.begin(exchange, settled <= now + wait ? Math.max(now, settled) : now)) {
                return;
            }
        }
        if (open() >= most && !shedIdle()) {
            failed(exchange, AttemptOutcome.CONNECT_FAILED);
            return;
        }
        UpstreamConnection connection = new UpstreamConnection(this, pool, exchange);
        try {
            connection.start();
        } catch (OutOfMemoryError noThread) {
            // The system gives no thread: this request could not connect, the loop and all else go on.
            connection.close();
        }
    }

    private int open() {
        return pools.values().stream().mapToInt(EndpointConnectionPool::open).sum();
    }

    private boolean shedIdle() {
        return pools.values().stream().anyMatch(EndpointConnectionPool::closeOldestIdle);
    }

    @Override
    public void closeIdleConnections(String host) {
        EndpointConnectionPool pool = pools.get(host);
        if (pool != null) {
            pool.closeIdle(0);
        }
    }

    /** Closes what has stood idle too long and what waits too long for its host; to be called on the loop. */
    public void sweep() {
        long now = loop.now();
        for (EndpointConnectionPool pool : pools.values()) {
            pool.closeIdle(idleLimit == 0 ? 0 : now - idleLimit);
            pool.closeStuck(now);
            if (dialler != Connector.PLAIN) {
                pool.closeLapsed();
            }
        }
    }

    long now() {
        return loop.now();
    }

    Connection unconnected(EndpointConnectionPool pool) throws IOException {
        return dialler.unconnected(pool.name);
    }

    /** Runs this at a moment, on the event loop; to be called there. */
    void runAt(long at, Runnable task) {
        loop.runAt(at, task);
    }

    /**
     * Has an exchange, of which nothing was written, go by another connection to that host; {@code taken} takes it from
     * the one it was on.
     */
    void elsewhere(Supplier<Exchange> taken) {
        loop.post(new ProxyEvent.Task(() -> {
            Exchange exchange = taken.get();
            if (exchange != null) {
                exchange(exchange.request().endpoint(), exchange);
            }
        }));
    }

    /** Has something written to a host that has read all before it; on the event loop. False if that cannot be. */
    boolean write(Runnable write) {
        if (loop.onLoopThread()) {
            return writers.offer(write); // should a host have answered what it did not read, no timer waits for it
        }
        loop.defer(write);
        return true;
    }

    void carries(Exchange exchange, UpstreamConnection connection) {
        if (!exchange.cancels()) {
            carrying.put(exchange.request().requestId(), connection);
        }
    }

    void carriesNoMore(Exchange exchange, UpstreamConnection connection) {
        carrying.remove(exchange.request().requestId(), connection);
    }

    void accepted(Exchange exchange) {
        loop.post(new ProxyEvent.AttemptAccepted(
                exchange.request().requestId(), exchange.request().attemptNumber()));
    }

    void failed(Exchange exchange, AttemptOutcome outcome) {
        if (exchange.again() && outcome != AttemptOutcome.CONNECT_FAILED && loop.now() < exchange.answerBy()) {
            loop.post(new ProxyEvent.Task(() -> exchange(exchange.request().endpoint(), exchange.last())));
            return;
        }
        if (exchange.cancels()) {
            Logger.debug(
                    "endpoint {} did not confirm the cancellation of {}: {}",
                    exchange.request().endpoint(),
                    exchange.request().requestId(),
                    outcome);
        }
        ended(exchange, exchange.cancels() ? AttemptOutcome.CANCEL_UNCONFIRMED : outcome, LoadReport.NONE);
    }

    /** The host answered, or {@link #failed}; the word that gives an upstream request up is heard by any answer. */
    void answered(Exchange exchange, AttemptOutcome outcome, LoadReport load) {
        ended(exchange, exchange.cancels() ? AttemptOutcome.ACCEPT_TIMEOUT : outcome, load);
    }

    /** Nothing of it was written, nor will be. */
    void withheld(UpstreamRequest request) {
        ended(request, AttemptOutcome.SUPPRESSED, LoadReport.NONE);
    }

    private void ended(Exchange exchange, AttemptOutcome outcome, LoadReport load) {
        if (exchange.ends()) {
            ended(exchange.request(), outcome, load);
        }
    }

    private void ended(UpstreamRequest request, AttemptOutcome outcome, LoadReport load) {
        loop.post(new ProxyEvent.AttemptEnded(request.requestId(), request.attemptNumber(), outcome, load));
    }
}
