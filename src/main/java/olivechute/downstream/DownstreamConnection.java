package olivechute.downstream;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import olivechute.core.Event;
import olivechute.downstream.Spares.Kind;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.net.Link;
import olivechute.net.Threads;
import org.tinylog.Logger;

/** One client's or upstream host's connection to this node. Its thread reads, so that a hang-up shows at once. */
final class DownstreamConnection {
    /** What surely fits in the send buffer, whether its peer reads or not. */
    private static final int SURE = Link.SEND_BUFFER / 2;
    private static final long NEVER = Long.MAX_VALUE;
    static final long MESSAGE = 100_000;                    // how long one is left to come before it may be shed
    private static final long LINGER = 1_500_000;           // how long a rejected message is read on
    private static final int DISCARD = 64 * 1024 * 1024;    // and how much of it

    private final HttpFront front;
    private final Link link;
    private final Visitor.Door door;
    private Visitor visitor;            // its own thread's
    private final RequestParser parser = new RequestParser();
    private final Spares.Place<DownstreamConnection> place = new Spares.Place<>(this);
    private HttpStream stream;          // guarded by this, as the rest
    private boolean writing;
    private boolean midway;
    private boolean used;               // a message has begun on it
    private boolean news;               // it brought news
    private boolean rejected;           // its last answer is out, the rest is thrown away
    private boolean closed;
    private boolean pipelined;          // it sent a request before it had the answer to the one before
    private long answered;              // bytes of answers so far
    private final long acceptedAt;
    private long messageSince;
    private long since;                 // its last change of state
    private long waits = NEVER;         // since when an answer is being written that may wait for its peer

    DownstreamConnection(HttpFront front, Link link, Visitor.Door door) {
        this.front = front;
        this.link = link;
        this.door = door;
        this.acceptedAt = front.loop.now();
        this.since = acceptedAt;
        front.spares.put(place, Kind.UNUSED, acceptedAt);
    }

    /** Says what it is worth, now that it carries nothing. Guarded by this. */
    private void spare(Kind kind, long from) {
        if (!closed) {
            front.spares.put(place, kind, from);
        }
    }

    private void spareBetween() {
        spare(news ? Kind.NEWS : Kind.BETWEEN, since);
    }

    void start() {
        try {
            Threads.connection(this::run);
        } catch (OutOfMemoryError e) {      // no thread to be had
            close();
            throw e;
        }
    }

    boolean keeps() {
        return front.keeps();
    }

    synchronized long since() {
        return since;
    }

    /** True once a message has begun on it. */
    synchronized boolean used() {
        return used;
    }

    /** A message that began a moment ago may be about to open a stream or bring news. */
    private boolean carriesNothing() {
        return !closed && stream == null && !writing && !(midway && front.loop.now() - messageSince < MESSAGE);
    }

    /** Who is on it; for its own thread. */
    Visitor visitor() {
        return visitor;
    }

    /** False once nothing new may be taken from who is on it. */
    boolean holds() {
        return link.holds();
    }

    synchronized boolean idle() {
        return stream == null && !writing && !midway;
    }

    private void run() {
        try {
            link.ready();
            visitor = door.visitor(link);
            for (int n = link.read(parser.room()); n >= 0; n = link.read(parser.room())) {
                parser.filled(n);
                take();
            }
        } catch (IOException | InterruptedException e) {
            Logger.debug(e.getMessage());
        } catch (HttpException e) {
            reject(e);
        } finally {
            close();
        }
    }

    /** Reads on in what came; what comes before the answer to an earlier request waits here. */
    private void take() throws HttpException, IOException, InterruptedException {
        do {
            synchronized (this) {
                pipelined |= stream != null || writing;
                while (!closed && (stream != null || writing)) {
                    wait();
                }
                if (closed) {
                    return;
                }
                since = front.loop.now();
                // The first message's time runs from the connection on: else silence would add to it.
                messageSince = midway ? messageSince : used ? since : acceptedAt;
                used = true;
                midway = true;
            }
            boolean whole = parser.whole();
            if (parser.awaitsGoOn()) {
                link.write(ByteBuffer.wrap(MessageWriter.response(100, null, true)));
            }
            if (whole) {
                HttpRequest message = parser.take();
                HttpFront.Reply reply = front.route(message, this);
                if (reply != null) {
                    parser.reuse(true);
                    link.write(ByteBuffer.wrap(reply.bytes()));
                    if (!reply.keep()) {
                        finish(parser.more());
                        throw new IOException("closed by its last answer");
                    }
                } else {
                    parser.reuse(false);        // its body is the stream's now
                }
            }
            synchronized (this) {
                midway = parser.midway();
                since = front.loop.now();
                if (midway) {
                    spare(Kind.MIDWAY, messageSince);       // from its beginning on, however many pieces it comes in
                } else if (stream == null && !writing) {
                    spareBetween();
                }
            }
        } while (parser.more());
    }

