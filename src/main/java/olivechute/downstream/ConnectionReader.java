package olivechute.downstream;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.downstream.IdleConnections.Kind;
import olivechute.http.HttpException;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.memory.MemoryBudget.Tier;
import olivechute.memory.MemoryExhaustedException;
import olivechute.memory.TieredAllowance;
import olivechute.net.Connection;
import org.tinylog.Logger;

/**
 * Reads a downstream connection on a thread of its own. Takes messages one after another, checks while a pipelined
 * request waits that its client is still connected, and ends the connection when it was asked to, as only the reader
 * knows that no message is being processed. Is also the allowance of the memory for the input, one object less for each
 * connection. Accesses the connection's state under the connection's monitor.
 */
final class ConnectionReader extends TieredAllowance implements Runnable {
    /** Limit of the input after the last message; at this limit the connection is closed. */
    private static final int MAX_DISCARD_BYTES = 64 * 1024 * 1024;

    /** Where all readers put what they discard; its content is never read. */
    private static final byte[] DISCARDED_BYTES = new byte[8 * 1024];

    /** How long a message waits for memory that other peers hold. */
    private static final long MAX_MEMORY_WAIT_MS = 500;
    /** How often a reader checks whether an overdue message was abandoned. */
    private static final int ABANDONED_POLL_MS = 100;
    /**
     * How often a client with waiting pipelined requests is checked, in microseconds: well within the 0.1 s after which
     * a client that disconnected counts as gone.
     */
    static final long PEER_CHECK_INTERVAL_US = 20_000;

    private final DownstreamConnection connection;
    private final Connection transport;
    private final PeerIdentity.Authenticator authenticator;
    private final RequestParser parser;

    ConnectionReader(DownstreamConnection connection, Connection transport, PeerIdentity.Authenticator authenticator) {
        super(connection.server.memory, MAX_MEMORY_WAIT_MS);
        this.connection = connection;
        this.transport = transport;
        this.authenticator = authenticator;
        this.parser = new RequestParser(this);
        transport.limitMemory(this);
    }

    /** Who the memory for the message that is being received is reserved for. */
    @Override
    protected Tier tier() {
        if (connection.isKnownPeer()) {
            return connection.isKnownEndpoint() ? Tier.KNOWN_ENDPOINT : Tier.KNOWN_PEER;
        }
        boolean inHandshake = connection.peerIdentity() == null;
        return inHandshake || parser.isReceiving(DownstreamServer.JOB_STATUS_PATH) ? Tier.NEW_ENDPOINT : Tier.NEW_PEER;
    }

    /** Reads until the connection ends. */
    @Override
    public void run() {
        try {
            readMessages();
        } catch (EOFException e) {
            onInputEnd();
        } catch (MemoryExhaustedException e) {
            rejectForLackOfMemory();
        } catch (IOException | InterruptedException e) {
            Logger.debug(e.getMessage());
            connection.close(CloseReason.READ_FAILED);
        } catch (HttpException e) {
            if (e.status == HttpException.MEMORY_EXHAUSTED_STATUS) {
                rejectForLackOfMemory();
            } else {
                rejectMessage(DownstreamServer.textResponse(e.status, e.getMessage(), false));
            }
        } catch (RuntimeException | Error e) {
            connection.close(CloseReason.READER_FAILED);
            throw e;
        } finally {
            dropInput();
        }
    }

    private void readMessages() throws IOException, HttpException, InterruptedException {
        transport.initialize();
        connection.peerIdentity(authenticator.authenticate(transport));
        for (int read = readInput(); read >= 0; read = readInput()) {
            if (read == 0) {
                if (isFinished()) {
                    discardInput();
                    onInputDiscarded();
                    return;
                }
                continue;
            }
            parser.onBytesRead(read);
            if (!processInput()) {
                discardInput();
                onInputDiscarded();
                return;
            }
        }
        onInputEnd();
    }

    /**
     * Reads bytes; 0 if a message is incomplete and none have arrived for a while. A blocked read keeps the buffers of
     * the message alive, so the reader looks up when the message may have been abandoned.
     */
    private int readInput() throws IOException, HttpException {
        ByteBuffer buffer = parser.inputBuffer();
        if (!parser.holdsReservedMemory() || !parser.isInMessage() || transport.hasUnreadInput()) {
            return transport.read(buffer);
        }
        return transport.readWithin(buffer, millisUntilMessageOverdue());
    }

