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
    static final long SETTLING = 30_000;

    private static final long WRITE_LIMIT = 1_000_000;

    /** What became of an upstream request that was to be dropped. */
    enum Dropped {
        /** Nothing of it was written, nor will be. */
        UNWRITTEN,
        /** Some of it may have come. */
        WRITTEN,
        /** It was answered or ended before. */
        NOT_CARRIED
    }

    private final ConnectionPools pools;
    private final EndpointConnectionPool pool;
    private final EndpointConnectionPool.Place place;
    private volatile Connection link;
    private final ResponseParser parser = new ResponseParser();
    private Exchange current; // guarded by this, as the rest
    private boolean up; // it was dialled
    private boolean heard; // an answer came on it
    private boolean writing; // some of it may be out
    private boolean written;
    private long begunAt;
    private long idleSince;
    private long idleFor = -1; // how long it had stood idle before the current exchange; negative on its first
    private boolean closed;
    private volatile boolean fed; // the reader has bytes in hand

    UpstreamConnection(ConnectionPools pools, EndpointConnectionPool pool, Exchange first) {
        this.pools = pools;
        this.pool = pool;
        this.place = pool.place();
        this.current = first;
        this.begunAt = first.since();
    }

    void start() {
        pool.add(this);
        pools.carries(current, this);
        Threads.connection(this::run);
    }

    synchronized long idleSince() {
        return idleSince;
    }

    /** From when on no late answer is to be feared: see {@link #SETTLING}. */
    synchronized long settledAt() {
        return heard ? idleSince + SETTLING : idleSince;
    }

    /** False once nothing new may be sent on it. */
    boolean holds() {
        return link.holds();
    }

    /**
     * Takes an exchange on an idle connection, to be written at a moment; false if it has ended meanwhile. On the event
     * loop.
     */
    boolean begin(Exchange exchange, long at) {
        if (!link.holds()) {
            close();
            return false;
        }
        pools.carries(exchange, this); // first: the connection's end may come at any moment and take it back
        boolean ended;
        synchronized (this) {
            ended = closed;
            if (!ended) {
                current = exchange;
                writing = false;
                written = false;
                begunAt = at;
                idleFor = at - idleSince;
            }
        }
        if (ended) {
            pools.carriesNoMore(exchange, this);
            return false;
        }
        if (at > pools.now()) {
            pools.runAt(at, () -> post(exchange));
        } else {
            post(exchange);
        }
        return true;
    }

    private void post(Exchange exchange) {
        // The host has answered all that was written before, so this finds the send buffer empty and waits for nobody.
        if (current() == exchange && !pools.write(() -> write(exchange))) {
            close();
        }
    }

    private void write(Exchange exchange) {
        try {
            ByteBuffer head = exchange.head(place.host(), pools.now());
            boolean goes;
            boolean strays;
            synchronized (this) {
                if (closed || current != exchange) {
                    return;
                }
                goes = goes(exchange);
                strays = goes && heard && strays();
                writing = goes && !strays;
                current = goes ? exchange : null;
            }
            if (strays) {
                Logger.debug("endpoint {} sent something unasked", pool.name);
                close(true);
                return;
            }
            if (!goes) {
                pools.carriesNoMore(exchange, this);
                keep();
                pools.withheld(exchange.request());
                return;
            }
            link.write(head, exchange.body());
            synchronized (this) {
                written |= current == exchange;
            }
        } catch (IOException e) {
            boolean cut;
            synchronized (this) {
                cut = current == exchange;
                writing &= !cut; // its last byte is not out, nor will be
            }
            close(!cut);
        }
    }

    /**
     * True if something has come that nobody asked for yet: read or not, it is no answer to what is about to be
     * written.
     */
    private boolean strays() {
        return link.unread() || fed; // in this order: what is no longer in the one is in the other
    }

    /**
     * The last look. A word that gives a request up goes to any host; all else to none that takes nothing new, or is
     * elsewhere by now.
     */
    private boolean goes(Exchange exchange) {
        UpstreamRequest request = exchange.request();
        return exchange.cancels()
                || (wanted() && request.preSendCheck().maySendFirstByte(request, pools.now(), heard ? 0 : pools.dialLimit()));
    }

    private boolean wanted() {
        return pool.takes() && pool.place() == place;
    }

    /** Kept for what comes, unless nothing may come. */
    private void keep() {
        if (wanted()) {
            pool.release(this);
        } else {
            close();
        }
    }

    private void run() {
        try {
            if (!dial()) {
                return;
            }
            Exchange first;
            synchronized (this) {
                up = true;
                idleSince = pools.now();
                first = current;
            }
            if (first == null) {
                keep();
            } else {
                write(first);
            }
            for (int n = link.read(parser.room()); n >= 0; n = link.read(parser.room())) {
                fed = true;
                parser.filled(n);
                take();
                fed = false;
            }
            if (parser.end()) {
                answered(parser.take());
            }
        } catch (IOException e) {
            Logger.debug("endpoint {} at {}: {}", pool.name, place.address(), e.getMessage());
        } catch (HttpException e) {
            Logger.warn("{} answered what is no HTTP: {}", place.address(), e.getMessage());
        } finally {
            close(true);
        }
    }

    /** False if the connection was given up before it had a socket. */
    private boolean dial() throws IOException {
        Connection made = pools.unconnected(pool);
        synchronized (this) {
            if (!closed) {
                link = made;
            }
        }
        if (link == null) {
            made.close();
            return false;
        }
        long from = pools.now();
        made.connect(place.address(), pools.dialMillis());
        made.ready();
        Logger.debug("endpoint {} connected in {} us", pool.name, pools.now() - from);
        return true;
    }

    private synchronized Exchange current() {
        return current;
    }

    private synchronized boolean asked() {
        return current != null && writing;
    }

    private void take() throws HttpException, IOException {
        do {
            if (!asked()) {
                throw new IOException("bytes between exchanges");
            }
            if (parser.whole()) {
                HttpResponse response = parser.take();
                if (response.status() >= 200) {
                    answered(response);
                }
                parser.reuse(true);
            }
        } while (parser.more());
    }

    private void answered(HttpResponse response) throws IOException {
        Exchange exchange;
        boolean begins;
        synchronized (this) {
            exchange = current;
            if (exchange == null) {
                return;
            }
            current = null;
            begins = !heard;
            heard = true;
            idleSince = pools.now();
        }
        reused(false);
        timed(exchange, begins);
        pools.carriesNoMore(exchange, this);
        if (exchange.cancels()) {
            Logger.debug(
                    "endpoint {} answered the cancellation of {}: {}",
                    pool.name,
                    exchange.request().requestId(),
                    response.status());
        }
        boolean turnedAway = "1".equals(response.headers().get("X-Turned-Away"));
        if (response.status() == 202 && !exchange.cancels()) {
            pools.accepted(exchange);
        } else {
            boolean never = turnedAway && (response.status() == 503 || response.status() == 504);
            pools.answered(
                    exchange,
                    never ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR,
                    pools.pressure.load(response.headers()));
        }
        if (!response.keepAlive()) {
            throw new IOException("closed by its last answer");
        }
        if (parser.more() || pool.place() != place) {
            throw new IOException("answered twice at once, or by a process that is gone");
        }
        fed = false; // nothing is left of it, and another may begin at once
        pool.release(this);
    }

    /** Tells how long the answer took, unless it is to a word, or the first after a dial for another one. */
    private void timed(Exchange exchange, boolean begins) {
        long took = idleSince - begunAt;
        if (!exchange.cancels() && begins == idleFor < 0) {
            if (begins) {
                pools.dialTime.addNewConnectionSample(took);
            } else {
                pools.dialTime.addReusedConnectionSample(took);
            }
        }
    }

    private void reused(boolean broke) {
        if (idleFor >= 0) {
            pool.reused(pools.now(), idleFor, broke);
        }
    }

    /** True if a request was written, as the first here: the host may still be at the handshake. */
    synchronized boolean shakesHandsFor(UpstreamRequest request) {
        return current != null && current.request() == request && writing && !heard;
    }

    /** False if it carries this and nothing of it was written. */
    synchronized boolean begun(UpstreamRequest request) {
        return current == null || current.request() != request || writing;
    }

    /**
     * Takes an upstream request back if nothing of it was written, without an end of it; the connection stays, or its
     * dial goes on.
     */
    boolean withhold(UpstreamRequest request) {
        boolean idle;
        synchronized (this) {
            if (current == null || current.request() != request || writing) {
                return false;
            }
            pools.carriesNoMore(current, this);
            current = null;
            idle = up && !closed;
        }
        if (idle) {
            keep();
        }
        return true;
    }

    /** Closes it without an end of what it carries. */
    Dropped drop(UpstreamRequest request) {
        Dropped dropped;
        synchronized (this) {
            if (current == null || current.request() != request) {
                return Dropped.NOT_CARRIED;
            }
            pools.carriesNoMore(current, this);
            current = null;
            dropped = writing ? Dropped.WRITTEN : Dropped.UNWRITTEN;
        }
        close();
        return dropped;
    }

    void closeIfStuck(long now) {
        boolean stuck;
        synchronized (this) {
            // A machine that is cut off says nothing: neither a write, which may have to wait for its dial, nor a wait
            // may last for good.
            stuck = current != null
                    && ((!written && now - begunAt > WRITE_LIMIT + (heard ? 0 : pools.dialLimit()))
                            || now > current.answerBy());
        }
        if (stuck) {
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
    private void close(boolean broke) {
        Exchange exchange;
        AttemptOutcome outcome;
        boolean elsewhere;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            exchange = current;
            elsewhere = broke && exchange != null && !writing && idleFor >= 0;
            current = elsewhere ? exchange : null; // until the loop has taken it, it may still be given up
            outcome = !writing || (!written && !broke)
                    ? AttemptOutcome.CONNECT_FAILED
                    : broke && idleFor >= 0 ? AttemptOutcome.STALE_CONNECTION : AttemptOutcome.RESET;
        }
        if (exchange != null && Logger.isDebugEnabled()) {
            Logger.debug(
                    "endpoint {} connection closed under {} {}: {}, {}",
                    pool.name,
                    exchange.cancels() ? "the cancellation of" : "request",
                    exchange.request().requestId(),
                    broke ? "broken" : "given up",
                    elsewhere ? "goes by another" : outcome);
        }
        pool.remove(this);
        try {
            if (link != null) {
                link.close();
            }
        } catch (IOException e) {
            Logger.debug("{}: {}", place.address(), e.getMessage());
        }
        if (elsewhere) {
            pools.elsewhere(this::taken);
        } else if (exchange != null) {
            // It broke or fell silent under an exchange: those idle to that host are no better, as far as is known, or
            // for as long.
            pool.closeIdle(outcome == AttemptOutcome.STALE_CONNECTION ? begunAt - idleFor + 1 : 0);
            pools.carriesNoMore(exchange, this);
            if (outcome == AttemptOutcome.STALE_CONNECTION) {
                reused(true);
            }
            pools.failed(exchange, outcome);
        }
    }

    /** What it carried as it ended and nobody gave up since, null if there is none. */
    private Exchange taken() {
        Exchange exchange;
        synchronized (this) {
            exchange = current;
            current = null;
        }
        if (exchange != null) {
            pools.carriesNoMore(exchange, this);
        }
        return exchange;
    }
}
