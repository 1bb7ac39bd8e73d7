package olivechute.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.ResponseParser;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.memory.MemoryAllowance;
import olivechute.net.Connection;
import olivechute.net.Threads;
import olivechute.proxy.UpstreamRequest;
import org.tinylog.Logger;

/**
 * A connection to one endpoint. Its thread connects, writes the first exchange and reads from then on, so that a
 * disconnect is noticed at once even while it is idle; the writer threads write later exchanges. Whoever writes makes
 * the last checks directly before the write.
 */
@SuppressWarnings("ReferenceEquality") // exchanges with equal fields are still distinct
final class UpstreamConnection {
    /**
     * How long a connection rests after a response, in microseconds. An endpoint that responds twice does so within
     * milliseconds. If the second response were taken for the one to the next exchange, it would end or accept the
     * wrong request, as no response names its request. A response that arrives during the rest closes the connection.
     */
    static final long SETTLE_TIME_US = 30_000;

    private static final long WRITE_TIMEOUT_US = 1_000_000;

    /** The result of dropping an upstream request. */
    enum DropResult {
        /** Nothing of it was written, nor will be. */
        UNWRITTEN,
        /** Part of it may have arrived. */
        WRITTEN,
        /** It was answered or had ended before. */
        NOT_CARRIED
    }

    private final ConnectionPools pools;
    private final EndpointConnectionPool pool;
    private final EndpointConnectionPool.Location location;
    private volatile Connection transport;
    private final MemoryAllowance memory;
    private final ResponseParser parser;
    private Exchange currentExchange; // guarded by this, like the fields below
    private boolean connected; // the connection is established
    private boolean responseReceived; // at least one response arrived
    private boolean writeStarted; // part of the current exchange may have been sent
    private boolean written;
    private long exchangeStartUs;
    private long idleSinceUs;
    private long idleBeforeExchangeUs = -1; // idle time before the current exchange; negative on the first one
    private boolean closed;
    private volatile boolean inputPending; // the reader is processing bytes

    UpstreamConnection(ConnectionPools pools, EndpointConnectionPool pool, Exchange firstExchange) {
        this.pools = pools;
        this.pool = pool;
        this.location = pool.location();
        this.memory = pools.responseMemory();
        this.parser = ResponseParser.discardingBodies(memory);
        this.currentExchange = firstExchange;
        this.exchangeStartUs = firstExchange.createdAtUs();
    }

    void start() {
        pool.add(this);
        pools.register(currentExchange, this);
        Threads.runConnection(this::run);
    }

    synchronized long idleSinceUs() {
        return idleSinceUs;
    }

    /** From when on no late response is to be expected: see {@link #SETTLE_TIME_US}. */
    synchronized long settledAtUs() {
        return responseReceived ? idleSinceUs + SETTLE_TIME_US : idleSinceUs;
    }

    /** False once nothing new may be sent on this connection. */
    boolean isPeerIdentityValid() {
        return transport.isPeerIdentityValid();
    }

    /**
     * Starts an exchange on an idle connection, to be written at {@code startUs}; false if the connection has ended
     * meanwhile. Called on the event loop.
     */
    boolean begin(Exchange exchange, long startUs) {
        if (!transport.isPeerIdentityValid()) {
            close();
            return false;
        }
        pools.register(exchange, this); // first, as the connection may end at any moment and unregister it
        boolean alreadyClosed;
        synchronized (this) {
            alreadyClosed = closed;
            if (!alreadyClosed) {
                currentExchange = exchange;
                writeStarted = false;
                written = false;
                exchangeStartUs = startUs;
                idleBeforeExchangeUs = startUs - idleSinceUs;
            }
        }
        if (alreadyClosed) {
            pools.unregister(exchange, this);
            return false;
        }
        if (startUs > pools.now()) {
            pools.runAt(startUs, () -> scheduleWrite(exchange));
        } else {
            scheduleWrite(exchange);
        }
        return true;
    }

    private void scheduleWrite(Exchange exchange) {
        // The endpoint has responded to all earlier writes, so the send buffer is empty and the write does not block.
        if (currentExchange() == exchange && !pools.scheduleWrite(() -> write(exchange))) {
            close();
        }
    }

    private void write(Exchange exchange) {
        try {
            ByteBuffer head = exchange.head(location.hostHeader(), pools.now());
            boolean allowed;
            boolean unsolicited;
            synchronized (this) {
                if (closed || currentExchange != exchange) {
                    return;
                }
                allowed = mayWrite(exchange);
                unsolicited = allowed && responseReceived && hasUnsolicitedInput();
                writeStarted = allowed && !unsolicited;
                currentExchange = allowed ? exchange : null;
            }
            if (unsolicited) {
                Logger.debug("endpoint {} sent unsolicited data", pool.name);
                close(true);
                return;
            }
            if (!allowed) {
                pools.unregister(exchange, this);
                releaseOrClose();
                pools.onWithdrawn(exchange.request());
                return;
            }
            transport.write(head, exchange.body());
            synchronized (this) {
                written |= currentExchange == exchange;
            }
        } catch (IOException e) {
            boolean exchangeUnfinished;
            synchronized (this) {
                exchangeUnfinished = currentExchange == exchange;
                writeStarted &= !exchangeUnfinished; // the exchange's last byte was not sent, nor will be
            }
            close(!exchangeUnfinished);
        }
    }