    /** Answers what is no HTTP. */
    private void reject(HttpException broken) {
        try {
            link.write(ByteBuffer.wrap(HttpFront.text(broken.status, broken.getMessage(), false)));
            finish(true);
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }

    /** After the last answer: reads on for a while what still comes, as closing on unread bytes would cut it off. */
    private void finish(boolean more) throws IOException {
        synchronized (this) {
            rejected = true;
            midway = false;
            spare(Kind.REJECTED, since);
        }
        if (!more && !link.unread()) {
            return;
        }
        link.finish();
        Socket socket = link.socket();
        byte[] rest = new byte[16 * 1024];
        long end = front.loop.now() + LINGER;
        int n = 0;
        for (int seen = 0; n >= 0 && seen < DISCARD; seen += n) {
            long left = (end - front.loop.now()) / 1000;
            if (left <= 0) {
                return;
            }
            socket.setSoTimeout((int) left);
            n = socket.getInputStream().read(rest);
        }
    }

    /** This connection brought news; called by its own thread. */
    synchronized void broughtNews() {
        news = true;
    }

    /** A stream is open on this connection; called by its own thread. False if the connection has ended. */
    synchronized boolean opened(HttpStream opened) {
        stream = closed ? null : opened;
        front.spares.remove(place);
        return !closed;
    }

    void post(Event event) {
        front.loop.post(event);
    }

    /**
     * Writes the answer to the open stream once the turn is over; false if the client has gone. On the event loop. Where the
     * answer might wait for a client that does not read, a writer does it.
     */
    boolean reply(ByteBuffer head, ByteBuffer body, boolean keep) {
        boolean surely;
        boolean mayWait;
        synchronized (this) {
            if (closed) {
                return false;
            }
            stream = null;
            writing = true;
            since = front.loop.now();
            answered += head.remaining() + body.remaining();
            // A client that sends its next request when it has the answer to the last reads; one that does not wait may not.
            mayWait = answered > SURE;
            surely = !mayWait || !pipelined && !front.loop.onOwnThread();
        }
        Runnable write = () -> write(head, body, keep, mayWait);
        if (surely) {
            front.loop.after(write);
        } else if (!front.writers.offer(write)) {
            close();
        }
        return true;
    }

    private void write(ByteBuffer head, ByteBuffer body, boolean keep, boolean mayWait) {
        try {
            if (mayWait) {
                synchronized (this) {
                    waits = front.loop.now();       // not before: what this node is late with is not its peer's fault
                }
            }
            link.write(head, body);
            if (!keep) {
                link.leave();
                close();
                return;
            }
            synchronized (this) {
                writing = false;
                waits = NEVER;
                since = front.loop.now();
                spareBetween();
                notifyAll();
            }
        } catch (IOException e) {
            close();
        }
    }

    /** Closes it if it is between requests; true if it did. */
    boolean closeIfIdle() {
        synchronized (this) {
            if (!idle() || closed) {
                return false;
            }
            closed = true;      // in one step: no request may be taken in between
        }
        release();
        return true;
    }

    /**
     * Closes it if it carries neither a stream nor an answer, nor bytes that its thread has not come to yet; true if it
     * did.
     */
    boolean closeIfSpare() {
        synchronized (this) {
            if (!carriesNothing() || !rejected && link.unread()) {
                return false;
            }
            closed = true;
        }
        release();
        return true;
    }

    /** Closes it if a message has been under way since before the one moment, or a write that may wait since before the other. */
    void closeIfStalled(long messageBefore, long writeBefore) {
        boolean stalled;
        synchronized (this) {
            stalled = midway && messageSince < messageBefore || waits < writeBefore || !used && acceptedAt < messageBefore;
        }
        if (stalled && (used() || !link.unread())) {
            close();
        }
    }

    void close() {
        HttpStream gone;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            gone = stream;
            stream = null;
            notifyAll();
        }
        release();
        if (gone != null) {
            gone.gone();
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
