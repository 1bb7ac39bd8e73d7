package olivechute.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.ResponseParser;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.net.Connection;
import olivechute.net.Threads;
import olivechute.proxy.UpstreamRequest;
import org.tinylog.Logger;

/**
 * One connection to an upstream host. Its thread dials, writes the first exchange and reads from then on, so an end
 * shows at once also while it is idle; later exchanges are written by the writers. Whoever writes takes one last look
 * before.
 */
@SuppressWarnings("ReferenceEquality") // two exchanges with equal fields are still two exchanges
final class UpstreamConnection {
    /**
     * How long one that was answered is left alone, in microseconds. A host that answers twice does so within
     * milliseconds; taken for the answer to the next exchange, the second would end or accept what it is not about, as
     * no answer names its request. One that comes meanwhile closes the connection.
     */
    static final long SETTLE_TIME_US = 30_000;

    private static final long WRITE_TIMEOUT_US = 1_000_000;

    /** What became of an upstream request that was to be dropped. */
    enum DropResult {
        /** Nothing of it was written, nor will be. */
        UNWRITTEN,
        /** Some of it may have come. */
        WRITTEN,
        /** It was answered or ended before. */
        NOT_CARRIED
    }

    private final ConnectionPools pools;
    private final EndpointConnectionPool pool;
    private final EndpointConnectionPool.Location location;
    private volatile Connection transport;
    private final ResponseParser parser = new ResponseParser();
    private Exchange currentExchange; // guarded by this, as the rest
    private boolean connected; // it was dialled
    private boolean responseReceived; // an answer came on it
    private boolean writeStarted; // some of it may be out
    private boolean written;
    private long exchangeStartUs;
    private long idleSinceUs;
    private long idleBeforeExchangeUs =
            -1; // how long it had stood idle before the current exchange; negative on its first
    private boolean closed;
    private volatile boolean inputPending; // the reader has bytes in hand

    UpstreamConnection(ConnectionPools pools, EndpointConnectionPool pool, Exchange firstExchange) {
        this.pools = pools;
        this.pool = pool;
        this.location = pool.location();
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

    /** From when on no late answer is to be feared: see {@link #SETTLING}. */
    synchronized long settledAtUs() {
        return responseReceived ? idleSinceUs + SETTLE_TIME_US : idleSinceUs;
    }

    /** False once nothing new may be sent on it. */
    boolean isPeerIdentityValid() {
        return transport.isPeerIdentityValid();
    }

    /**
     * Takes an exchange on an idle connection, to be written at a moment; false if it has ended meanwhile. On the event
     * loop.
     */
    boolean begin(Exchange exchange, long startUs) {
        if (!transport.isPeerIdentityValid()) {
            close();
            return false;
        }
        pools.register(exchange, this); // first: the connection's end may come at any moment and take it back
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
        // The host has answered all that was written before, so this finds the send buffer empty and waits for nobody.
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
                Logger.debug("endpoint {} sent something unasked", pool.name);
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
            boolean interrupted;
            synchronized (this) {
                interrupted = currentExchange == exchange;
                writeStarted &= !interrupted; // its last byte is not out, nor will be
            }
            close(!interrupted);
        }
    }

    /**
     * True if something has come that nobody asked for yet: read or not, it is no answer to what is about to be
     * written.
     */
    private boolean hasUnsolicitedInput() {
        return transport.hasUnreadInput()
                || inputPending; // in this order: what is no longer in the one is in the other
    }

    /**
     * The last look. A word that gives a request up goes to any host; all else to none that takes nothing new, or is
     * elsewhere by now.
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

    /** Kept for what comes, unless nothing may come. */
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
            Logger.warn("{} answered what is no HTTP: {}", location.address(), e.getMessage());
        } finally {
            close(true);
        }
    }

    /** False if the connection was given up before it had a socket. */
    private boolean connect() throws IOException {
        Connection newTransport = pools.createUnconnected(pool);
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
                throw new IOException("bytes between exchanges");
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
            throw new IOException("closed by its last answer");
        }
        if (parser.hasUnparsedBytes() || pool.location() != location) {
            throw new IOException("answered twice at once, or by a process that is gone");
        }
        inputPending = false; // nothing is left of it, and another may begin at once
        pool.release(this);
    }

    /** Tells how long the answer took, unless it is to a word, or the first after a dial for another one. */
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

    /** True if a request was written, as the first here: the host may still be at the handshake. */
    synchronized boolean mayBeInHandshake(UpstreamRequest request) {
        return currentExchange != null && currentExchange.request() == request && writeStarted && !responseReceived;
    }

    /** False if it carries this and nothing of it was written. */
    synchronized boolean hasBegun(UpstreamRequest request) {
        return currentExchange == null || currentExchange.request() != request || writeStarted;
    }

    /**
     * Takes an upstream request back if nothing of it was written, without an end of it; the connection stays, or its
     * dial goes on.
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

    /** Closes it without an end of what it carries. */
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
            // A machine that is cut off says nothing: neither a write, which may have to wait for its dial, nor a wait
            // may last for good.
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
     * Ends the connection, and what it carries: it never ran where its last byte was not written. Where the peer broke
     * off under a write that is not back yet, the peer may have had all of it. Where one in use broke or strayed before
     * anything was written, the exchange goes by another.
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
            currentExchange = resubmit ? exchange : null; // until the loop has taken it, it may still be given up
            outcome = !writeStarted || (!written && !broken)
                    ? AttemptOutcome.CONNECT_FAILED
                    : broken && idleBeforeExchangeUs >= 0 ? AttemptOutcome.STALE_CONNECTION : AttemptOutcome.RESET;
        }
        if (exchange != null && Logger.isDebugEnabled()) {
            Logger.debug(
                    "endpoint {} connection closed under {} {}: {}, {}",
                    pool.name,
                    exchange.isCancellation() ? "the cancellation of" : "request",
                    exchange.request().requestId(),
                    broken ? "broken" : "given up",
                    resubmit ? "goes by another" : outcome);
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
            // It broke or fell silent under an exchange: those idle to that host are no better, as far as is known, or
            // for as long.
            pool.closeIdle(outcome == AttemptOutcome.STALE_CONNECTION ? exchangeStartUs - idleBeforeExchangeUs + 1 : 0);
            pools.unregister(exchange, this);
            if (outcome == AttemptOutcome.STALE_CONNECTION) {
                recordReuse(true);
            }
            pools.onFailed(exchange, outcome);
        }
    }

    /** What it carried as it ended and nobody gave up since, null if there is none. */
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