    private int millisUntilMessageOverdue() {
        long overdueAtUs;
        synchronized (connection) {
            overdueAtUs = connection.state.messageStartUs() + ConnectionState.MESSAGE_TIMEOUT_US;
        }
        long remainingMillis = (overdueAtUs - connection.server.loop.now()) / 1000;
        return (int) Math.max(ABANDONED_POLL_MS, Math.min(remainingMillis, ConnectionState.MESSAGE_TIMEOUT_US / 1000));
    }

    private boolean isFinished() {
        synchronized (connection) {
            return !connection.state.isOpen();
        }
    }

    /** Drops all buffers of the input and releases their memory; nothing is parsed afterwards. */
    private void dropInput() {
        parser.discard();
        transport.discardReceived();
    }

    /**
     * The input has ended after the last message. If the client ended it, the connection is closed now; if this node
     * ended it, the last response is given time to arrive.
     */
    private void onInputDiscarded() {
        if (!connection.isEndRequested()) {
            connection.close(CloseReason.AFTER_LAST_ANSWER);
        }
    }

    /** The input has ended: the client closed the connection, or this node requested the end. */
    private void onInputEnd() {
        CloseReason endReason;
        synchronized (connection) {
            endReason = connection.state.endReason();
        }
        if (endReason == null) {
            connection.close(CloseReason.ENDED_BY_CLIENT);
            return;
        }
        try {
            endAsRequested(endReason);
        } catch (IOException | InterruptedException e) {
            Logger.debug(e.getMessage());
            connection.close(CloseReason.WRITE_FAILED);
        }
    }

    /**
     * Ends the connection once the response is sent to the message that the reader was processing when the end was
     * requested.
     */
    private void endAsRequested(CloseReason endReason) throws IOException, InterruptedException {
        boolean incompleteMessage;
        boolean finishedHere;
        synchronized (connection) {
            while (connection.state.isAwaitingResponse()) {
                connection.wait();
            }
            incompleteMessage = connection.state.isReceiving();
            finishedHere = connection.beginFinish();
        }
        if (finishedHere) {
            if (incompleteMessage) {
                transport.write(ByteBuffer.wrap(HttpClientStream.rejection(0, false)));
            }
            transport.shutdownOutput();
        }
        if (endReason == CloseReason.ROOM_NEEDED || !connection.isUsed()) {
            connection.close(endReason);
        }
    }

    /**
     * Processes the bytes received. Bytes that arrive before the response to an earlier request wait here. Returns
     * false if no further message is to be accepted.
     */
    private boolean processInput() throws HttpException, IOException, InterruptedException {
        long lastPeerCheckUs = connection.server.loop.now();
        do {
            lastPeerCheckUs = awaitPreviousResponse(lastPeerCheckUs);
            if (lastPeerCheckUs < 0) {
                return false;
            }
            boolean complete = parser.parse();
            if (parser.shouldSendContinue()) {
                transport.write(ByteBuffer.wrap(MessageWriter.response(100, null, true)));
            }
            if (complete && !processMessage()) {
                return false;
            }
            if (!complete) {
                onPartialMessage();
            }
        } while (parser.hasUnparsedBytes());
        return true;
    }

    private void onPartialMessage() {
        synchronized (connection) {
            if (!parser.isInMessage()) {
                connection.state.onNoMessage();
            }
            if (connection.state.isReceiving()) {
                connection.markIdle(
                        Kind.RECEIVING,
                        connection.state
                                .messageStartUs()); // measured from its first byte, in however many pieces it arrives
            } else if (connection.state.isBetweenMessages()) {
                connection.markIdleBetweenRequests();
            }
        }
    }

    /**
     * Passes on a complete message, which is answered at once or later. Returns false if no message may be accepted
     * after it.
     */
    private boolean processMessage() throws IOException {
        synchronized (connection) {
            if (!connection.state.acceptMessage(connection.server.loop.now())) {
                return false;
            }
            connection.markBusy();
        }
        connection.server.markRetained(connection);
        DownstreamServer.ImmediateResponse response = connection.server.route(parser.take(), parser, connection);
        if (response == null) {
            return true; // the body now belongs to the stream
        }
        parser.releaseMessage(true);
        transport.write(ByteBuffer.wrap(response.bytes()));
        if (!response.keepAlive() || connection.nextResponseIsLast) {
            finishOutput();
            return false;
        }
        synchronized (connection) {
            connection.state.onResponseSent(connection.server.loop.now());
            connection.markIdleBetweenRequests();
        }
        return true;
    }