    /**
     * True if input has arrived that no request asked for: read or not, it is no response to what is about to be
     * written.
     */
    private boolean hasUnsolicitedInput() {
        // In this order, as bytes that the reader takes from the unread input then show in inputPending.
        return transport.hasUnreadInput() || inputPending;
    }

    /**
     * The last check before a write. A cancellation is sent in any case; a request only if the endpoint still accepts
     * new requests, has not moved and the pre-send check agrees.
     */
    private boolean mayWrite(Exchange exchange) {
        UpstreamRequest request = exchange.request();
        return exchange.isCancellation()
                || (isReusable()
                        && request.preSendCheck()
                                .maySendFirstByte(
                                        request, pools.now(), responseReceived ? 0 : pools.handshakeTimeoutUs()));
    }

    private boolean isReusable() {
        return pool.acceptsRequests() && pool.location() == location;
    }

    /** Returns the connection to the pool, or closes it if no new request may use it. */
    private void releaseOrClose() {
        if (isReusable()) {
            pool.release(this);
        } else {
            close();
        }
    }

    private void run() {
        try {
            if (!connect()) {
                return;
            }
            Exchange firstExchange;
            synchronized (this) {
                connected = true;
                idleSinceUs = pools.now();
                firstExchange = currentExchange;
            }
            if (firstExchange == null) {
                releaseOrClose();
            } else {
                write(firstExchange);
            }
            for (int read = transport.read(parser.inputBuffer());
                    read >= 0;
                    read = transport.read(parser.inputBuffer())) {
                inputPending = true;
                parser.onBytesRead(read);
                processInput();
                inputPending = false;
            }
            if (parser.onEndOfInput()) {
                onResponse(parser.take());
            }
        } catch (IOException e) {
            Logger.debug("endpoint {} at {}: {}", pool.name, location.address(), e.getMessage());
        } catch (HttpException e) {
            Logger.warn("{} sent an invalid HTTP response: {}", location.address(), e.getMessage());
        } finally {
            close(true);
            parser.discard();
            if (transport != null) {
                transport.discardReceived();
            }
        }
    }

    /** False if the connection was given up before it had a socket. */
    private boolean connect() throws IOException {
        Connection newTransport = pools.createUnconnected(pool);
        newTransport.limitMemory(memory);
        synchronized (this) {
            if (!closed) {
                transport = newTransport;
            }
        }
        if (transport == null) {
            newTransport.close();
            return false;
        }
        long startUs = pools.now();
        newTransport.connect(location.address(), pools.connectTimeoutMillis());
        newTransport.initialize();
        Logger.debug("endpoint {} connected in {} us", pool.name, pools.now() - startUs);
        return true;
    }

    private synchronized Exchange currentExchange() {
        return currentExchange;
    }

    private synchronized boolean isAwaitingResponse() {
        return currentExchange != null && writeStarted;
    }

    private void processInput() throws HttpException, IOException {
        do {
            if (!isAwaitingResponse()) {
                throw new IOException("unsolicited bytes between exchanges");
            }
            if (parser.parse()) {
                HttpResponse response = parser.take();
                if (response.status() >= 200) {
                    onResponse(response);
                }
                parser.releaseMessage(true);
            }
        } while (parser.hasUnparsedBytes());
    }

    private void onResponse(HttpResponse response) throws IOException {
        Exchange exchange;
        boolean firstResponse;
        synchronized (this) {
            exchange = currentExchange;
            if (exchange == null) {
                return;
            }
            currentExchange = null;
            firstResponse = !responseReceived;
            responseReceived = true;
            idleSinceUs = pools.now();
        }
        recordReuse(false);
        recordResponseTime(exchange, firstResponse);
        pools.unregister(exchange, this);
        if (exchange.isCancellation()) {
            Logger.debug(
                    "endpoint {} answered the cancellation of {}: {}",
                    pool.name,
                    exchange.request().requestId(),
                    response.status());
        }
        boolean rejected = "1".equals(response.headers().get("X-Turned-Away"));
        if (response.status() == 202 && !exchange.isCancellation()) {
            pools.onAccepted(exchange);
        } else {
            boolean neverRan = rejected && (response.status() == 503 || response.status() == 504);
            pools.onResponse(
                    exchange,
                    neverRan ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR,
                    pools.loadReportHeader.parse(response.headers()));
        }
        if (!response.keepAlive()) {
            throw new IOException("endpoint closes the connection after its response");
        }
        if (parser.hasUnparsedBytes() || pool.location() != location) {
            throw new IOException("more than one response, or the endpoint has moved");
        }
        inputPending = false; // all input is processed, and the next exchange may begin at once
        pool.release(this);
    }

