package olivechute.downstream;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import olivechute.core.Event;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.net.Threads;
import org.tinylog.Logger;

/** One client's or upstream host's connection to this node. Its thread reads, so that a hang-up shows at once. */
final class DownstreamConnection {
    private static final int SEND_BUFFER = 128 * 1024;      // takes a whole answer
    private static final int DISCARD = 256 * 1024;

    private final HttpFront front;
    private final Socket socket;
    private final RequestParser parser = new RequestParser();
    private HttpStream stream;          // guarded by this, as the rest
    private boolean writing;
    private boolean midway;
    private boolean closed;
    private long messageSince;
    private long since;                 // its last change of state

    DownstreamConnection(HttpFront front, Socket socket) {
        this.front = front;
        this.socket = socket;
        this.since = front.loop.now();
    }

    void start() {
        try {
            Threads.start("downstream", this::run);
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
        return messageSince > 0;
    }

    synchronized boolean idle() {
        return stream == null && !writing && !midway;
    }

    private void run() {
        try {
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SEND_BUFFER);
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4096];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                take(buffer, n);
            }
        } catch (IOException | InterruptedException e) {
            Logger.debug(e.getMessage());
        } catch (HttpException e) {
            reject(e);
        } finally {
            close();
        }
    }

    /** Feeds the parser; what comes before the answer to an earlier request waits here. */
    private void take(byte[] buffer, int n) throws HttpException, IOException, InterruptedException {
        for (int at = 0; at < n;) {
            synchronized (this) {
                while (!closed && (stream != null || writing)) {
                    wait();
                }
                if (closed) {
                    return;
                }
                since = front.loop.now();
                messageSince = midway ? messageSince : since;
                midway = true;
            }
            at += parser.feed(buffer, at, n - at);
            if (parser.awaitsGoOn()) {
                socket.getOutputStream().write(MessageWriter.response(100, null, true));
            }
            if (parser.complete()) {
                HttpRequest message = parser.take();
                byte[] reply = front.route(message, this);
                if (reply != null) {
                    socket.getOutputStream().write(reply);
                    if (!message.keepAlive() || !keeps()) {
                        throw new IOException("closed by its last answer");
                    }
                }
            }
            synchronized (this) {
                midway = parser.midway();
                since = front.loop.now();
            }
        }
    }

    /** Answers what is no HTTP and reads on a little: closing on unread bytes would cut the answer off. */
    private void reject(HttpException broken) {
        try {
            socket.getOutputStream().write(HttpFront.text(broken.status, broken.getMessage(), false));
            socket.shutdownOutput();
            socket.setSoTimeout(500);
            byte[] rest = new byte[4096];
            int n = 0;
            for (int seen = 0; n >= 0 && seen < DISCARD; seen += n) {
                n = socket.getInputStream().read(rest);
            }
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }

    /** A stream is open on this connection; called by its own thread. */
    synchronized void opened(HttpStream opened) {
        stream = opened;
    }

    void post(Event event) {
        front.loop.post(event);
    }

    /** Writes the answer to the open stream, by the writers; false if the client has gone. On the event loop. */
    boolean reply(byte[] bytes, boolean keep) {
        synchronized (this) {
            if (closed) {
                return false;
            }
            stream = null;
            writing = true;
            since = front.loop.now();
        }
        if (!front.writers.offer(() -> write(bytes, keep))) {
            close();
        }
        return true;
    }

    private void write(byte[] bytes, boolean keep) {
        try {
            socket.getOutputStream().write(bytes);
            if (!keep) {
                close();
                return;
            }
            synchronized (this) {
                writing = false;
                since = front.loop.now();
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

    /** Closes it if a message has been under way since before the one moment, or a write since before the other. */
    void closeIfStalled(long messageBefore, long writeBefore) {
        boolean stalled;
        synchronized (this) {
            stalled = midway && messageSince < messageBefore || writing && since < writeBefore;
        }
        if (stalled) {
            close();
        }
    }

    private void close() {
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
        front.ended(this);
        try {
            socket.close();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }
}
