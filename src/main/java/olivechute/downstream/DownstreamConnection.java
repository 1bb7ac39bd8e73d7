package olivechute.downstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.downstream.IdleConnections.Kind;
import olivechute.log.RequestLogFields;
import olivechute.net.Connection;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/**
 * One client's or upstream host's connection to this node. Its thread reads, so that a hang-up shows at once: also
 * behind a request that waits for its answer, where what comes meanwhile is kept, at most as much as one message may
 * take, or thrown away. Only its reader ends it between messages, as only the reader knows that it has none in hand:
 * others ask it to, by ending the input.
 */
final class DownstreamConnection {
    /** What surely fits in the send buffer, whether its peer reads or not. */
    private static final int SURE = Connection.SEND_BUFFER / 2;

    private static final long NEVER = Long.MAX_VALUE;
    /** A peer that reads nothing for so long holds up a writer, and is given up. */
    private static final long WRITE_LIMIT_US = 500_000;

    final DownstreamServer front;
    private final Connection link;
    private final ConnectionReader reader;
    private PeerIdentity visitor; // its own thread's
    private final IdleConnections.Place<DownstreamConnection> place = new IdleConnections.Place<>(this);
    final ConnectionState state; // guarded by this, as the rest
    private HttpClientStream stream;
    private HttpClientStream answering; // whose answer is being written, null while none is
    private Runnable refusedWrite; // of an answer, while no thread is granted for it
    private boolean news; // it brought news
    boolean pipelined; // it sent a request before it had the answer to the one before
    volatile boolean lastAnswerDue; // the next answer is the last
    private long answered; // bytes of answers so far
    private long waits = NEVER; // since when an answer is being written that may wait for its peer

    DownstreamConnection(DownstreamServer front, Connection link, PeerIdentity.Door door) {
        this.front = front;
        this.link = link;
        this.reader = new ConnectionReader(this, link, door);
        this.state = new ConnectionState(front.loop.now());
        front.spares.put(place, Kind.UNUSED, state.acceptedAtUs());
    }

    /** Says what it is worth, now that it carries nothing. Guarded by this. */
    void spare(Kind kind, long from) {
        if (!state.isClosed()) {
            front.spares.put(place, kind, from);
        }
    }

    void spareBetween() {
        spare(news ? Kind.NEWS : Kind.BETWEEN, state.sinceUs());
    }

    void start() {
        try {
            front.threads.run(reader);
        } catch (OutOfMemoryError e) { // no thread to be had
            close(CloseReason.NO_THREAD);
            throw e;
        }
    }

    boolean keeps() {
        return front.keeps() && !lastAnswerDue;
    }

    synchronized long since() {
        return state.sinceUs();
    }

    /** True once a message has begun on it. */
    synchronized boolean used() {
        return state.isUsed();
    }

    /** It carries something: it goes for nobody. */
    void notSpare() {
        front.spares.remove(place);
    }

    /** Who is on it, as its reader found; for the reader's thread. */
    void visitor(PeerIdentity found) {
        visitor = found;
    }

    /** Who is on it; for its reader's thread. */
    PeerIdentity visitor() {
        return visitor;
    }

    /** False once nothing new may be taken from who is on it. */
    boolean holds() {
        return link.holds();
    }

    synchronized boolean isAskedToEnd() {
        return state.endReason() != null;
    }

    /** False if it was finished or closed before. Guarded by this. */
    boolean finishing() {
        boolean first = state.finish(front.loop.now());
        if (first) {
            if (state.endReason() != CloseReason.ROOM_NEEDED) { // else it has gone to make room already
                spare(Kind.REJECTED, state.sinceUs());
            }
            notifyAll();
        }
        return first;
    }

    /** This connection brought news; called by its own thread. */
    synchronized void broughtNews() {
        news = true;
    }

    /** A stream is open on this connection; called by its own thread. False if the connection has ended. */
    synchronized boolean opened(HttpClientStream opened) {
        stream = state.isClosed() ? null : opened;
        return stream != null;
    }

    void post(ProxyEvent event) {
        front.loop.post(event);
    }

    /**
     * Writes the answer to this stream once the turn is over, unless the client has gone. On the event loop. Where the
     * answer might wait for a client that does not read, a writer does it.
     */
    void reply(ByteBuffer head, ByteBuffer body, boolean keep) {
        boolean surely;
        boolean mayWait;
        synchronized (this) {
            if (state.isClosed()) {
                return;
            }
            answering = stream;
            stream = null;
            answered += head.remaining() + body.remaining();
            // A client that sends its next request when it has the answer to the last reads; one that does not wait may
            // not.
            mayWait = answered > SURE;
            surely = !mayWait || (!pipelined && !front.loop.onLoopThread());
        }
        Runnable write = () -> write(head, body, keep, mayWait);
        if (surely) {
            front.loop.defer(write);
        } else {
            offer(write);
        }
    }

    /** Has a writer write an answer; where none is granted, the next sweep tries again. */
    private void offer(Runnable write) {
        if (front.writers.offer(write)) {
            return;
        }
        HttpClientStream lost = null;
        synchronized (this) {
            if (state.isClosed()) {
                lost = answering;
            } else {
                refusedWrite = write;
            }
        }
        if (lost != null) {
            lost.out();
        }
    }

