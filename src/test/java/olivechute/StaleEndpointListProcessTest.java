package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicBoolean;
import olivechute.http.MessageWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Reproduces the incident of 2026-12-02 with a real process: it is killed and restarted, and its discovery is moved by
 * SIGHUP, while discovery is reachable but returns no list. Servers drain meanwhile.
 */
public class StaleEndpointListProcessTest extends NodeProcessTestBase {
    private static final byte[] UNAVAILABLE_RESPONSE = MessageWriter.response(503, new byte[0], true);
    private static final byte[] NO_RESPONSE = null;

    /** Responses of discovery that contain no endpoint list. */
    @DataProvider
    public Object[][] unhelpfulResponses() {
        return new Object[][] {{UNAVAILABLE_RESPONSE}, {NO_RESPONSE}};
    }

    /** Asserts that no request reaches a server that may have begun to drain. */
    private void assertReceivesNoRequests(TestServer server) throws Exception {
        int before = server.requests().size();
        for (int i = 0; i < 3; i++) {
            assertTrue(runJob().startsWith("503 "));
        }
        assertEquals(server.requests().size(), before);
    }

    @Test(dataProvider = "unhelpfulResponses")
    public void drainingServersGetNothingWhileDiscoveryIsUnavailable(byte[] nothing) throws Exception {
        TestServer first = startServer(null);
        TestServer second = startServer(null);
        TestServer third = startServer(null);
        first.handler = acceptAndReportToProcess("s1", "first");
        second.handler = acceptAndReportToProcess("s2", "second");
        third.handler = acceptAndReportToProcess("s3", "third");
        AtomicBoolean discoveryAnswers = new AtomicBoolean(true);
        discovery = startServer(r -> discoveryAnswers.get() ? endpointListResponse(1, false) : nothing);
        Path file = writeConfig(discovery, 1024, endpointEntry("s1", first, "active", 0));
        startProcess(1024, file);
        assertEquals(runJob(), "200 first");

        // Kills and restarts the node with its initial list; by now the only server on it is draining.
        discoveryAnswers.set(false);
        program.kill();
        startProcess(1024, file);
        assertReceivesNoRequests(first);
        byte[] drained = endpointListResponse(
                2, false, endpointEntry("s1", first, "leaving", 0), endpointEntry("s2", second, "active", 0));
        byte[] none = endpointListResponse(2, false);
        discovery.handler = r -> r.target().contains("since=1&") ? drained : none;
        awaitAnswer("200 second");
        assertEquals(first.requests().size(), 1);

        // Moves discovery to an address that returns no list either; the remaining server begins to drain.
        TestServer moved = startServer(r -> nothing);
        Path replaced = writeConfig(moved, 1024);
        Files.move(replaced, file, StandardCopyOption.REPLACE_EXISTING);
        sendHangupSignal();
        awaitAnswer("503 ");
        assertReceivesNoRequests(second);
        byte[] drainedToo = endpointListResponse(
                3, false, endpointEntry("s2", second, "leaving", 0), endpointEntry("s3", third, "active", 0));
        byte[] noneYet = endpointListResponse(3, false);
        moved.handler = r -> r.target().contains("since=2&") ? drainedToo : noneYet;
        awaitAnswer("200 third");
        int sent = second.requests().size();
        assertEquals(runJob(), "200 third");
        assertEquals(second.requests().size(), sent);
        assertEquals(first.requests().size(), 1);
        Files.delete(file);
    }
}
