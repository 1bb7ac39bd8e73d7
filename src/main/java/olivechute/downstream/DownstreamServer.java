package olivechute.downstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.config.InvalidValueException;
import olivechute.config.LoadReportFields;
import olivechute.http.Body;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.memory.FailureLog;
import olivechute.memory.MemoryBudget;
import olivechute.memory.MemoryReservation;
import olivechute.net.ConnectionThreads;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.ClientStream;
import olivechute.proxy.EventLoop;
import olivechute.proxy.Payload;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/**
 * Serves the platform's HTTP protocol on the downstream side: requests of clients, job status events of endpoints, and
 * the readiness check. Owns the listeners and all downstream connections. Each listener has a thread that accepts; each
 * connection has a thread that reads.
 */
public final class DownstreamServer {
    private static final long IDLE_TIMEOUT_US = 120_000_000;
    private static final long NEW_CONNECTION_GRACE_US = 500_000;
    private static final int MAX_SHED_TRIES = 16;
    /** Bodies larger than this are decoded one at a time, as decoding takes several times their size. */
    private static final int LARGE_JOB_STATUS_BYTES = 4 * 1024;
    /** Retry-After of a message for which there was no memory, in microseconds; see {@link #memoryRetryAfterUs}. */
    private static final long MEMORY_RETRY_AFTER_US = ConnectionState.MESSAGE_TIMEOUT_US / 2;

    static final String JOB_STATUS_PATH = "/_jobs/news";

    final EventLoop loop;
    final WriterThreads writers;
    final ConnectionThreads connectionThreads;
    final MemoryBudget memory;
    private final long maxRetryAfterUs;
    private final Object largeJobStatusLock = new Object();
    private final ConnectionLimit connectionLimit;
    private final JobStatusDecoder jobStatusDecoder;
    private final RequestDecoder requestDecoder;
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final List<Thread> acceptors = new ArrayList<>();
    final IdleConnections<DownstreamConnection> idleConnections = new IdleConnections<>(ConnectionState.SETTLE_TIME_US);
    private final Set<DownstreamConnection> connections = ConcurrentHashMap.newKeySet();
    /** Connections that were asked to end to make room and are about to. */
    private final Set<DownstreamConnection> endingToMakeRoom = ConcurrentHashMap.newKeySet();
    /**
     * Number of connections that were not asked to end to make room; a counter of its own, as the two sets do not
     * change at the same moment.
     */
    private final AtomicInteger retainedCount = new AtomicInteger();

    private final AtomicInteger openStreams = new AtomicInteger();
    private volatile boolean ready;
    private volatile boolean draining;
    private volatile long lastRequestAtUs;

    /** Creates a server without listeners whose peers may make it hold any amount of memory. */
    public DownstreamServer(
            EventLoop loop,
            WriterThreads writers,
            ConnectionThreads connectionThreads,
            LoadBalancerSettings settings,
            LoadReportFields loadReportFields,
            int maxConnections) {
        this(loop, writers, connectionThreads, settings, loadReportFields, maxConnections, MemoryBudget.unlimited());
    }

    /**
     * Creates a server without listeners. {@code connectionThreads} runs the readers; {@code maxConnections} limits
     * their number, and {@code memory} what all peers together may make the server hold.
     */
    public DownstreamServer(
            EventLoop loop,
            WriterThreads writers,
            ConnectionThreads connectionThreads,
            LoadBalancerSettings settings,
            LoadReportFields loadReportFields,
            int maxConnections,
            MemoryBudget memory) {
        this.loop = loop;
        this.writers = writers;
        this.connectionThreads = connectionThreads;
        this.connectionLimit = new ConnectionLimit(maxConnections);
        this.jobStatusDecoder = new JobStatusDecoder(loadReportFields);
        this.requestDecoder = new RequestDecoder(settings);
        this.memory = memory;
        this.maxRetryAfterUs = settings.limits().maxRetryAfterUs();
    }

    /**
     * Listens on an address, with an authenticator for its connections. Returns the bound address, as the port may have
     * been left to the system.
     */
    public InetSocketAddress listen(InetSocketAddress address, PeerIdentity.Authenticator authenticator)
            throws IOException {
        ServerSocketChannel listener = ListenerSockets.bind(address);
        listeners.add(listener);
        acceptors.add(Threads.start("accept", () -> accept(listener, authenticator)));
        return (InetSocketAddress) listener.socket().getLocalSocketAddress();
    }

