package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import olivechute.config.NodeConfig;
import olivechute.fleet.wire.ClassFigures;
import olivechute.fleet.wire.NodeFigures;
import olivechute.metrics.DelayBuckets;
import olivechute.node.Node;
import org.testng.annotations.Test;

/** Tests that the metrics which a node reports to its supervisor match what its clients observed. */
public class NodeMetricsTest extends NodeTestBase {
    private static final int JOBS = 120;
    private static final long SEED = 11;
    private static final String[] CLASSES = {"verify", "sign", "pay"};

    private void startWithSupervisor(ServerSocket supervisor, String... known) throws Exception {
        discovery = startServer(r -> endpointListResponse(1, false));
        Path file = writeConfig(discovery, 1024, known);
        node = new Node(NodeConfig.load(Map.of(
                "LB_CONFIG",
                file.toString(),
                "OLIVECHUTE_VERSION",
                "v7",
                "OLIVECHUTE_FIGURES",
                "127.0.0.1:" + supervisor.getLocalPort())));
        Files.delete(file);
    }

    @Test
    public void reportedMetricsMatchClientCounts() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        Map<String, Integer> observed = new TreeMap<>();
        TestServer host = startServer(r -> ACCEPTED);
        try (ServerSocket supervisor = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            startWithSupervisor(supervisor, endpointEntry("s1", host, "active", 0));
            TestClient client = connectClient();
            for (int i = 0; i < JOBS; i++) {
                String kind = CLASSES[random.nextInt(CLASSES.length)];
                boolean fails = random.nextInt(4) == 0;
                host.handler =
                        acceptAndReport("s1", "\"state\":\"started\"", fails ? "\"state\":\"failed\"" : doneEvent("r"));
                observed.merge(
                        kind + " "
                                + client.exchange(TestClient.jobRequest(kind, "t" + i, 5000))
                                        .status(),
                        1,
                        Integer::sum);
            }
            // One job whose client disconnects, and one with an id already in use, which is not counted as a request.
            host.handler = r -> ACCEPTED;
            int before = host.requests().size();
            TestClient leaves = connectClient().send(TestClient.jobRequest("verify", "left", 5000));
            await(() -> host.requests().size() > before);
            assertEquals(
                    connectClient()
                            .exchange(TestClient.jobRequest("verify", "left", 5000))
                            .status(),
                    409);
            leaves.close();
            await(() -> node.unansweredRequests() == 0);
            node.drain();

            NodeFigures last = null;
            supervisor.setSoTimeout(8000);
            try (Socket socket = supervisor.accept()) {
                socket.setSoTimeout(8000);
                for (NodeFigures f = read(socket); f != null; f = read(socket)) {
                    assertTrue(last == null
                            || (f.getSequence() == last.getSequence() + 1
                                    && f.getIncarnation() == last.getIncarnation()));
                    last = f;
                }
            }
            assertNotNull(last);
            assertEquals(last.getNode() + " " + last.getVersion(), "n0 v7");
            Map<String, Integer> reported = new TreeMap<>();
            long taken = 0;
            for (ClassFigures c : last.getClassesList()) {
                taken += c.getTaken();
                count(reported, c.getName() + " 200", c.getServedInTime() + c.getServedLate());
                count(reported, c.getName() + " 503", c.getRefused());
                count(reported, c.getName() + " 502", c.getFailed());
                count(reported, "left", c.getGone());
            }
            observed.put("left", 1);
            assertEquals(reported, observed, "seed " + SEED);
            assertTrue(
                    observed.containsKey("pay 502") && observed.containsKey("sign 200"),
                    "too little variety: " + observed);
            assertEquals(taken, JOBS + 1);
            assertEquals(last.getRulesBroken(), 0);
            assertEquals(last.getDelayCount(), DelayBuckets.BUCKET_COUNT);
            assertTrue(last.getDelayList().stream().mapToLong(n -> n).sum() <= taken);
            assertTrue(last.getDelayList().stream().mapToLong(n -> n).sum()
                    >= observed.get("verify 200") + observed.get("sign 200"));
        }
    }

    private static NodeFigures read(Socket socket) throws Exception {
        return NodeFigures.parseDelimitedFrom(socket.getInputStream());
    }

    private static void count(Map<String, Integer> counts, String what, long n) {
        if (n > 0) {
            counts.merge(what, (int) n, Integer::sum);
        }
    }
}
