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
 * The reading side of a client's connection, on a thread of its own: takes messages one after another, looks behind a
 * request that waits whether its peer is still there, and ends the connection where it was asked to, as nobody else
 * knows that nothing is in hand. Guards the connection's state by the connection.
 */
final class ConnectionReader implements Runnable {
    private static final int MAX_DISCARD_BYTES = 64 * 1024 * 1024; // of what nobody wants behind a request
    private static final int DISCARD_BUFFER_BYTES = 8 * 1024;
    /**
     * A peer with requests that wait their turn is looked at so often, well within the 0.1 s after which one that left
     * has left.
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

    /** The client has ended it, unless this node ended the input: then its last answer has some time to arrive. */
    private void onInputDiscarded() {
        if (!connection.isEndRequested()) {
            connection.close(CloseReason.AFTER_LAST_ANSWER);
        }
    }

    /** Nothing more will be read: the client has ended its connection, or this node asked for the end. */
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

    /** Ends it once what its reader had in hand as it was asked to is answered. */
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
        if (endReason == CloseReason.ROOM_NEEDED || !connection.used()) {
            connection.close(endReason);
        }
    }

    /**
     * Reads on in what came; what comes before the answer to an earlier request waits here. False if nothing more is to
     * be taken.
     */
    private boolean processInput() throws HttpException, IOException, InterruptedException {
        long lastPeerCheckUs = connection.server.loop.now();
        do {
            lastPeerCheckUs = awaitTurn(lastPeerCheckUs);
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
                        connection.state.messageStartUs()); // from its beginning on, however many pieces it comes in
            } else if (connection.state.isBetweenMessages()) {
                connection.markIdleBetweenRequests();
            }
        }
    }

    /** Has a whole message answered, at once or later; false if nothing may be taken after it. */
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
            parser.releaseMessage(false); // its body is the stream's now
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
     * Waits until the answer to an earlier request is out, and looks meanwhile whether the peer is still there: one
     * that has left must not have its next request taken. {@code seen} is when it was looked for last; returns when
     * that was, negative if nothing is to be taken.
     */
    private long awaitTurn(long previousPeerCheckUs) throws IOException, InterruptedException {
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

    /** Reads what has come meanwhile; false if that is more than is kept. */
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
                throw new EOFException("left behind a request");
            }
            parser.onBytesRead(read);
        } while (read > 0);
        return true;
    }

    /** The answer under way is the last; where it is out already, that was. */
    private void onReadAheadExceeded() throws IOException {
        synchronized (connection) {
            connection.nextResponseIsLast = true;
            if (connection.state.isAwaitingResponse() || !connection.beginFinish()) {
                return;
            }
        }
        transport.shutdownOutput();
    }

    /** Throws away what still comes, to the end of the connection; who sends too much of it is hung up on. */
    private void discardInput() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
        int read = 0;
        for (int discarded = 0; read >= 0 && discarded < MAX_DISCARD_BYTES; discarded += read) {
            read = transport.read(buffer.clear());
        }
    }

    /** Answers what is no HTTP, unless its message was given up meanwhile. */
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
     * After the last answer: from here on nothing is taken. What still comes is read on for a while, as closing on it
     * would cut the answer off.
     */
    private void finishOutput() throws IOException {
        synchronized (connection) {
            connection.beginFinish();
        }
        transport.shutdownOutput();
    }
}
