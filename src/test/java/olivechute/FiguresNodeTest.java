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

/** A whole node under a supervisor: what it reports is what its clients saw. */
public class FiguresNodeTest extends NodeRig {
    private static final int JOBS = 120;
    private static final long SEED = 11;
    private static final String[] CLASSES = {"verify", "sign", "pay"};

    private void startUnder(ServerSocket supervisor, String... known) throws Exception {
        discovery = peer(r -> list(1, false));
        Path file = config(discovery, 1024, known);
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
    public void itsFiguresAreItsClientsOwnCounts() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        Map<String, Integer> seen = new TreeMap<>();
        Peer host = peer(r -> ACCEPTED);
        try (ServerSocket supervisor = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            startUnder(supervisor, entry("s1", host, "active", 0));
            Client client = client();
            for (int i = 0; i < JOBS; i++) {
                String kind = CLASSES[random.nextInt(CLASSES.length)];
                boolean fails = random.nextInt(4) == 0;
                host.answer = works("s1", "\"state\":\"started\"", fails ? "\"state\":\"failed\"" : done("r"));
                seen.merge(
                        kind + " "
                                + client.call(Client.job(kind, "t" + i, 5000)).status(),
                        1,
                        Integer::sum);
            }
            // One whose client leaves, and one under a live id, which is no stream.
            host.answer = r -> ACCEPTED;
            int before = host.requests().size();
            Client leaves = client().send(Client.job("verify", "left", 5000));
            await(() -> host.requests().size() > before);
            assertEquals(client().call(Client.job("verify", "left", 5000)).status(), 409);
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
            Map<String, Integer> told = new TreeMap<>();
            long taken = 0;
            for (ClassFigures c : last.getClassesList()) {
                taken += c.getTaken();
                count(told, c.getName() + " 200", c.getServedInTime() + c.getServedLate());
                count(told, c.getName() + " 503", c.getRefused());
                count(told, c.getName() + " 502", c.getFailed());
                count(told, "left", c.getGone());
            }
            seen.put("left", 1);
            assertEquals(told, seen, "seed " + SEED);
            assertTrue(seen.containsKey("pay 502") && seen.containsKey("sign 200"), "too plain: " + seen);
            assertEquals(taken, JOBS + 1);
            assertEquals(last.getRulesBroken(), 0);
            assertEquals(last.getDelayCount(), DelayBuckets.BUCKET_COUNT);
            assertTrue(last.getDelayList().stream().mapToLong(n -> n).sum() <= taken);
            assertTrue(last.getDelayList().stream().mapToLong(n -> n).sum()
                    >= seen.get("verify 200") + seen.get("sign 200"));
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
