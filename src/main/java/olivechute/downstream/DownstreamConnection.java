package olivechute.downstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.downstream.IdleConnections.Kind;
import olivechute.log.RequestLogFields;
import olivechute.net.Connection;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/**
 * A connection from a client or from an endpoint to this node. Its thread reads all the time, so that a disconnect is
 * noticed at once, also while a request waits for its response. Input that arrives meanwhile is buffered up to the size
 * of one message, or discarded. Only the reader ends the connection between messages, as only the reader knows that no
 * message is being processed; other threads ask it to by ending the input.
 */
final class DownstreamConnection {
    /** A write of this size certainly fits the send buffer, whether the peer reads or not. */
    private static final int NONBLOCKING_WRITE_BYTES = Connection.SEND_BUFFER / 2;

    private static final long NOT_WRITING = Long.MAX_VALUE;
    /**
     * How long a write may block before the connection is closed: a peer that does not read occupies a writer thread.
     */
    private static final long WRITE_TIMEOUT_US = 500_000;

    final DownstreamServer server;
    private final Connection transport;
    private final ConnectionReader reader;
    private PeerIdentity peerIdentity; // only used by the reader's thread
    private final IdleConnections.Entry<DownstreamConnection> idleEntry = new IdleConnections.Entry<>(this);
    final ConnectionState state; // guarded by this, like the fields below
    private HttpClientStream stream;
    private HttpClientStream respondingStream; // the stream whose response is being written, or null
    private Runnable pendingWrite; // a response that found no writer thread
    private boolean sendsJobStatus; // a job status event has arrived on this connection
    private volatile boolean knownPeer; // a valid message has arrived on this connection
    boolean pipelined; // the client has sent a request before the previous response
    volatile boolean nextResponseIsLast; // the connection ends after the next response
    private long responseBytes; // sent in all responses so far
    private long blockingWriteSinceUs = NOT_WRITING; // start of a write that may block

    DownstreamConnection(DownstreamServer server, Connection transport, PeerIdentity.Authenticator authenticator) {
        this.server = server;
        this.transport = transport;
        this.reader = new ConnectionReader(this, transport, authenticator);
        this.state = new ConnectionState(server.loop.now());
        server.idleConnections.put(idleEntry, Kind.UNUSED, state.acceptedAtUs());
    }

