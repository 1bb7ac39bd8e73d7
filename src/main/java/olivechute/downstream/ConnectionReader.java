package olivechute.downstream;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import olivechute.downstream.IdleConnections.Kind;
import olivechute.http.HttpException;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.net.Connection;
import org.tinylog.Logger;

/**
 * Reads a downstream connection on a thread of its own. Takes messages one after another, checks while a pipelined
 * request waits that its client is still connected, and ends the connection when it was asked to, as only the reader
 * knows that no message is being processed. Accesses the connection's state under the connection's monitor.
 */
final class ConnectionReader implements Runnable {
    /** Limit of the input after the last message; at this limit the connection is closed. */
    private static final int MAX_DISCARD_BYTES = 64 * 1024 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 8 * 1024;
    /**
     * How often a client with waiting pipelined requests is checked, in microseconds: well within the 0.1 s after which
     * a client that disconnected counts as gone.
     */
    static final long PEER_CHECK_INTERVAL_US = 20_000;

    private final DownstreamConnection connection;
    private final Connection transport;
    private final PeerIdentity.Authenticator authenticator;
    private final RequestParser parser = new RequestParser();

    ConnectionReader(DownstreamConnection connection, Connection transport, PeerIdentity.Authenticator authenticator) {
        this.connection = connection;
        this.transport = transport;
        this.authenticator = authenticator;
    }

    /** Reads until the connection ends. */
    @Override
    public void run() {
        try {
            transport.initialize();
            connection.peerIdentity(authenticator.authenticate(transport));
            for (int read = transport.read(parser.inputBuffer());
                    read >= 0;
                    read = transport.read(parser.inputBuffer())) {
                parser.onBytesRead(read);
                if (!processInput()) {
                    discardInput();
                    onInputDiscarded();
                    return;
                }
            }
            onInputEnd();
        } catch (EOFException e) {
            onInputEnd();
        } catch (IOException | InterruptedException e) {
            Logger.debug(e.getMessage());
            connection.close(CloseReason.READ_FAILED);
        } catch (HttpException e) {
            rejectMalformed(e);
            connection.close(CloseReason.AFTER_LAST_ANSWER);
        } catch (RuntimeException | Error e) {
            connection.close(CloseReason.READER_FAILED);
            throw e;
        }
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
        DownstreamServer.ImmediateResponse response = connection.server.route(parser.take(), connection);
        if (response == null) {
            parser.releaseMessage(false); // the body now belongs to the stream
            return true;
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
    private long awaitPreviousResponse(long previousPeerCheckUs) throws IOException, InterruptedException {
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

    /** Reads the bytes that have arrived meanwhile; false if there are more of them than are buffered. */
    private boolean readAhead() throws IOException {
        int read;
        do {
            if (parser.unparsedBytes() >= RequestParser.MAX_READ_AHEAD_BYTES) {
                onReadAheadExceeded();
                return false;
            }
            read = transport.readAvailable(parser.inputBuffer());
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
        ByteBuffer buffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
        int read = 0;
        for (int discarded = 0; read >= 0 && discarded < MAX_DISCARD_BYTES; discarded += read) {
            read = transport.read(buffer.clear());
        }
    }

    /** Answers input that is not valid HTTP, unless the message was abandoned meanwhile. */
    private void rejectMalformed(HttpException protocolError) {
        try {
            boolean finishedHere;
            synchronized (connection) {
                finishedHere = connection.beginFinish();
            }
            if (finishedHere) {
                transport.write(ByteBuffer.wrap(
                        DownstreamServer.textResponse(protocolError.status, protocolError.getMessage(), false)));
                transport.shutdownOutput();
            }
            discardInput();
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
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
