package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import olivechute.net.Threads;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests each fault of a link as seen by a client of an echo server behind it. */
@Timeout(20)
class LinkProxyTest {
    private static final int SILENT_MILLIS = 300;

    private ServerSocket echo;
    private LinkProxy link;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Threads.start("echo", () -> {
            try {
                for (; ; ) {
                    Socket socket = echo.accept();
                    Threads.start("echo-one", () -> {
                        try (socket) {
                            socket.getInputStream().transferTo(socket.getOutputStream());
                        } catch (IOException broken) {
                            return;
                        }
                    });
                }
            } catch (IOException closed) {
                return;
            }
        });
        link = new LinkProxy(new java.net.InetSocketAddress(echo.getInetAddress(), echo.getLocalPort()));
    }

    @AfterEach
    void stop() throws IOException {
        link.close();
        echo.close();
    }

    private Socket connect(int millis) throws IOException {
        Socket socket = new Socket();
        socket.connect(link.address(), millis);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static byte[] exchange(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return socket.getInputStream().readNBytes(bytes.length);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENT_MILLIS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(10_000);
    }

    @Test
    void forwardsBothWaysAndEndsCleanly() throws IOException {
        byte[] much = new byte[1_000_000];
        new java.util.Random(7).nextBytes(much);
        try (Socket socket = connect(1000)) {
            Threads.start("send", () -> {
                try {
                    socket.getOutputStream().write(much);
                    socket.shutdownOutput();
                } catch (IOException e) {
                    return;
                }
            });
            assertArrayEquals(much, socket.getInputStream().readAllBytes());
        }
    }

    @Test
    void partitionToTargetHoldsBytesAndBlocksNewConnections() throws IOException {
        assertPartitionHoldsBytes(LinkProxy.Direction.TO_TARGET);
    }

    @Test
    void partitionFromTargetHoldsBytesAndBlocksNewConnections() throws IOException {
        assertPartitionHoldsBytes(LinkProxy.Direction.FROM_TARGET);
    }

    private void assertPartitionHoldsBytes(LinkProxy.Direction way) throws IOException {
        try (Socket socket = connect(1000)) {
            assertArrayEquals(new byte[] {1}, exchange(socket, new byte[] {1}));
            link.partition(way);
            socket.getOutputStream().write(2);
            assertSilent(socket);
            assertThrows(SocketTimeoutException.class, () -> connect(SILENT_MILLIS));
            link.heal();
            assertEquals(2, socket.getInputStream().read());
            try (Socket next = connect(8000)) {
                assertArrayEquals(new byte[] {3}, exchange(next, new byte[] {3}));
            }
        }
    }

    @Test
    void partitionHidesTheEndOfStream() throws IOException {
        try (Socket socket = connect(1000)) {
            assertArrayEquals(new byte[] {1}, exchange(socket, new byte[] {1}));
            link.partition();
            socket.shutdownOutput(); // the echo server closes the connection in response
            assertSilent(socket);
            link.heal();
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    @Test
    void resetAffectsOpenConnectionsOnly() throws IOException {
        try (Socket socket = connect(1000)) {
            assertArrayEquals(new byte[] {1}, exchange(socket, new byte[] {1}));
            link.reset();
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
            try (Socket next = connect(1000)) {
                assertArrayEquals(new byte[] {3}, exchange(next, new byte[] {3}));
            }
        }
    }

    @Test
    void delayAppliesToEachByteAndKeepsTheOrder() throws IOException {
        link.delay(LinkProxy.Direction.TO_TARGET, Duration.ofMillis(150));
        link.delay(LinkProxy.Direction.FROM_TARGET, Duration.ofMillis(100));
        try (Socket socket = connect(1000)) {
            long begun = System.nanoTime();
            assertArrayEquals(new byte[] {1, 2, 3}, exchange(socket, new byte[] {1, 2, 3}));
            assertTrue(System.nanoTime() - begun >= 250_000_000);
        }
    }

    @Test
    void rateLimitBoundsBytesPerSecond() throws IOException {
        link.limitRate(LinkProxy.Direction.FROM_TARGET, 20_000);
        try (Socket socket = connect(1000)) {
            long begun = System.nanoTime();
            assertEquals(10_000, exchange(socket, new byte[10_000]).length);
            assertTrue(System.nanoTime() - begun >= 400_000_000); // 10 chunks of 1000 bytes, the first at once
        }
    }

    @Test
    void unreachableTargetResetsTheConnection() throws IOException {
        echo.close();
        try (Socket socket = connect(1000)) {
            assertThrows(SocketException.class, () -> socket.getInputStream().read());
        }
    }
}