    /** Registers the connection as one that may be closed to make room. The caller holds this monitor. */
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
        } catch (OutOfMemoryError e) { // no thread available, or no memory
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

    /** Whether a message has ever begun on this connection. */
    synchronized boolean isUsed() {
        return state.isUsed();
    }

    /** The connection is in use and may not be closed to make room. */
    void markBusy() {
        server.idleConnections.remove(idleEntry);
    }

    /** Sets the identity that the reader established; for the reader's thread. */
    void peerIdentity(PeerIdentity identity) {
        peerIdentity = identity;
    }

    /** The peer's identity; for the reader's thread. */
    PeerIdentity peerIdentity() {
        return peerIdentity;
    }

    /** False once no new message may be accepted from this peer. */
    boolean isPeerIdentityValid() {
        return transport.isPeerIdentityValid();
    }

    synchronized boolean isEndRequested() {
        return state.endReason() != null;
    }

    /**
     * No message is accepted from now on; false if the connection was finished or closed before. The caller holds this
     * monitor.
     */
    boolean beginFinish() {
        boolean finishedHere = state.finish(server.loop.now());
        if (finishedHere) {
            if (state.endReason() != CloseReason.ROOM_NEEDED) { // otherwise it is already closing to make room
                markIdle(Kind.FINISHED, state.lastChangeUs());
            }
            notifyAll();
        }
        return finishedHere;
    }

    /** A job status event arrived on this connection; called by the reader's thread. */
    synchronized void onJobStatusReceived() {
        sendsJobStatus = true;
        knownPeer = true;
    }

    /** A valid request arrived on this connection; called by the reader's thread. */
    void onRequestReceived() {
        knownPeer = true;
    }

    boolean isKnownPeer() {
        return knownPeer;
    }

    synchronized boolean isKnownEndpoint() {
        return sendsJobStatus;
    }

    /** A stream is opened on this connection; called by the reader's thread. False if the connection has ended. */
    synchronized boolean openStream(HttpClientStream newStream) {
        stream = state.isClosed() ? null : newStream;
        return stream != null;
    }

    void post(ProxyEvent event) {
        server.loop.post(event);
    }

    /**
     * Writes the response to the open stream, unless the client has gone. Called on the event loop; the write is
     * deferred until the loop's execution lock is released, or left to a writer thread if it might block on a client
     * that does not read.
     */
    void sendResponse(ByteBuffer head, ByteBuffer body, boolean keepAlive) {
        boolean deferWrite;
        boolean mayBlock;
        synchronized (this) {
            if (state.isClosed()) {
                return;
            }
            respondingStream = stream;
            stream = null;
            respondingStream.reserveResponse(body.remaining());
            responseBytes += head.remaining() + body.remaining();
            // A client that sends its next request only after the last response does read; a client that pipelines may
            // not.
            mayBlock = responseBytes > NONBLOCKING_WRITE_BYTES;
            deferWrite = !mayBlock || (!pipelined && !server.loop.onLoopThread());
        }
        Runnable write = () -> write(head, body, keepAlive, mayBlock);
        if (deferWrite) {
            server.loop.defer(write);
        } else {
            offerWrite(write);
        }
    }

    /** Passes the write of a response to a writer thread; if there is none, the next sweep tries again. */
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
        HttpClientStream writtenStream = respondingStream; // set by nobody else until this write ends
        try {
            if (mayBlock) {
                synchronized (this) {
                    blockingWriteSinceUs =
                            server.loop.now(); // not earlier: a delay of this node is not the peer's fault
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
                    beginFinish(); // in the same step, so that no waiting message is accepted
                }
            }
            if (!keepOpen) {
                transport.shutdownOutput();
            }
        } catch (IOException e) {
            Logger.debug("response to request {} not written: {}", writtenStream.requestId, e.getMessage());
            close(CloseReason.WRITE_FAILED);
        } catch (RuntimeException | Error e) {
            close(CloseReason.WRITE_FAILED); // otherwise the client would wait for a response that never comes
            throw e;
        } finally {
            writtenStream.onResponseDone();
        }
    }

    /**
     * Asks the reader to end the connection if it is between requests and has no unread input; true if the connection
     * will end. A message that the reader is already processing is answered first; a request that arrives while the
     * connection ends stays unread, and its client sends it again.
     */
    boolean endIfIdle(CloseReason reason) {
        synchronized (this) {
            if (transport.hasUnreadInput() || !state.requestEnd(reason, server.loop.now())) {
                return false;
            }
            nextResponseIsLast = true;
            server.idleConnections.remove(idleEntry); // it is already ending
        }
        transport.shutdownInput();
        return true;
    }

    /**
     * Ends the connection because the node shuts down: rejects an incomplete message, or else asks the reader to end
     * the connection if it is idle.
     */
    void end() {
        if (!abandonMessage(0)) {
            endIfIdle(CloseReason.DRAINING);
        }
    }

    /**
     * True once no message will be accepted, and whatever was sent by {@code latestUs} has had time since to arrive.
     */
    synchronized boolean isFinishedSince(long latestUs) {
        return state.isFinishedSince(latestUs);
    }

    /**
     * Makes room: closes the connection if its last response is sent, abandons an incomplete message that has stalled,
     * and asks the reader to end the connection between messages. False if a response is due, a message has just begun
     * or input is unread.
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

    /** Whether a short response can be written without blocking. */
    private synchronized boolean canWriteWithoutBlocking() {
        return responseBytes <= NONBLOCKING_WRITE_BYTES;
    }

    /**
     * Rejects a message that has been incomplete for longer than {@code maxDurationUs}. A response is sent because the
     * client may have sent the rest by now. False if there is no such message.
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
     * Ends the connection if a message, a write that may block, or the input after the last response takes too long.
     * First retries a response that found no writer thread. Called by each sweep.
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
            server.writers.offer(
                    () -> abandonMessage(ConnectionState.MESSAGE_TIMEOUT_US)); // if refused, the next sweep tries again
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
        release();
        if (unansweredStream != null) {
            unansweredStream.clientDisconnected();
        }
        if (unwrittenStream != null) {
            unwrittenStream.onResponseDone();
        }
        logClose(reason, unansweredStream);
    }

    private void logClose(CloseReason reason, HttpClientStream unansweredStream) {
        if (unansweredStream != null && !reason.isByClient()) {
            RequestLogFields.logClosedUnderRequest(
                    unansweredStream.requestId, reason.name(), server.loop.now() - state.acceptedAtUs());
        } else if (Logger.isDebugEnabled()) {
            String request = unansweredStream == null ? "none" : unansweredStream.requestId;
            Logger.debug("downstream connection closed: {}, open request: {}", reason, request);
        }
    }

    private void release() {
        server.idleConnections.remove(idleEntry);
        try {
            transport.close();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        } finally {
            server.onConnectionClosed(this);
        }
    }
}