    /** Marks the node as ready, once it listens on all its addresses. */
    public void ready() {
        ready = true;
    }

    /** Marks the node as not ready because it will shut down; requests on open connections are still served. */
    public void markNotReady() {
        ready = false;
    }

    /** Begins the shutdown: still serves requests that arrive, and closes connections between requests. */
    public void drain() {
        draining = true;
        ready = false;
        loop.post(new ProxyEvent.Task(this::sweep));
    }

    /**
     * Ends the connections that have no accepted request and no unread input. An incomplete message is rejected; a
     * message that arrives while its connection ends stays unread, and its client sends it again. The other connections
     * end after their response, as the node is draining.
     */
    public void endConnections() {
        loop.post(new ProxyEvent.Task(() -> connections.forEach(DownstreamConnection::end)));
    }

    /** True if no connection is left on which a message may still be accepted and no request is unanswered. */
    public boolean isQuiescent() {
        return isQuiescentSince(Long.MAX_VALUE);
    }

    /**
     * True if, in addition, the last response on each connection was sent at {@code latestUs} or before, so that it has
     * had time since to arrive.
     */
    public boolean isQuiescentSince(long latestUs) {
        return unansweredRequests() == 0
                && connections.stream().allMatch(connection -> connection.isFinishedSince(latestUs));
    }

    /**
     * Stops accepting connections. Waits until those that were accepted are registered, or at most
     * {@code timeoutMillis} for each listener.
     */
    public void close(long timeoutMillis) throws InterruptedException {
        for (ServerSocketChannel listener : listeners) {
            try {
                listener.close();
            } catch (IOException e) {
                Logger.debug(e.getMessage());
            }
        }
        for (Thread acceptor : acceptors) {
            acceptor.join(timeoutMillis);
        }
    }

    /**
     * The Retry-After of a message for which there was no memory: the memory of incomplete messages is free again once
     * they run into their timeout, on average after half of it.
     */
    long memoryRetryAfterUs() {
        return Math.min(maxRetryAfterUs, MEMORY_RETRY_AFTER_US);
    }

    /** When the last request arrived, in microseconds on the event loop's clock. */
    public long lastRequestAtUs() {
        return lastRequestAtUs;
    }

    /** Number of requests whose response is not sent. */
    public int unansweredRequests() {
        return openStreams.get();
    }

    private void accept(ServerSocketChannel listener, PeerIdentity.Authenticator authenticator) {
        while (listener.isOpen() && !Thread.currentThread().isInterrupted()) {
            try {
                acceptConnection(listener, authenticator);
            } catch (RuntimeException | Error e) {
                // Without this thread no client could connect any more; also the handling of an error may have failed.
                FailureLog.log(e, "accept failed, continuing");
                ListenerSockets.pauseBeforeRetry();
            }
        }
    }

    private void acceptConnection(ServerSocketChannel listener, PeerIdentity.Authenticator authenticator) {
        SocketChannel accepted = null;
        try {
            accepted = listener.accept();
            while (retainedCount.get() >= connectionLimit.limitAt(loop.now()) && !shedConnection()) {
                // All are in use; open streams are limited to half the connections, so the others are free again
                // soon.
                Thread.sleep(10);
            }
            DownstreamConnection connection =
                    new DownstreamConnection(this, authenticator.createTransport(accepted), authenticator);
            start(connection);
            if (connectionLimit.beginCheckIfDue(retainedCount.get())
                    && !connectionThreads.canStart(ConnectionLimit.CHECK_THREADS)) {
                onThreadShortage("thread check failed");
            }
        } catch (ClosedChannelException e) {
            closeQuietly(accepted);
        } catch (InterruptedException e) {
            closeQuietly(accepted);
            Thread.currentThread().interrupt();
        } catch (OutOfMemoryError e) {
            closeQuietly(accepted);
            onThreadShortage(e.getMessage());
            ListenerSockets.pauseBeforeRetry();
        } catch (IOException | RuntimeException | Error e) {
            // Whatever the error is, the node continues to listen.
            Logger.warn("accept: {}", e.toString());
            closeQuietly(accepted);
            if (AcceptFailures.isResourceExhaustion(e)) {
                shedConnection();
            }
            ListenerSockets.pauseBeforeRetry();
        }
    }

