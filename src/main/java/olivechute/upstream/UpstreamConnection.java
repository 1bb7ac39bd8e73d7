package olivechute.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.core.UpstreamRequest;
import olivechute.decision.DispatchApi.Outcome;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.ResponseParser;
import olivechute.net.Link;
import olivechute.net.Threads;
import org.tinylog.Logger;

/**
 * One connection to an upstream host. Its thread dials, writes the first exchange and reads from then on, so an end
 * shows at once also while it is idle; later exchanges are written by the writers.
 */
final class UpstreamConnection {
    private static final long WRITE_LIMIT = 1_000_000;

    private final HostPools pools;
    private final HostPool pool;
    private volatile Link link;
    private final ResponseParser parser = new ResponseParser();
    private Exchange current;           // guarded by this, as the rest
    private boolean writing;            // some of it may be out
    private boolean written;
    private long begunAt;
    private long idleSince;
    private long idleFor = -1;          // how long it had stood idle before the current exchange; negative on its first
    private boolean closed;

    UpstreamConnection(HostPools pools, HostPool pool, Exchange first) {
        this.pools = pools;
        this.pool = pool;
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

    /** False once nothing new may be sent on it. */
    boolean holds() {
        return link.holds();
    }

    /** Takes an exchange on an idle connection; false if it has ended meanwhile. */
    boolean begin(Exchange exchange) {
        if (!link.holds()) {
            close();
            return false;
        }
        pools.carries(exchange, this);      // first: the connection's end may come at any moment and take it back
        boolean ended;
        synchronized (this) {
            ended = closed;
            if (!ended) {
                current = exchange;
                writing = false;
                written = false;
                begunAt = pools.now();
                idleFor = begunAt - idleSince;
            }
        }
        if (ended) {
            pools.carriesNoMore(exchange, this);
            return false;
        }
        // The host has answered all that was written before, so this finds the send buffer empty and waits for nobody.
        if (!pools.write(() -> write(exchange))) {
            close();
        }
        return true;
    }

    private void write(Exchange exchange) {
        try {
            ByteBuffer head = exchange.head(pool.host, pools.now());
            synchronized (this) {
                if (closed || current != exchange) {
                    return;
                }
                writing = true;
            }
            link.write(head, exchange.body());
            synchronized (this) {
                written |= current == exchange;
            }
        } catch (IOException e) {
            synchronized (this) {
                writing &= current != exchange;     // its last byte is not out, nor will be
            }
            close(true);
        }
    }

    private void run() {
        try {
            if (!dial()) {
                return;
            }
            write(current());
            for (int n = link.read(parser.room()); n >= 0; n = link.read(parser.room())) {
                parser.filled(n);
                take();
            }
            if (parser.end()) {
                answered(parser.take());
            }
        } catch (IOException e) {
            Logger.debug("host {} at {}: {}", pool.name, pool.address, e.getMessage());
        } catch (HttpException e) {
            Logger.warn("{} answered what is no HTTP: {}", pool.address, e.getMessage());
        } finally {
            close(true);
        }
    }

    /** False if the connection was given up before it had a socket. */
    private boolean dial() throws IOException {
        Link made = pools.unconnected(pool);
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
        made.connect(pool.address, pools.dialMillis());
        made.ready();
        Logger.debug("host {} dialled in {} us", pool.name, pools.now() - from);
        return true;
    }

    private synchronized Exchange current() {
        return current;
    }

    private void take() throws HttpException, IOException {
        do {
            if (current() == null) {
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
        synchronized (this) {
            exchange = current;
            if (exchange == null) {
                return;
            }
            current = null;
            idleSince = pools.now();
        }
        reused(false);
        pools.carriesNoMore(exchange, this);
        if (exchange.cancels()) {
            Logger.debug("host {} told to give up {}: {}", pool.name, exchange.request().stream(), response.status());
        }
        boolean turnedAway = "1".equals(response.headers().get("X-Turned-Away"));
        if (response.status() == 202 && !exchange.cancels()) {
            pools.accepted(exchange);
        } else {
            boolean never = turnedAway && (response.status() == 503 || response.status() == 504);
            pools.answered(exchange, never ? Outcome.FULL : Outcome.ERROR, pools.pressure.load(response.headers()));
        }
        if (!response.keepAlive()) {
            throw new IOException("closed by its last answer");
        }
        pool.release(this);
    }

    private void reused(boolean broke) {
        if (idleFor >= 0) {
            pool.reused(pools.now(), idleFor, broke);
        }
    }

    /** True if a request was written, as the first here: the host may still be at the handshake. */
    synchronized boolean shakesHandsFor(UpstreamRequest request) {
        return current != null && current.request() == request && writing && idleFor < 0;
    }

    /** Gives up a request that is not accepted yet. */
    void abandon(UpstreamRequest request) {
        Exchange exchange = current();
        if (exchange != null && exchange.request() == request) {
            close();
        }
    }

    /** Closes it without an end of what it carries; true if nothing of that was written, nor will be. */
    boolean drop(UpstreamRequest request) {
        boolean unsent;
        synchronized (this) {
            if (current == null || current.request() != request) {
                return false;
            }
            pools.carriesNoMore(current, this);
            current = null;
            unsent = !writing;
        }
        close();
        return unsent;
    }

    void closeIfStuck(long now) {
        boolean stuck;
        synchronized (this) {
            // A machine that is cut off says nothing: neither a write nor a wait may last for good.
            stuck = current != null && (!written && now - begunAt > WRITE_LIMIT || now > current.answerBy());
        }
        if (stuck) {
            close();
        }
    }

    void close() {
        close(false);
    }

    /**
     * Ends the connection, and what it carries: it never ran where its last byte was not written. Where the peer broke off under a write
     * that is not back yet, the peer may have had all of it.
     */
    private void close(boolean broke) {
        Exchange exchange;
        Outcome outcome;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            exchange = current;
            current = null;
            outcome = !writing || !written && !broke ? Outcome.CONNECT_FAILED : broke && idleFor >= 0 ? Outcome.STALE : Outcome.RESET;
        }
        pool.remove(this);
        try {
            if (link != null) {
                link.close();
            }
        } catch (IOException e) {
            Logger.debug("{}: {}", pool.address, e.getMessage());
        }
        if (exchange != null) {
            // It broke or fell silent under an exchange: those idle to that host are no better, as far as is known, or for as long.
            pool.closeIdle(outcome == Outcome.STALE ? begunAt - idleFor + 1 : 0);
            pools.carriesNoMore(exchange, this);
            if (outcome == Outcome.STALE) {
                reused(true);
            }
            pools.failed(exchange, outcome);
        }
    }
}
