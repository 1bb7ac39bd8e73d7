package olivechute.supervisor;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.fleet.wire.NodeFigures;
import olivechute.net.ConnectionThreads;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests metrics received over real sockets, and that connections with invalid or slow messages are closed. */
@Timeout(60)
@SuppressWarnings("UnsynchronizedOverridesSynchronized") // started once, by the test's thread
class MetricsReceiverTest {
    private final BlockingQueue<String> output = new LinkedBlockingQueue<>();
    private final MetricsBuffer buffer = new MetricsBuffer(Set.of("n", "o"));
    private final AtomicInteger threadFailures = new AtomicInteger();
    private MetricsReceiver receiver;

    @BeforeEach
    void open() throws Exception {
        receiver = new MetricsReceiver(new InetSocketAddress("127.0.0.1", 0), buffer, 2, 500, threads(), output::add);
    }

    /** Runs tasks on system threads, except for as many as {@link #threadFailures} says, whose start fails. */
    private ConnectionThreads threads() {
        return new ConnectionThreads(task -> new Thread(task) {
            @Override
            public void start() {
                if (threadFailures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                    throw new OutOfMemoryError("unable to create native thread");
                }
                super.start();
            }
        });
    }

    @AfterEach
    void close() {
        receiver.close();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(receiver.address().split(":")[1]));
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static byte[] frame(String node, long incarnation, long sequence) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            NodeFigures.newBuilder()
                    .setNode(node)
                    .setVersion("v1")
                    .setIncarnation(incarnation)
                    .setSequence(sequence)
                    .build()
                    .writeDelimitedTo(out);
            return out.toByteArray();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Asserts that the other end closes the connection, by an end of stream or a reset. */
    private static void assertClosed(Socket socket) {
        try {
            assertEquals(-1, socket.getInputStream().read());
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("not dropped", e);
        } catch (IOException e) {
            assertTrue(socket.isConnected());
        }
    }

    @Test
    void keepsTheNewestMetricsOfEachNode() throws Exception {
        try (Socket one = connect();
                Socket other = connect()) {
            byte[] first = frame("n", 5, 1);
            one.getOutputStream().write(first, 0, 3);
            one.getOutputStream().flush();
            one.getOutputStream().write(first, 3, first.length - 3);
            assertEquals("figures from n", output.poll(20, TimeUnit.SECONDS));
            other.getOutputStream().write(frame("n", 6, 1));
            assertEquals("figures from n", output.poll(20, TimeUnit.SECONDS));
            one.getOutputStream().write(frame("n", 5, 2));
            one.getOutputStream().write(frame("o", 1, 1));
            assertEquals("figures from o", output.poll(20, TimeUnit.SECONDS));
        }
        List<NodeFigures> unpublished = buffer.unpublished();
        assertEquals(2, unpublished.size());
        assertTrue(unpublished.stream().anyMatch(f -> f.getNode().equals("n") && f.getIncarnation() == 6));
        assertEquals(List.of(), buffer.unpublished());
    }

    /**
     * Guards against a leak of connection slots: when more connections than the limit of 2 fail for lack of a thread,
     * each must free its slot, so that the next connection is served.
     */
    @Test
    void closesConnectionsWithoutAThreadAndServesTheNext() throws Exception {
        threadFailures.set(3);
        for (int i = 0; i < 3; i++) {
            try (Socket refused = connect()) {
                assertClosed(refused);
            }
        }
        try (Socket next = connect()) {
            next.getOutputStream().write(frame("n", 1, 1));
            assertEquals("figures from n", output.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void reportsTheReloadedVersionUntilTheNextStart() {
        buffer.update(NodeFigures.newBuilder()
                .setNode("n")
                .setVersion("v1")
                .setIncarnation(1)
                .setSequence(1)
                .build());
        buffer.versionOverride("n", "v1", "v2");
        assertEquals("v2", buffer.unpublished().get(0).getVersion());
        buffer.processStarted("n");
        buffer.update(NodeFigures.newBuilder()
                .setNode("n")
                .setVersion("v1")
                .setIncarnation(2)
                .setSequence(1)
                .build());
        assertEquals("v1", buffer.unpublished().get(0).getVersion());
        assertEquals(
                MetricsBuffer.UpdateResult.STALE,
                buffer.update(NodeFigures.newBuilder()
                        .setNode("n")
                        .setVersion("v1")
                        .setIncarnation(2)
                        .setSequence(1)
                        .build()));
    }

    @Test
    void closesInvalidAndSlowConnectionsAndServesTheNext() throws Exception {
        for (byte[] invalid : List.of(
                frame("stranger", 1, 1),
                new byte[] {2, 0x7f, 0x7f},
                new byte[] {-1, -1, -1, -1},
                new byte[] {-127, -128, 4},
                "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
                new byte[] {50, 1})) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write(invalid);
                assertClosed(socket);
            }
        }
        try (Socket socket = connect()) {
            socket.getOutputStream().write(frame("n", 1, 1));
            assertEquals("figures from n", output.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void limitsOpenConnections() throws Exception {
        try (Socket one = connect();
                Socket two = connect()) {
            one.getOutputStream().write(frame("n", 1, 1));
            two.getOutputStream().write(frame("o", 1, 1));
            for (int connection = 1; connection <= 2; connection++) {
                assertTrue(output.poll(20, TimeUnit.SECONDS) != null, "connection " + connection);
            }
            try (Socket three = connect()) {
                three.getOutputStream().write(frame("n", 2, 1));
                assertClosed(three);
            }
        }
        assertEquals(
                1,
                buffer.unpublished().stream()
                        .filter(f -> f.getNode().equals("n"))
                        .findFirst()
                        .orElseThrow()
                        .getIncarnation());
    }
}