    /** Registers and starts a connection; whatever fails, it is closed and does not count any more. */
    private void start(DownstreamConnection connection) {
        boolean started = false;
        retainedCount.incrementAndGet();
        try {
            connections.add(connection);
            connection.start();
            started = true;
        } finally {
            if (!started) {
                connection.close(CloseReason.NO_THREAD);
            }
        }
    }

    /**
     * Reduces the number of connections because the system refused a thread or the heap is full, as {@code reason}
     * says, so that enough threads remain for signals, writes and requests.
     */
    private void onThreadShortage(String reason) {
        int connectionsBefore = retainedCount.get();
        connectionLimit.onThreadUnavailable(connectionsBefore, loop.now());
        connectionThreads.shortenKeepAlive();
        int newLimit = connectionLimit.limitAt(loop.now());
        Logger.warn(
                "accept: no more threads available at {} connections ({}); connection limit reduced to {}",
                connectionsBefore,
                reason,
                newLimit);
        for (int i = connectionsBefore; i > newLimit && shedConnection(); i--) {
            // each iteration closes one
        }
    }

    private static void closeQuietly(SocketChannel accepted) {
        try {
            if (accepted != null) {
                accepted.close();
            }
        } catch (IOException e) {
            Logger.debug(e.getMessage());
        }
    }

    /**
     * Closes the connection that is first in the order of {@link IdleConnections}; false if none of the first few can
     * be closed.
     */
    private boolean shedConnection() {
        for (int i = 0; i < MAX_SHED_TRIES; i++) {
            IdleConnections.Entry<DownstreamConnection> candidate = idleConnections.nextToClose(loop.now());
            if (candidate == null) {
                return false;
            }
            markEnding(candidate.connection);
            if (candidate.connection.closeToMakeRoom()) {
                return true;
            }
            markRetained(candidate.connection);
            idleConnections.requeue(candidate, loop.now());
        }
        return false;
    }

    /**
     * Closes connections that are idle, stalled or no longer authenticated; to be called periodically on the event
     * loop.
     */
    public void sweep() {
        long nowUs = loop.now();
        for (DownstreamConnection connection : connections) {
            if (nowUs - connection.lastChangeUs() > IDLE_TIMEOUT_US) {
                connection.endIfIdle(CloseReason.IDLE);
            } else if (!connection.isPeerIdentityValid()) {
                connection.endIfIdle(CloseReason.IDENTITY_EXPIRED);
            } else if (draining
                    && (connection.isUsed() || nowUs - connection.lastChangeUs() > NEW_CONNECTION_GRACE_US)) {
                // A new connection may be about to send its first request.
                connection.endIfIdle(CloseReason.DRAINING);
            }
            connection.endIfStalled(nowUs);
        }
    }

    /** The connection is kept for now, because a message was accepted on it or because it cannot be closed. */
    void markRetained(DownstreamConnection connection) {
        if (endingToMakeRoom.remove(connection)) {
            retainedCount.incrementAndGet();
        }
    }

    private void markEnding(DownstreamConnection connection) {
        if (endingToMakeRoom.add(connection)) {
            retainedCount.decrementAndGet();
        }
    }

    void onConnectionClosed(DownstreamConnection connection) {
        connections.remove(connection);
        if (!endingToMakeRoom.remove(connection)) {
            retainedCount.decrementAndGet();
        }
    }

    /** A response to write at once, and whether the connection stays open after it. */
    record ImmediateResponse(byte[] bytes, boolean keepAlive) {}

    private static final ImmediateResponse JOB_STATUS_ACCEPTED =
            new ImmediateResponse(MessageWriter.response(204, null, true), true);

    boolean allowsKeepAlive() {
        return !draining;
    }

