package olivechute;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import olivechute.config.NodeConfig;
import olivechute.downstream.DownstreamServer;
import olivechute.downstream.PeerIdentity;
import olivechute.memory.MemoryBudget;
import olivechute.net.Connection;
import olivechute.net.ConnectionThreads;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import org.testng.annotations.BeforeMethod;

/**
 * Base class of tests of a downstream server on real sockets without a node: the test receives its requests, answers
 * them at any time, and may block reads and writes of its connections.
 */
abstract class DownstreamServerTestBase extends NodeTestBase {
    private static final long SWEEP_INTERVAL_US = 20_000;

    EventLoop loop;
    WriterThreads writers;
    DownstreamServer server;
    /** What the peers of the server may make it hold. */
    MemoryBudget memory;

    InetSocketAddress serverAddress;
    BlockingQueue<ProxyEvent.RequestArrived> arrivedRequests;
    BlockingQueue<ProxyEvent.ClientDisconnected> disconnects;
    /** Runs on the event loop for each request that arrives. */
    volatile Runnable onRequest;

    @BeforeMethod
    public void resetState() {
        arrivedRequests = new LinkedBlockingQueue<>();
        disconnects = new LinkedBlockingQueue<>();
        onRequest = () -> {};
        writers = new WriterThreads(100);
        memory = MemoryBudget.unlimited();
    }

    void listen(Function<SocketChannel, Connection> connectionFactory) throws IOException {
        listen(connectionFactory, 100);
    }

    void listen(Function<SocketChannel, Connection> connectionFactory, int maxConnections) throws IOException {
        listen(connectionFactory, Threads.connectionThreads(), maxConnections);
    }

    void listen(Function<SocketChannel, Connection> connectionFactory, ConnectionThreads threads, int maxConnections)
            throws IOException {
        Path file = writeConfig(startServer(r -> null), 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        loop = new EventLoop();
        server = new DownstreamServer(
                loop, writers, threads, config.settings(), config.loadReportFields(), maxConnections, memory);
        loop.runPeriodically(SWEEP_INTERVAL_US, server::sweep);
        loop.start(event -> {
            if (event instanceof ProxyEvent.RequestArrived e) {
                onRequest.run();
                arrivedRequests.add(e);
            } else if (event instanceof ProxyEvent.ClientDisconnected e) {
                disconnects.add(e);
            }
        });
        serverAddress = server.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new PeerIdentity.Authenticator() {
                    @Override
                    public Connection createTransport(SocketChannel accepted) {
                        return connectionFactory.apply(accepted);
                    }

                    @Override
                    public PeerIdentity authenticate(Connection link) {
                        return PeerIdentity.UNRESTRICTED;
                    }
                });
        server.ready();
    }

    TestClient connect() throws IOException {
        TestClient client = new TestClient(serverAddress);
        resources.add(client);
        return client;
    }

    ProxyEvent.RequestArrived awaitRequest() throws InterruptedException {
        ProxyEvent.RequestArrived e = arrivedRequests.poll(3, TimeUnit.SECONDS);
        if (e == null) {
            throw new AssertionError("no request arrived");
        }
        return e;
    }

    void sendResult(ProxyEvent.RequestArrived request, String result) {
        loop.post(new ProxyEvent.Task(() -> request.client().sendResult(result.getBytes(StandardCharsets.UTF_8))));
    }

    static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A connection with hooks before each read, after each read and before each write. */
    static class ObservedConnection extends Connection {
        ObservedConnection(SocketChannel channel) {
            super(channel);
        }

        void beforeRead() {
            // nothing
        }

        void afterRead(int n) {
            // nothing
        }

        void beforeWrite() {
            // nothing
        }

        @Override
        public int read(ByteBuffer into) throws IOException {
            beforeRead();
            int n = super.read(into);
            afterRead(n);
            return n;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            beforeWrite();
            super.write(bytes);
        }

        @Override
        public void write(ByteBuffer head, ByteBuffer body) throws IOException {
            beforeWrite();
            super.write(head, body);
        }
    }
}
