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
    private static final int NONBLOCKING_WRITE_BYTES = Connection.SEND_BUFFER / 2;

    private static final long NOT_WRITING = Long.MAX_VALUE;
    /** A peer that reads nothing for so long holds up a writer, and is given up. */
    private static final long WRITE_TIMEOUT_US = 500_000;

    final DownstreamServer server;
    private final Connection transport;
    private final ConnectionReader reader;
    private PeerIdentity peerIdentity; // its own thread's
    private final IdleConnections.Entry<DownstreamConnection> idleEntry = new IdleConnections.Entry<>(this);
    final ConnectionState state; // guarded by this, as the rest
    private HttpClientStream stream;
    private HttpClientStream respondingStream; // whose answer is being written, null while none is
    private Runnable pendingWrite; // of an answer, while no thread is granted for it
    private boolean sendsJobStatus; // it brought news
    boolean pipelined; // it sent a request before it had the answer to the one before
    volatile boolean nextResponseIsLast; // the next answer is the last
    private long responseBytes; // bytes of answers so far
    private long blockingWriteSinceUs = NOT_WRITING; // since when an answer is being written that may wait for its peer

    DownstreamConnection(DownstreamServer server, Connection transport, PeerIdentity.Authenticator authenticator) {
        this.server = server;
        this.transport = transport;
        this.reader = new ConnectionReader(this, transport, authenticator);
        this.state = new ConnectionState(server.loop.now());
        server.idleConnections.put(idleEntry, Kind.UNUSED, state.acceptedAtUs());
    }

    /** Says what it is worth, now that it carries nothing. Guarded by this. */
    void markIdle(Kind kind, long sinceUs) {
        if (!state.isClosed()) {
            server.idleConnections.put(idleEntry, kind, sinceUs);
        }
    }

    void markIdleBetweenRequests() {
        markIdle(sendsJobStatus ? Kind.JOB_STATUS_SENDER : Kind.BETWEEN_REQUESTS, state.lastChangeUs());
    }

    void start() {
        try {
            server.connectionThreads.run(reader);
        } catch (OutOfMemoryError e) { // no thread to be had
            close(CloseReason.NO_THREAD);
            throw e;
        }
    }

    boolean allowsKeepAlive() {
        return server.allowsKeepAlive() && !nextResponseIsLast;
    }

    synchronized long lastChangeUs() {
        return state.lastChangeUs();
    }

    /** True once a message has begun on it. */
    synchronized boolean used() {
        return state.isUsed();
    }

    /** It carries something: it goes for nobody. */
    void markBusy() {
        server.idleConnections.remove(idleEntry);
    }

    /** Who is on it, as its reader found; for the reader's thread. */
    void peerIdentity(PeerIdentity identity) {
        peerIdentity = identity;
    }

    /** Who is on it; for its reader's thread. */
    PeerIdentity peerIdentity() {
        return peerIdentity;
    }

    /** False once nothing new may be taken from who is on it. */
    boolean isPeerIdentityValid() {
        return transport.isPeerIdentityValid();
    }

    synchronized boolean isEndRequested() {
        return state.endReason() != null;
    }

    /** False if it was finished or closed before. Guarded by this. */
    boolean beginFinish() {
        boolean finishedHere = state.finish(server.loop.now());
        if (finishedHere) {
            if (state.endReason() != CloseReason.ROOM_NEEDED) { // else it has gone to make room already
                markIdle(Kind.FINISHED, state.lastChangeUs());
            }
            notifyAll();
        }
        return finishedHere;
    }

    /** This connection brought news; called by its own thread. */
    synchronized void onJobStatusReceived() {
        sendsJobStatus = true;
    }

    /** A stream is open on this connection; called by its own thread. False if the connection has ended. */
    synchronized boolean openStream(HttpClientStream newStream) {
        stream = state.isClosed() ? null : newStream;
        return stream != null;
    }

    void post(ProxyEvent event) {
        server.loop.post(event);
    }

    /**
     * Writes the answer to this stream once the turn is over, unless the client has gone. On the event loop. Where the
     * answer might wait for a client that does not read, a writer does it.
     */
    void sendResponse(ByteBuffer head, ByteBuffer body, boolean keepAlive) {
        boolean writeOnEventLoop;
        boolean mayBlock;
        synchronized (this) {
            if (state.isClosed()) {
                return;
            }
            respondingStream = stream;
            stream = null;
            responseBytes += head.remaining() + body.remaining();
            // A client that sends its next request when it has the answer to the last reads; one that does not wait may
            // not.
            mayBlock = responseBytes > NONBLOCKING_WRITE_BYTES;
            writeOnEventLoop = !mayBlock || (!pipelined && !server.loop.onLoopThread());
        }
        Runnable write = () -> write(head, body, keepAlive, mayBlock);
        if (writeOnEventLoop) {
            server.loop.defer(write);
        } else {
            offerWrite(write);
        }
    }

    /** Has a writer write an answer; where none is granted, the next sweep tries again. */
    private void offerWrite(Runnable write) {
        if (server.writers.offer(write)) {
            return;
        }
        HttpClientStream abandonedStream = null;
        synchronized (this) {
            if (state.isClosed()) {
                abandonedStream = respondingStream;
            } else {
                pendingWrite = write;
            }
        }
        if (abandonedStream != null) {
            abandonedStream.onResponseDone();
        }
    }

    private void retryPendingWrite() {
        Runnable write;
        synchronized (this) {
            write = pendingWrite;
            pendingWrite = null;
        }
        if (write != null) {
            offerWrite(write);
        }
    }

    private void write(ByteBuffer head, ByteBuffer body, boolean keepAlive, boolean mayBlock) {
        HttpClientStream writtenStream = respondingStream; // until this ends, nobody else sets it
        try {
            if (mayBlock) {
                synchronized (this) {
                    blockingWriteSinceUs =
                            server.loop.now(); // not before: what this node is late with is not its peer's fault
                }
            }
            transport.write(head, body);
            boolean keepOpen;
            synchronized (this) {
                keepOpen = keepAlive && !nextResponseIsLast;
                respondingStream = null;
                blockingWriteSinceUs = NOT_WRITING;
                if (keepOpen) {
                    state.onResponseSent(server.loop.now());
                    markIdleBetweenRequests();
                    notifyAll();
                } else {
                    beginFinish(); // in one step: what waits behind it must not be taken
                }
            }
            if (!keepOpen) {
                transport.shutdownOutput();
            }
        } catch (IOException e) {
            Logger.debug("answer to request {} not written: {}", writtenStream.requestId, e.getMessage());
            close(CloseReason.WRITE_FAILED);
        } finally {
            writtenStream.onResponseDone();
        }
    }

    /**
     * Has its reader end it if it is between requests and nothing has come on it; true if it will. What its reader has
     * in hand by then is answered first; a request that crosses the end stays unread, and its client sends it again.
     */
    boolean endIfIdle(CloseReason reason) {
        synchronized (this) {
            if (transport.hasUnreadInput() || !state.requestEnd(reason, server.loop.now())) {
                return false;
            }
            nextResponseIsLast = true;
            server.idleConnections.remove(idleEntry); // it goes already
        }
        transport.shutdownInput();
        return true;
    }

    /** Has its reader end it, whatever comes on it; a message that is not whole is refused. */
    void end() {
        if (!abandonMessage(0)) {
            endIfIdle(CloseReason.DRAINING);
        }
    }

    /** True once nothing more will be taken from it, and what is out had since that moment to arrive. */
    synchronized boolean isFinishedSince(long latestUs) {
        return state.isFinishedSince(latestUs);
    }

    /**
     * Makes room: closes it if its last answer is out, gives up a message that is stuck, has its reader end it between
     * messages. False if it carries what is owed an answer, a message that has just begun, or bytes not read yet.
     */
    boolean closeToMakeRoom() {
        boolean finished;
        synchronized (this) {
            finished = state.isFinished();
        }
        if (finished) {
            close(CloseReason.ROOM_NEEDED);
            return true;
        }
        if (canWriteWithoutBlocking() && abandonMessage(ConnectionState.SETTLE_TIME_US)) {
            close(CloseReason.ROOM_NEEDED);
            return true;
        }
        return endIfIdle(CloseReason.ROOM_NEEDED);
    }

    /** Whether a short answer waits for nobody. */
    private synchronized boolean canWriteWithoutBlocking() {
        return responseBytes <= NONBLOCKING_WRITE_BYTES;
    }

    /**
     * Answers a message that has been under way for longer than this, as its client may have sent the rest of it by
     * now; false if there is none.
     */
    private boolean abandonMessage(long maxDurationUs) {
        synchronized (this) {
            if (transport.hasUnreadInput() || !state.abandonMessage(maxDurationUs, server.loop.now())) {
                return false;
            }
            markIdle(Kind.FINISHED, state.lastChangeUs());
            notifyAll();
        }
        try {
            transport.write(ByteBuffer.wrap(HttpClientStream.rejection(0, false)));
            transport.shutdownOutput();
        } catch (IOException e) {
            close(CloseReason.WRITE_FAILED);
        }
        return true;
    }

    /**
     * Ends it if a message, a write that may wait for its peer, or what follows its last answer takes too long; an
     * answer that no writer was granted for is tried again first.
     */
    void endIfStalled(long nowUs) {
        retryPendingWrite();
        boolean lingerOver;
        boolean peerReadsNothing;
        boolean messageOverdue;
        boolean unused;
        synchronized (this) {
            lingerOver = state.isLingerOver(nowUs);
            peerReadsNothing = blockingWriteSinceUs < nowUs - WRITE_TIMEOUT_US;
            messageOverdue = state.isMessageOverdue(nowUs);
            unused = state.isUnused(nowUs);
        }
        if (lingerOver) {
            close(CloseReason.AFTER_LAST_ANSWER);
        } else if (peerReadsNothing) {
            close(CloseReason.PEER_READS_NOTHING);
        } else if (messageOverdue) {
            server.writers.offer(() -> abandonMessage(ConnectionState.MESSAGE_TIMEOUT_US)); // else with the next sweep
        } else if (unused) {
            endIfIdle(CloseReason.UNUSED);
        }
    }

    void close(CloseReason reason) {
        HttpClientStream unansweredStream;
        HttpClientStream unwrittenStream;
        synchronized (this) {
            if (!state.close()) {
                return;
            }
            unwrittenStream = pendingWrite == null ? null : respondingStream;
            pendingWrite = null;
            unansweredStream = stream;
            stream = null;
            if (unansweredStream != null) {
                unansweredStream.markClientDisconnected();
            }
            notifyAll();
        }
        logClose(reason, unansweredStream);
        release();
        if (unansweredStream != null) {
            unansweredStream.clientDisconnected();
        }
        if (unwrittenStream != null) {
            unwrittenStream.onResponseDone();
        }
    }

    private void logClose(CloseReason reason, HttpClientStream unansweredStream) {
        if (unansweredStream != null && !reason.isByClient()) {
            RequestLogFields.logClosedUnderRequest(
                    unansweredStream.requestId, reason.name(), server.loop.now() - state.acceptedAtUs());
        } else if (Logger.isDebugEnabled()) {
            String request = unansweredStream == null ? "no request" : unansweredStream.requestId;
            Logger.debug("downstream connection closed: {}, open: {}", reason, request);
        }
    }

    private void release() {
        server.idleConnections.remove(idleEntry);
        server.onConnectionClosed(this);
        try {
            transport.close();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }
}
