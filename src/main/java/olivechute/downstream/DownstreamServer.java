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
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.net.ConnectionThreads;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.ClientStream;
import olivechute.proxy.EventLoop;
import olivechute.proxy.Payload;
import olivechute.proxy.ProxyEvent;
import org.tinylog.Logger;

/** The platform's protocol on the downstream side: clients' jobs, news of jobs, and whether this node is ready. */
public final class DownstreamServer {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long IDLE_TIMEOUT_US = 120_000_000;
    private static final long NEW_CONNECTION_GRACE_US = 500_000;
    private static final int MAX_SHED_TRIES = 16;
    private static final long BIND_RETRY_NANOS = 3_000_000_000L;

    final EventLoop loop;
    final WriterThreads writers;
    final ConnectionThreads connectionThreads;
    private final ConnectionLimit connectionLimit;
    private final JobStatusDecoder jobStatusDecoder;
    private final RequestDecoder requestDecoder;
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final List<Thread> acceptors = new ArrayList<>();
    final IdleConnections<DownstreamConnection> idleConnections = new IdleConnections<>(ConnectionState.SETTLE_TIME_US);
    private final Set<DownstreamConnection> connections = ConcurrentHashMap.newKeySet();
    /** Those of them that were asked to end to make room, and will in a moment. */
    private final Set<DownstreamConnection> endingToMakeRoom = ConcurrentHashMap.newKeySet();
    /** Connections that were not asked to end; counted apart, as the sets change one after the other. */
    private final AtomicInteger retainedCount = new AtomicInteger();

    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean ready;
    private volatile boolean draining;
    private volatile long lastRequestAtUs;

    /** {@code threads} run its connections, and {@code most} bounds these. */
    public DownstreamServer(
            EventLoop loop,
            WriterThreads writers,
            ConnectionThreads connectionThreads,
            LoadBalancerSettings settings,
            LoadReportFields loadReportFields,
            int maxConnections) {
        this.loop = loop;
        this.writers = writers;
        this.connectionThreads = connectionThreads;
        this.connectionLimit = new ConnectionLimit(maxConnections);
        this.jobStatusDecoder = new JobStatusDecoder(loadReportFields);
        this.requestDecoder = new RequestDecoder(settings);
    }

    /** Listens on this address, behind this door; returns where, as the port may have been left open. */
    public InetSocketAddress listen(InetSocketAddress address, PeerIdentity.Authenticator authenticator)
            throws IOException {
        ServerSocketChannel listener = bind(address);
        listeners.add(listener);
        acceptors.add(Threads.start("accept", () -> accept(listener, authenticator)));
        return (InetSocketAddress) listener.socket().getLocalSocketAddress();
    }

