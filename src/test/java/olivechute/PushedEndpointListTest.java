package olivechute;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import olivechute.config.NodeConfig;
import olivechute.node.Node;
import org.testng.annotations.Test;

/**
 * Tests a node whose endpoint lists are pushed to an agent on its own machine: the agent's list applies even while the
 * node's watch fails.
 */
public class PushedEndpointListTest extends NodeTestBase {
    private void startPushed(String... known) throws Exception {
        Path file = writeConfig(discovery, 1024, known);
        Files.writeString(
                file, Files.readString(file).replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\""));
        node = new Node(NodeConfig.load(Map.of("LB_CONFIG", file.toString())));
        Files.delete(file);
    }

    /** The node's configured list is outdated, and nothing prompts the node to request a new one. */
    @Test
    public void agentListAppliesFromStartAndFollowsUpdates() throws Exception {
        TestServer old = startServer(acceptAndReport("s1", doneEvent("old")));
        TestServer host = startServer(acceptAndReport("s2", doneEvent("new")));
        TestServer last = startServer(acceptAndReport("s3", doneEvent("last")));
        byte[] first = endpointListResponse(
                2, true, endpointEntry("s1", old, "leaving", 0), endpointEntry("s2", host, "active", 0));
        byte[] second = endpointListResponse(
                3, false, endpointEntry("s2", host, "leaving", 0), endpointEntry("s3", last, "active", 0));
        byte[] nothing = endpointListResponse(3, false);
        discovery = startServer(
                r -> r.target().contains("since=3") ? nothing : r.target().contains("since=2") ? second : first);
        startPushed(endpointEntry("s1", old, "active", 0));
        await(() -> discovery.requests().stream().anyMatch(r -> r.target().contains("since=3")));
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    statusAndBody(connectClient().exchange(TestClient.jobRequest("verify", "t" + i, 5000))),
                    "200 last");
        }
        assertEquals(old.requests().size() + host.requests().size(), 0);
    }

    /** The watch falls silent on an open connection; {@code WatchTimeoutsTest} covers how soon it is retried. */
    @Test
    public void silentWatchIsRetriedOnANewConnection() throws Exception {
        TestServer old = startServer(acceptAndReport("s1", doneEvent("old")));
        TestServer host = startServer(acceptAndReport("s2", doneEvent("new")));
        byte[] changed = endpointListResponse(
                2, false, endpointEntry("s1", old, "leaving", 0), endpointEntry("s2", host, "active", 0));
        byte[] nothing = endpointListResponse(2, false);
        discovery = startServer(
                r -> discovery.connectionCount.get() < 2 ? null : r.target().contains("since=2") ? nothing : changed);
        startPushed(endpointEntry("s1", old, "active", 0));
        await(() -> discovery.requests().stream().anyMatch(r -> r.target().contains("since=2")));
        assertEquals(statusAndBody(connectClient().exchange(TestClient.jobRequest("verify", "t1", 5000))), "200 new");
        assertEquals(old.requests().size(), 0);
    }
}
