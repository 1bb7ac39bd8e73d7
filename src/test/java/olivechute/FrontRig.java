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
import olivechute.net.Connection;
import olivechute.net.ConnectionThreads;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import org.testng.annotations.BeforeMethod;

/**
 * A front alone on real sockets: the test takes its streams, answers them when it wants, and may hold its connections
 * at a gate.
 */
abstract class FrontRig extends NodeRig {
    private static final long SWEEP = 20_000;

    EventLoop loop;
    WriterThreads writers;
    DownstreamServer front;
    InetSocketAddress at;
    BlockingQueue<ProxyEvent.RequestArrived> opened;
    BlockingQueue<ProxyEvent.ClientDisconnected> gone;
    /** Run on the event loop with each request that arrives. */
    volatile Runnable onRequest;

    @BeforeMethod
    public void forget() {
        opened = new LinkedBlockingQueue<>();
        gone = new LinkedBlockingQueue<>();
        onRequest = () -> {};
        writers = new WriterThreads(100);
    }

    void listen(Function<SocketChannel, Connection> links) throws IOException {
        listen(links, 100);
    }

    void listen(Function<SocketChannel, Connection> links, int most) throws IOException {
        listen(links, Threads.connectionThreads(), most);
    }

    void listen(Function<SocketChannel, Connection> links, ConnectionThreads threads, int most) throws IOException {
        Path file = config(peer(r -> null), 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        loop = new EventLoop();
        front = new DownstreamServer(loop, writers, threads, config.settings(), config.loadReportFields(), most);
        loop.runPeriodically(SWEEP, front::sweep);
        loop.start(event -> {
            if (event instanceof ProxyEvent.RequestArrived e) {
                onRequest.run();
                opened.add(e);
            } else if (event instanceof ProxyEvent.ClientDisconnected e) {
                gone.add(e);
            }
        });
        at = front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new PeerIdentity.Authenticator() {
            @Override
            public Connection createTransport(SocketChannel accepted) {
                return links.apply(accepted);
            }

            @Override
            public PeerIdentity authenticate(Connection link) {
                return PeerIdentity.UNRESTRICTED;
            }
        });
        front.ready();
    }

    Client connect() throws IOException {
        Client client = new Client(at);
        parties.add(client);
        return client;
    }

    ProxyEvent.RequestArrived next() throws InterruptedException {
        ProxyEvent.RequestArrived e = opened.poll(3, TimeUnit.SECONDS);
        if (e == null) {
            throw new AssertionError("no stream came");
        }
        return e;
    }

    void serve(ProxyEvent.RequestArrived stream, String result) {
        loop.post(new ProxyEvent.Task(() -> stream.client().sendResult(result.getBytes(StandardCharsets.UTF_8))));
    }

    static void hold(CountDownLatch gate) {
        try {
            gate.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A link that does something before it reads, after it read, or before it writes. */
    static class Watched extends Connection {
        Watched(SocketChannel channel) {
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
