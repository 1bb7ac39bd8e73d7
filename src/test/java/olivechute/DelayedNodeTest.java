package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import olivechute.config.NodeConfig;
import olivechute.downstream.DownstreamServer;
import olivechute.downstream.PeerIdentity;
import olivechute.net.Threads;
import olivechute.net.WriterThreads;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import org.testng.annotations.Test;

/** Tests a node that is delayed for lack of processor time, which must not count as a delay of its clients. */
public class DelayedNodeTest extends NodeTestBase {
    private static final long SWEEP_INTERVAL_US = 20_000;
    private static final int DELAY_MILLIS = 900; // longer than the node waits for a client that does not read

    private InetSocketAddress startServer(
            EventLoop loop, java.util.function.Consumer<ProxyEvent.RequestArrived> onRequest) throws Exception {
        Path file = writeConfig(startServer(r -> null), 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        DownstreamServer server = new DownstreamServer(
                loop,
                new WriterThreads(100),
                Threads.connectionThreads(),
                config.settings(),
                config.loadReportFields(),
                100);
        loop.runPeriodically(SWEEP_INTERVAL_US, server::sweep);
        loop.start(event -> {
            if (event instanceof ProxyEvent.RequestArrived e) {
                onRequest.accept(e);
            }
        });
        return server.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), PeerIdentity.Authenticator.PLAINTEXT);
    }

    private static void delay() {
        try {
            Thread.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Regression test: when the writing thread was delayed, the connection was closed before the response was written,
     * and the request was lost.
     */
    @Test
    public void delayedResponseIsStillWritten() throws Exception {
        EventLoop loop = new EventLoop();
        InetSocketAddress address = startServer(loop, e -> {
            loop.defer(DelayedNodeTest::delay);
            e.client().sendResult("signed".getBytes(StandardCharsets.UTF_8));
        });
        try (TestClient client = new TestClient(address)) {
            assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("sign", "t1", 5000))), "200 signed");
            assertEquals(statusAndBody(client.exchange(TestClient.jobRequest("sign", "t2", 5000))), "200 signed");
        }
    }

    /** A client that reads nothing is still disconnected; the time counts from when the write of its response began. */
    @Test
    public void clientThatReadsNothingIsDisconnected() throws Exception {
        EventLoop loop = new EventLoop();
        byte[] large = new byte[60_000];
        InetSocketAddress address = startServer(loop, e -> e.client().sendResult(large));
        try (TestClient client = new TestClient(address)) {
            client.socket.setReceiveBufferSize(4096);
            long before = System.nanoTime();
            try {
                for (int i = 0; i < 400; i++) {
                    client.send(TestClient.jobRequest("verify", "t" + i, 5000));
                    Thread.sleep(5);
                }
            } catch (java.net.SocketException ended) {
                assertTrue(System.nanoTime() - before > 400_000_000L);
                return;
            }
            throw new AssertionError("still open");
        }
    }
}