    /**
     * Opens a stream for a message, or returns the response to write at once; null if a stream takes over the response,
     * and with it the memory of the message from the parser.
     */
    ImmediateResponse route(HttpRequest message, RequestParser parser, DownstreamConnection connection)
            throws IdentityExpiredException {
        boolean keepAlive = message.keepAlive() && allowsKeepAlive();
        try {
            return switch (message.path()) {
                case "/health/ready" -> {
                    LocalReply.requireMethod(message, "GET");
                    yield new ImmediateResponse(
                            MessageWriter.response(ready ? 200 : 503, new byte[0], keepAlive), keepAlive);
                }
                case JOB_STATUS_PATH -> {
                    LocalReply.requireMethod(message, "POST");
                    yield receiveJobStatus(decodeJobStatus(message.content()), connection, keepAlive);
                }
                default -> {
                    open(message, parser, connection);
                    yield null;
                }
            };
        } catch (LocalReply e) {
            // Errors close the connection: otherwise clients that send bad requests could by the hundred use up the
            // connection limit.
            return new ImmediateResponse(
                    textResponse(e.status, e.getMessage(), false, "Allow", e.allowedMethod), false);
        } catch (IdentityExpiredException e) {
            throw e;
        } catch (InvalidValueException | IOException e) {
            return new ImmediateResponse(textResponse(400, "news: not understood", false), false);
        }
    }

    private ProxyEvent.JobStatusReceived decodeJobStatus(Body body) throws IOException {
        if (body.length() <= LARGE_JOB_STATUS_BYTES) {
            return jobStatusDecoder.decode(body);
        }
        synchronized (largeJobStatusLock) {
            return jobStatusDecoder.decode(body);
        }
    }

    /**
     * Accepts a job status event from a peer that may send it. If the connection's identity has expired there is no
     * response, so that the sender tries again with its new identity; another sender is rejected.
     */
    private ImmediateResponse receiveJobStatus(
            ProxyEvent.JobStatusReceived jobStatus, DownstreamConnection connection, boolean keepAlive)
            throws LocalReply, IdentityExpiredException {
        if (!connection.isPeerIdentityValid()) {
            throw new IdentityExpiredException();
        }
        if (!connection.peerIdentity().mayReportJobStatus(jobStatus.endpoint())) {
            throw new LocalReply(403, "news: not of a host that this identity may be");
        }
        connection.onJobStatusReceived();
        loop.post(jobStatus.withMemory(reserveResult(jobStatus.result())));
        return keepAlive ? JOB_STATUS_ACCEPTED : new ImmediateResponse(MessageWriter.response(204, null, false), false);
    }

    /** A message that needs no response arrived on a connection whose identity has expired. */
    static final class IdentityExpiredException extends IOException {
        private static final long serialVersionUID = 1L;

        IdentityExpiredException() {
            super("the peer's identity has expired");
        }
    }

    /** The memory of a result, which takes the place of the memory that was reserved for its message. */
    private MemoryReservation reserveResult(byte[] result) {
        if (result == null || result.length <= RequestParser.INITIAL_BUFFER_BYTES) {
            return MemoryReservation.NONE;
        }
        memory.add(result.length);
        return MemoryReservation.of(memory::release, result.length);
    }

    private void open(HttpRequest message, RequestParser parser, DownstreamConnection connection) throws LocalReply {
        Request request = requestDecoder.decode(message);
        PeerIdentity.Rejection rejection = connection.peerIdentity().checkRequest(message, request.tenant());
        if (rejection != null) {
            throw new LocalReply(rejection.status(), rejection.text());
        }
        openStreams.incrementAndGet();
        lastRequestAtUs = loop.now();
        HttpClientStream stream = new HttpClientStream(connection, request.id(), message.keepAlive(), openStreams);
        if (!connection.openStream(stream)) {
            openStreams.decrementAndGet();
            return;
        }
        connection.onRequestReceived();
        ProxyEvent.RequestArrived arrival = requestArrived(message, request, stream, lastRequestAtUs);
        loop.post(arrival.withMemory(parser.releaseMessage(false)));
    }

    /** The event of a request whose last byte arrived at {@code receivedAtUs}. */
    static ProxyEvent.RequestArrived requestArrived(
            HttpRequest message, Request request, ClientStream downstream, long receivedAtUs) {
        Body body = message.content();
        return new ProxyEvent.RequestArrived(
                request,
                new Payload(
                        message.target(),
                        message.headers().get("Idempotency-Key"),
                        body.bytes(),
                        body.offset(),
                        body.length()),
                downstream,
                receivedAtUs);
    }

    static byte[] textResponse(int status, String text, boolean keepAlive, String... fields) {
        return MessageWriter.response(status, (text + "\n").getBytes(StandardCharsets.UTF_8), keepAlive, fields);
    }
}