    /** The address may still be an earlier process's, and the system may be short of sockets, both for a moment. */
    private static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        long deadlineNanos = System.nanoTime() + BIND_RETRY_NANOS;
        for (; ; ) {
            try {
                ServerSocketChannel listener = ServerSocketChannel.open();
                try {
                    return listener.bind(address, ACCEPT_BACKLOG);
                } catch (IOException e) {
                    listener.close();
                    throw e;
                }
            } catch (IOException e) {
                if (System.nanoTime() - deadlineNanos >= 0) {
                    throw e;
                }
                Logger.warn("listen on {}: {}, tried again", address, e.getMessage());
            }
            pauseBeforeRetry();
        }
    }

    /** It listens wherever it is to: ready from now on. */
    public void ready() {
        ready = true;
    }

    /** The node will end: no longer ready, but it goes on serving on the connections that clients have. */
    public void markNotReady() {
        ready = false;
    }

    /** The node is about to end: takes what still comes, keeps no connection between requests. */
    public void drain() {
        draining = true;
        ready = false;
        loop.post(new ProxyEvent.Task(this::sweep));
    }

    /** Takes nothing more, once all that has been read is answered; what is unread is its client's to send again. */
    public void endConnections() {
        loop.post(new ProxyEvent.Task(() -> connections.forEach(DownstreamConnection::end)));
    }

    /** True if no connection is left that something may still be taken from. */
    public boolean isQuiescent() {
        return isQuiescentSince(Long.MAX_VALUE);
    }

    /** True if besides that what went out on the last of them had since that moment to arrive. */
    public boolean isQuiescentSince(long latestUs) {
        return unansweredRequests() == 0
                && connections.stream().allMatch(connection -> connection.isFinishedSince(latestUs));
    }

    /** Lets no more connections in; returns once those that were let in are known, or after so many milliseconds. */
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

    /** When the last job came, on the loop's clock. */
    public long lastRequestAtUs() {
        return lastRequestAtUs;
    }

    /** Streams that are owed an answer. */
    public int unansweredRequests() {
        return open.get();
    }

    private void accept(ServerSocketChannel listener, PeerIdentity.Authenticator authenticator) {
        while (listener.isOpen()) {
            SocketChannel accepted = null;
            try {
                accepted = listener.accept();
                while (retainedCount.get() >= connectionLimit.limitAt(loop.now()) && !shedConnection()) {
                    Thread.sleep(10); // all carry streams or answers, and streams are bounded to half of them
                }
                DownstreamConnection connection =
                        new DownstreamConnection(this, authenticator.createTransport(accepted), authenticator);
                connections.add(connection);
                retainedCount.incrementAndGet();
                connection.start();
                if (connectionLimit.beginCheckIfDue(retainedCount.get())
                        && !connectionThreads.canStart(ConnectionLimit.CHECK_THREADS)) {
                    onThreadShortage("tried");
                }
            } catch (ClosedChannelException e) {
                closeQuietly(accepted);
            } catch (InterruptedException e) {
                closeQuietly(accepted);
                return;
            } catch (OutOfMemoryError e) {
                closeQuietly(accepted);
                onThreadShortage(e.getMessage());
                pauseBeforeRetry();
            } catch (IOException | RuntimeException | Error e) {
                // Whatever it is, the node goes on listening.
                Logger.warn("accept: {}", e.toString());
                closeQuietly(accepted);
                if (AcceptFailures.isResourceExhaustion(e)) {
                    shedConnection();
                }
                pauseBeforeRetry();
            }
        }
    }

    /**
     * The system refused a thread, or the heap is full, as {@code reason} tells: fewer connections are kept, so that
     * signals, writes and requests get theirs.
     */
    private void onThreadShortage(String reason) {
        int connectionsBefore = retainedCount.get();
        connectionLimit.onThreadUnavailable(connectionsBefore, loop.now());
        connectionThreads.shortenKeepAlive();
        int newLimit = connectionLimit.limitAt(loop.now());
        Logger.warn(
                "accept: the system grants no more threads at {} connections ({}), {} are kept",
                connectionsBefore,
                reason,
                newLimit);
        for (int i = connectionsBefore; i > newLimit && shedConnection(); i--) {
            // one goes with each turn
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

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the connection that is worth least; false if none of the first few may go. */
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

    /** Closes what stands idle or stalls; to be called now and then on the loop. */
    public void sweep() {
        long nowUs = loop.now();
        for (DownstreamConnection connection : connections) {
            if (nowUs - connection.lastChangeUs() > IDLE_TIMEOUT_US) {
                connection.endIfIdle(CloseReason.IDLE);
            } else if (!connection.isPeerIdentityValid()) {
                connection.endIfIdle(CloseReason.IDENTITY_EXPIRED);
            } else if (draining && (connection.used() || nowUs - connection.lastChangeUs() > NEW_CONNECTION_GRACE_US)) {
                // One that is new may be about to send its first request.
                connection.endIfIdle(CloseReason.DRAINING);
            }
            connection.endIfStalled(nowUs);
        }
    }

    /** A message was taken from it: it stays for the time being. */
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

    /** An answer to write at once, and whether the connection goes on after it. */
    record ImmediateResponse(byte[] bytes, boolean keepAlive) {}

    private static final ImmediateResponse JOB_STATUS_ACCEPTED =
            new ImmediateResponse(MessageWriter.response(204, null, true), true);

    boolean allowsKeepAlive() {
        return !draining;
    }

    /** Opens the stream that a message asks for, or gives the reply to write at once. */
    ImmediateResponse route(HttpRequest message, DownstreamConnection connection) throws IdentityExpiredException {
        boolean keepAlive = message.keepAlive() && allowsKeepAlive();
        try {
            return switch (message.path()) {
                case "/health/ready" -> {
                    LocalReply.requireMethod(message, "GET");
                    yield new ImmediateResponse(
                            MessageWriter.response(ready ? 200 : 503, new byte[0], keepAlive), keepAlive);
                }
                case "/_jobs/news" -> {
                    LocalReply.requireMethod(message, "POST");
                    yield receiveJobStatus(jobStatusDecoder.decode(message.content()), connection, keepAlive);
                }
                default -> open(message, connection);
            };
        } catch (LocalReply e) {
            // A client that asks for what there is not keeps no connection: by the hundred they would fill the bound.
            return new ImmediateResponse(
                    textResponse(e.status, e.getMessage(), false, "Allow", e.allowedMethod), false);
        } catch (IdentityExpiredException e) {
            throw e;
        } catch (InvalidValueException | IOException e) {
            return new ImmediateResponse(textResponse(400, "news: not understood", false), false);
        }
    }

    /**
     * Takes news from who may bring them. On a connection whose identity has run out they get no answer, so that their
     * sender comes again with its new one; from anybody else they get one that says no.
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
        loop.post(jobStatus);
        connection.onJobStatusReceived();
        return keepAlive ? JOB_STATUS_ACCEPTED : new ImmediateResponse(MessageWriter.response(204, null, false), false);
    }

    /** A message that is owed nothing came on a connection that is over. */
    static final class IdentityExpiredException extends IOException {
        private static final long serialVersionUID = 1L;

        IdentityExpiredException() {
            super("its identity holds no more");
        }
    }

    private ImmediateResponse open(HttpRequest message, DownstreamConnection connection) throws LocalReply {
        Request request = requestDecoder.decode(message);
        PeerIdentity.Rejection rejection = connection.peerIdentity().checkRequest(message, request.tenant());
        if (rejection != null) {
            throw new LocalReply(rejection.status(), rejection.text());
        }
        open.incrementAndGet();
        lastRequestAtUs = loop.now();
        HttpClientStream stream = new HttpClientStream(connection, request.id(), message.keepAlive(), open);
        if (!connection.openStream(stream)) {
            open.decrementAndGet();
            return null;
        }
        loop.post(requestArrived(message, request, stream, lastRequestAtUs));
        return null;
    }

    /** The event of a job that a message hands in, whose last byte had come at that moment. */
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