    /**
     * Records the response time, except for a cancellation and for the first response on a connection that was made for
     * another request.
     */
    private void recordResponseTime(Exchange exchange, boolean firstResponse) {
        long tookUs = idleSinceUs - exchangeStartUs;
        if (!exchange.isCancellation() && firstResponse == idleBeforeExchangeUs < 0) {
            if (firstResponse) {
                pools.connectTimeEstimator.addNewConnectionSample(tookUs);
            } else {
                pools.connectTimeEstimator.addReusedConnectionSample(tookUs);
            }
        }
    }

    private void recordReuse(boolean broken) {
        if (idleBeforeExchangeUs >= 0) {
            pool.onReuse(pools.now(), idleBeforeExchangeUs, broken);
        }
    }

    /**
     * True if the request was written as the first one on this connection, so that the endpoint may still be in the
     * handshake.
     */
    synchronized boolean mayBeInHandshake(UpstreamRequest request) {
        return currentExchange != null && currentExchange.request() == request && writeStarted && !responseReceived;
    }

    /** False if the connection carries this request and nothing of it was written. */
    synchronized boolean hasBegun(UpstreamRequest request) {
        return currentExchange == null || currentExchange.request() != request || writeStarted;
    }

    /**
     * Withdraws an upstream request if nothing of it was written, and reports no end of it. The connection stays open
     * or continues to connect.
     */
    boolean withdraw(UpstreamRequest request) {
        boolean idle;
        synchronized (this) {
            if (currentExchange == null || currentExchange.request() != request || writeStarted) {
                return false;
            }
            pools.unregister(currentExchange, this);
            currentExchange = null;
            idle = connected && !closed;
        }
        if (idle) {
            releaseOrClose();
        }
        return true;
    }

    /** Closes the connection without reporting an end of the request that it carries. */
    DropResult drop(UpstreamRequest request) {
        DropResult result;
        synchronized (this) {
            if (currentExchange == null || currentExchange.request() != request) {
                return DropResult.NOT_CARRIED;
            }
            pools.unregister(currentExchange, this);
            currentExchange = null;
            result = writeStarted ? DropResult.WRITTEN : DropResult.UNWRITTEN;
        }
        close();
        return result;
    }

    void closeIfStalled(long nowUs) {
        boolean stalled;
        synchronized (this) {
            // A machine that is cut off does not respond: neither a write, which may have to wait for the connect, nor
            // the wait for a response may last forever.
            stalled = currentExchange != null
                    && ((!written
                                    && nowUs - exchangeStartUs
                                            > WRITE_TIMEOUT_US + (responseReceived ? 0 : pools.handshakeTimeoutUs()))
                            || nowUs > currentExchange.responseDeadlineUs());
        }
        if (stalled) {
            close();
        }
    }

    void close() {
        close(false);
    }

    /**
     * Closes the connection and ends its exchange. The request never ran if its last byte was not written. If the peer
     * disconnected during a write that has not returned yet, the peer may have received the whole request. If a reused
     * connection broke or received unsolicited input before anything was written, the exchange moves to another
     * connection.
     */
    private void close(boolean broken) {
        Exchange exchange;
        AttemptOutcome outcome;
        boolean resubmit;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            exchange = currentExchange;
            resubmit = broken && exchange != null && !writeStarted && idleBeforeExchangeUs >= 0;
            currentExchange = resubmit ? exchange : null; // it can still be given up until the event loop takes it
            outcome = !writeStarted || (!written && !broken)
                    ? AttemptOutcome.CONNECT_FAILED
                    : broken && idleBeforeExchangeUs >= 0 ? AttemptOutcome.STALE_CONNECTION : AttemptOutcome.RESET;
        }
        if (exchange != null && Logger.isDebugEnabled()) {
            Logger.debug(
                    "connection to endpoint {} closed during {} {}: {}, {}",
                    pool.name,
                    exchange.isCancellation() ? "the cancellation of" : "request",
                    exchange.request().requestId(),
                    broken ? "broken" : "given up",
                    resubmit ? "resubmitted on another connection" : outcome);
        }
        pool.remove(this);
        try {
            if (transport != null) {
                transport.close();
            }
        } catch (IOException e) {
            Logger.debug("{}: {}", location.address(), e.getMessage());
        }
        if (resubmit) {
            pools.resubmit(this::takeExchange);
        } else if (exchange != null) {
            // The connection broke or got no response during an exchange: presumably the other idle connections to that
            // endpoint are no better. After a stale connection, only those that were idle for at least as long are
            // closed.
            pool.closeIdle(outcome == AttemptOutcome.STALE_CONNECTION ? exchangeStartUs - idleBeforeExchangeUs + 1 : 0);
            pools.unregister(exchange, this);
            if (outcome == AttemptOutcome.STALE_CONNECTION) {
                recordReuse(true);
            }
            pools.onFailed(exchange, outcome);
        }
    }

    /** The exchange that was in progress when the connection ended; null if there is none or it was given up since. */
    private Exchange takeExchange() {
        Exchange exchange;
        synchronized (this) {
            exchange = currentExchange;
            currentExchange = null;
        }
        if (exchange != null) {
            pools.unregister(exchange, this);
        }
        return exchange;
    }
}
