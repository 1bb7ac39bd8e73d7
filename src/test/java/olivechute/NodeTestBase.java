package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import olivechute.config.NodeConfig;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.net.Threads;
import olivechute.node.Node;
import org.testng.annotations.AfterMethod;

/** Base class of tests of a node between test clients, upstream servers and discovery, with helpers for them. */
abstract class NodeTestBase {
    static final byte[] ACCEPTED = MessageWriter.response(202, new byte[0], true);
    static final byte[] REJECTED = MessageWriter.response(503, new byte[0], true, "X-Turned-Away", "1");
    static final byte[] ERROR = MessageWriter.response(500, new byte[0], true);

    final List<AutoCloseable> resources = new ArrayList<>();
    volatile Node node;
    TestServer discovery;

    @AfterMethod(alwaysRun = true)
    public void closeResources() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
    }

    TestServer startServer(TestServer.ResponseHandler answer) throws IOException {
        TestServer peer = new TestServer(answer);
        resources.add(peer);
        return peer;
    }

    TestClient connectClient() throws IOException {
        TestClient client = new TestClient(node.address());
        resources.add(client);
        return client;
    }

    static String endpointEntry(String name, TestServer server, String status, long sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + server.hostAndPort()
                + "\",\"zone\":\"a\",\"type\":\"k\",\"status\":\"" + status + "\",\"since_ms\":" + sinceMs + "}";
    }

    static byte[] endpointListResponse(int index, boolean snapshot, String... entries) {
        return MessageWriter.response(
                200,
                ("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                                + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                true);
    }

    /**
     * Returns a discovery handler that answers the node's first request with no changes and delegates later ones to
     * {@code next}.
     */
    TestServer.ResponseHandler emptyUpdateThen(TestServer.ResponseHandler next) {
        return r -> discovery.requests().size() == 1 ? endpointListResponse(1, false) : next.respond(r);
    }

    /**
     * Starts a node whose configuration lists these endpoints; discovery reports no changes unless it was set before.
     */
    void start(String... knownEndpoints) throws IOException {
        startWith(1024, knownEndpoints);
    }

    void startWith(int sockets, String... knownEndpoints) throws IOException {
        startWith(text -> text, sockets, knownEndpoints);
    }

    /** As above, with the text of its configuration changed by {@code settings}. */
    void startWith(UnaryOperator<String> settings, int sockets, String... knownEndpoints) throws IOException {
        if (discovery == null || !resources.contains(discovery)) {
            discovery = startServer(r -> endpointListResponse(1, false));
        }
        Path file = writeConfig(discovery, sockets, knownEndpoints);
        Files.writeString(file, settings.apply(Files.readString(file)));
        node = new Node(NodeConfig.load(Map.of("LB_CONFIG", file.toString())));
        Files.delete(file);
    }

    static Path writeConfig(TestServer discovery, int sockets, String... knownEndpoints) throws IOException {
        try (InputStream in = NodeTestBase.class.getResourceAsStream("/node.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("DISCOVERY", discovery.hostAndPort())
                    .replace("SOCKETS", String.valueOf(sockets))
                    .replace("KNOWN", String.join(",", knownEndpoints));
            return Files.writeString(Files.createTempFile("node", ".json"), text);
        }
    }

    /**
     * Returns a handler that accepts each job and then sends these status events for it, each job's on a connection of
     * its own.
     */
    TestServer.ResponseHandler acceptAndReport(String endpoint, String... events) {
        return request -> {
            Threads.start("news", () -> sendStatusEvents(request.headers().get("X-Txn"), endpoint, events));
            return ACCEPTED;
        };
    }

    void sendStatusEvents(String id, String endpoint, String... events) {
        try (TestClient client = new TestClient(node.address())) {
            for (String event : events) {
                assertEquals(
                        client.exchange(TestClient.statusEventRequest(id, endpoint, event))
                                .status(),
                        204);
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    static String doneEvent(String result) {
        return "\"state\":\"done\",\"result\":\"" + result + "\",\"load\":{\"x0\":3,\"depth\":0}";
    }

    /** Waits up to about 3 s for the condition; fails if it does not hold then. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 300 && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }

    /**
     * Waits until a server has received exactly {@code count} requests; on failure the message lists the requests and
     * the number of connections.
     */
    static void awaitRequests(TestServer server, int count) throws InterruptedException {
        for (int i = 0; i < 300 && server.received.size() != count; i++) {
            Thread.sleep(10);
        }
        assertEquals(server.received.size(), count, "requests at " + server);
    }

    static String statusAndBody(HttpResponse response) {
        return response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
    }
}
