package olivechute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import olivechute.config.NodeConfig;
import olivechute.discovery.EndpointListWatcher;
import olivechute.endpointlist.EndpointListLease;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.EndpointState;
import olivechute.net.Connection;
import olivechute.net.WriterThreads;
import olivechute.proxy.EndpointListUpdate;
import olivechute.proxy.Payload;
import olivechute.proxy.ProxyEvent;
import olivechute.proxy.ResolvedEndpoint;
import olivechute.proxy.UpstreamRequest;
import olivechute.upstream.ConnectionPools;
import olivechute.upstream.LoadReportHeader;
import org.testng.annotations.Test;

/** Tests that written data is sent at once: no socket of the node sends a first byte before TCP_NODELAY is set. */
public class NoDelayTest extends DownstreamServerTestBase {
    private final Queue<Boolean> noDelayAtWrite = new ConcurrentLinkedQueue<>();

    /** Returns a connection that reads the socket option from the system at each write. */
    private Connection recordingConnection(SocketChannel channel) {
        return new ObservedConnection(channel) {
            @Override
            void beforeWrite() {
                try {
                    noDelayAtWrite.add(socket().getTcpNoDelay());
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        };
    }

    private void assertSetAtEachWrite() {
        assertEquals(noDelayAtWrite.peek(), Boolean.TRUE);
        assertTrue(noDelayAtWrite.stream().allMatch(set -> set));
        noDelayAtWrite.clear();
    }

    @Test
    public void downstreamConnections() throws Exception {
        listen(this::recordingConnection);
        assertEquals(
                connect()
                        .exchange("GET /health/ready HTTP/1.1\r\n\r\n".getBytes(UTF_8))
                        .status(),
                200);
        assertSetAtEachWrite();
    }

    @Test
    public void upstreamConnections() throws Exception {
        TestServer host = startServer(r -> ACCEPTED);
        listen(Connection::new);
        Path file = writeConfig(startServer(r -> null), 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        ConnectionPools pools = new ConnectionPools(
                loop,
                new WriterThreads(10),
                name -> recordingConnection(SocketChannel.open()),
                new LoadReportHeader(config.loadReportFields()),
                1_500_000,
                250_000,
                10,
                false);
        loop.post(new ProxyEvent.Task(() -> {
            pools.onListUpdate(new EndpointListUpdate(
                    1,
                    true,
                    List.of(new ResolvedEndpoint(
                            new EndpointInfo("s1", "a", null, 0, EndpointState.ACTIVE, 1, 0), host.hostAndPort()))));
            pools.send(new UpstreamRequest(
                    "t1",
                    0,
                    "s1",
                    new Payload("/verify", null, new byte[0], 0, 0),
                    1_000_000,
                    false,
                    (request, at, transit) -> true));
        }));
        awaitRequests(host, 1);
        assertSetAtEachWrite();
    }

    @Test
    public void discoveryConnection() throws Exception {
        TestServer asked = startServer(r -> null);
        listen(Connection::new);
        Path file = writeConfig(asked, 1024);
        NodeConfig config = NodeConfig.load(Map.of("LB_CONFIG", file.toString()));
        Files.delete(file);
        EndpointListWatcher watch = new EndpointListWatcher(
                loop,
                config.discoveryAddress(),
                config.initialEndpoints(),
                config.settings(),
                config.seed(),
                EndpointListLease.nonExpiring());
        watch.start();
        watch.watch();
        awaitRequests(asked, 1);
        Field connection = EndpointListWatcher.class.getDeclaredField("connection");
        connection.setAccessible(true);
        Field socket = connection.getType().getDeclaredField("socket");
        socket.setAccessible(true);
        assertTrue(((Socket) socket.get(connection.get(watch))).getTcpNoDelay());
    }
}