    /**
     * Waits until the response to an earlier request is sent, and checks meanwhile that the client is still connected,
     * as the next request of a client that has disconnected must not be accepted. Takes the time of the previous check;
     * returns the time of the last one, or a negative number if no further message is to be accepted.
     */
    private long awaitPreviousResponse(long previousPeerCheckUs)
            throws HttpException, IOException, InterruptedException {
        long lastPeerCheckUs = previousPeerCheckUs;
        for (long nowUs = previousPeerCheckUs; ; nowUs = connection.server.loop.now()) {
            synchronized (connection) {
                boolean awaitingResponse = connection.state.isAwaitingResponse();
                connection.pipelined |= awaitingResponse;
                if (!connection.state.isOpen()) {
                    return -1;
                }
                if (nowUs - lastPeerCheckUs < PEER_CHECK_INTERVAL_US) {
                    if (!awaitingResponse) {
                        connection.state.onMessageBytes(nowUs);
                        return lastPeerCheckUs;
                    }
                    connection.wait(Math.max(1, (lastPeerCheckUs + PEER_CHECK_INTERVAL_US - nowUs) / 1000));
                    continue;
                }
            }
            if (!readAhead()) {
                return -1;
            }
            lastPeerCheckUs = connection.server.loop.now();
        }
    }

    /** Reads the bytes that have arrived meanwhile; false if there are more of them than may be buffered. */
    private boolean readAhead() throws IOException, HttpException {
        int read;
        do {
            if (parser.unparsedBytes() >= RequestParser.MAX_READ_AHEAD_BYTES) {
                onReadAheadExceeded();
                return false;
            }
            ByteBuffer buffer = bufferForReadAhead();
            if (buffer == null) {
                onReadAheadExceeded();
                return false;
            }
            read = transport.readAvailable(buffer);
            if (read < 0) {
                if (connection.isEndRequested()) {
                    return true;
                }
                throw new EOFException("client disconnected while a request was waiting");
            }
            parser.onBytesRead(read);
        } while (read > 0);
        return true;
    }

    /**
     * The buffer to read ahead into, or null if there is no memory for it. Does not wait, as the client has to be
     * checked meanwhile.
     */
    private ByteBuffer bufferForReadAhead() throws HttpException {
        setMayWait(false);
        try {
            return parser.inputBuffer();
        } catch (HttpException e) {
            if (e.status == HttpException.MEMORY_EXHAUSTED_STATUS) {
                return null;
            }
            throw e;
        } finally {
            setMayWait(true);
        }
    }

    /** Makes the response in progress the last one; if no response is in progress, ends the output now. */
    private void onReadAheadExceeded() throws IOException {
        synchronized (connection) {
            connection.nextResponseIsLast = true;
            if (connection.state.isAwaitingResponse() || !connection.beginFinish()) {
                return;
            }
        }
        transport.shutdownOutput();
    }

    /** Discards input up to the end of the connection, or up to a limit after which the connection is closed. */
    private void discardInput() throws IOException {
        dropInput();
        ByteBuffer buffer = ByteBuffer.wrap(DISCARDED_BYTES);
        int read = 0;
        for (int discarded = 0; read >= 0 && discarded < MAX_DISCARD_BYTES; discarded += read) {
            read = transport.readDiscarded(buffer.clear());
        }
    }

    /** Rejects the message in progress, for which no memory is available; its client may try again. */
    private void rejectForLackOfMemory() {
        Logger.debug("message rejected: no memory, {} bytes reserved", connection.server.memory.reservedBytes());
        rejectMessage(HttpClientStream.rejection(connection.server.memoryRetryAfterUs(), false));
    }

    /** Answers a message that cannot be processed, unless it was abandoned meanwhile, and ends the connection. */
    private void rejectMessage(byte[] response) {
        dropInput();
        try {
            boolean finishedHere;
            synchronized (connection) {
                finishedHere = connection.beginFinish();
            }
            if (finishedHere) {
                transport.write(ByteBuffer.wrap(response));
                transport.shutdownOutput();
            }
            discardInput();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
        connection.close(CloseReason.AFTER_LAST_ANSWER);
    }

    /**
     * Ends the output after the last response; no message is accepted from now on. Input is still read for a while, as
     * closing the connection with unread input would cut off the response.
     */
    private void finishOutput() throws IOException {
        synchronized (connection) {
            connection.beginFinish();
        }
        transport.shutdownOutput();
    }
}