    private void offerAgain() {
        Runnable write;
        synchronized (this) {
            write = refusedWrite;
            refusedWrite = null;
        }
        if (write != null) {
            offer(write);
        }
    }

    private void write(ByteBuffer head, ByteBuffer body, boolean keep, boolean mayWait) {
        HttpClientStream owed = answering; // until this ends, nobody else sets it
        try {
            if (mayWait) {
                synchronized (this) {
                    waits = front.loop.now(); // not before: what this node is late with is not its peer's fault
                }
            }
            link.write(head, body);
            boolean goesOn;
            synchronized (this) {
                goesOn = keep && !lastAnswerDue;
                answering = null;
                waits = NEVER;
                if (goesOn) {
                    state.onAnswered(front.loop.now());
                    spareBetween();
                    notifyAll();
                } else {
                    finishing(); // in one step: what waits behind it must not be taken
                }
            }
            if (!goesOn) {
                link.finish();
            }
        } catch (IOException e) {
            Logger.debug("answer to request {} not written: {}", owed.id, e.getMessage());
            close(CloseReason.WRITE_FAILED);
        } finally {
            owed.out();
        }
    }

    /**
     * Has its reader end it if it is between requests and nothing has come on it; true if it will. What its reader has
     * in hand by then is answered first; a request that crosses the end stays unread, and its client sends it again.
     */
    boolean endIfIdle(CloseReason reason) {
        synchronized (this) {
            if (link.unread() || !state.askToEnd(reason, front.loop.now())) {
                return false;
            }
            lastAnswerDue = true;
            front.spares.remove(place); // it goes already
        }
        link.endInput();
        return true;
    }

    /** Has its reader end it, whatever comes on it; a message that is not whole is refused. */
    void end() {
        if (!giveUpMessage(0)) {
            endIfIdle(CloseReason.DRAINING);
        }
    }

    /** True once nothing more will be taken from it, and what is out had since that moment to arrive. */
    synchronized boolean finishedBefore(long moment) {
        return state.finishedBefore(moment);
    }

    /**
     * Makes room: closes it if its last answer is out, gives up a message that is stuck, has its reader end it between
     * messages. False if it carries what is owed an answer, a message that has just begun, or bytes not read yet.
     */
    boolean closeIfSpare() {
        boolean finished;
        synchronized (this) {
            finished = state.isFinished();
        }
        if (finished) {
            close(CloseReason.ROOM_NEEDED);
            return true;
        }
        if (surelyWrites() && giveUpMessage(ConnectionState.SETTLED_US)) {
            close(CloseReason.ROOM_NEEDED);
            return true;
        }
        return endIfIdle(CloseReason.ROOM_NEEDED);
    }

    /** Whether a short answer waits for nobody. */
    private synchronized boolean surelyWrites() {
        return answered <= SURE;
    }

    /**
     * Answers a message that has been under way for longer than this, as its client may have sent the rest of it by
     * now; false if there is none.
     */
    private boolean giveUpMessage(long longestUs) {
        synchronized (this) {
            if (link.unread() || !state.giveUpMessage(longestUs, front.loop.now())) {
                return false;
            }
            spare(Kind.REJECTED, state.sinceUs());
            notifyAll();
        }
        try {
            link.write(ByteBuffer.wrap(HttpClientStream.refusal(0, false)));
            link.finish();
        } catch (IOException e) {
            close(CloseReason.WRITE_FAILED);
        }
        return true;
    }

    /**
     * Ends it if a message, a write that may wait for its peer, or what follows its last answer takes too long; an
     * answer that no writer was granted for is tried again first.
     */
    void endIfStalled(long now) {
        offerAgain();
        boolean over;
        boolean peerReadsNothing;
        boolean stalled;
        boolean unused;
        synchronized (this) {
            over = state.isOver(now);
            peerReadsNothing = waits < now - WRITE_LIMIT_US;
            stalled = state.isStalled(now);
            unused = state.isUnused(now);
        }
        if (over) {
            close(CloseReason.AFTER_LAST_ANSWER);
        } else if (peerReadsNothing) {
            close(CloseReason.PEER_READS_NOTHING);
        } else if (stalled) {
            front.writers.offer(() -> giveUpMessage(ConnectionState.STALLED_US)); // else with the next sweep
        } else if (unused) {
            endIfIdle(CloseReason.UNUSED);
        }
    }

    void close(CloseReason reason) {
        HttpClientStream gone;
        HttpClientStream unwritten;
        synchronized (this) {
            if (!state.close()) {
                return;
            }
            unwritten = refusedWrite == null ? null : answering;
            refusedWrite = null;
            gone = stream;
            stream = null;
            if (gone != null) {
                gone.left();
            }
            notifyAll();
        }
        log(reason, gone);
        release();
        if (gone != null) {
            gone.gone();
        }
        if (unwritten != null) {
            unwritten.out();
        }
    }

    private void log(CloseReason reason, HttpClientStream unanswered) {
        if (unanswered != null && !reason.isByClient()) {
            RequestLogFields.logClosedUnderRequest(
                    unanswered.id, reason.name(), front.loop.now() - state.acceptedAtUs());
        } else if (Logger.isDebugEnabled()) {
            String request = unanswered == null ? "no request" : unanswered.id;
            Logger.debug("downstream connection closed: {}, open: {}", reason, request);
        }
    }

    private void release() {
        front.spares.remove(place);
        front.ended(this);
        try {
            link.close();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }
}
