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

/** A node that gets too little of its core is late itself: that must not be held against its clients. */
public class LateNodeTest extends NodeRig {
    private static final long SWEEP = 20_000;
    private static final int LATE_MILLIS = 900; // beyond what a client that does not read is given

    private InetSocketAddress front(EventLoop loop, java.util.function.Consumer<ProxyEvent.RequestArrived> opened)
            throws Exception {
        Path file = config(peer(r -> null), 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        DownstreamServer front = new DownstreamServer(
                loop, new WriterThreads(100), Threads.connectionThreads(), config.settings(), config.loadReportFields(), 100);
        loop.runPeriodically(SWEEP, front::sweep);
        loop.start(event -> {
            if (event instanceof ProxyEvent.RequestArrived e) {
                opened.accept(e);
            }
        });
        return front.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), PeerIdentity.Authenticator.PLAINTEXT);
    }

    private static void beLate() {
        try {
            Thread.sleep(LATE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * The thread that has to write comes to it late. The connection was closed under the answer, and the request lost.
     */
    @Test
    public void anAnswerThatThisNodeIsLateToWriteIsWrittenAllTheSame() throws Exception {
        EventLoop loop = new EventLoop();
        InetSocketAddress at = front(loop, e -> {
            loop.defer(LateNodeTest::beLate);
            e.client().sendResult("signed".getBytes(StandardCharsets.UTF_8));
        });
        try (Client client = new Client(at)) {
            assertEquals(text(client.call(Client.job("sign", "t1", 5000))), "200 signed");
            assertEquals(text(client.call(Client.job("sign", "t2", 5000))), "200 signed");
        }
    }

    /** One that does read nothing is still let go, counted from when its answer began to be written. */
    @Test
    public void aClientThatReadsNothingIsLetGo() throws Exception {
        EventLoop loop = new EventLoop();
        byte[] large = new byte[60_000];
        InetSocketAddress at = front(loop, e -> e.client().sendResult(large));
        try (Client client = new Client(at)) {
            client.socket.setReceiveBufferSize(4096);
            long before = System.nanoTime();
            try {
                for (int i = 0; i < 400; i++) {
                    client.send(Client.job("verify", "t" + i, 5000));
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
