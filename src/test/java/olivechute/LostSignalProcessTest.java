package olivechute;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicReference;
import olivechute.http.MessageWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a real process that misses the signal to reload its configuration, as the virtual machine drops a signal for
 * which it gets no thread. Here the shell's {@code trap} makes the process ignore every SIGHUP. Discovery moves, and a
 * server drains.
 */
public class LostSignalProcessTest extends NodeProcessTestBase {
    private static final byte[] UNAVAILABLE_RESPONSE = MessageWriter.response(503, new byte[0], true);
    private static final byte[] NO_RESPONSE = null;

    /** How discovery at the old address fails: closed, answering 503, or not answering. */
    @DataProvider
    public Object[][] discoveryFailures() {
        return new Object[][] {{true, null}, {false, UNAVAILABLE_RESPONSE}, {false, NO_RESPONSE}};
    }

    @Test(dataProvider = "discoveryFailures")
    public void configurationIsReloadedWhenDiscoveryFails(boolean closed, byte[] answer) throws Exception {
        TestServer first = startServer(null);
        TestServer second = startServer(null);
        first.handler = acceptAndReportToProcess("s1", "first");
        second.handler = acceptAndReportToProcess("s2", "second");
        AtomicReference<byte[]> oldAnswer = new AtomicReference<>(endpointListResponse(1, false));
        discovery = startServer(r -> oldAnswer.get());
        Path file = writeConfig(discovery, 1024, endpointEntry("s1", first, "active", 0));
        startProcess("trap '' HUP", file);
        assertEquals(runJob(), "200 first");

        byte[] drained = endpointListResponse(
                2, false, endpointEntry("s1", first, "leaving", 0), endpointEntry("s2", second, "active", 0));
        byte[] none = endpointListResponse(2, false);
        TestServer newDiscovery = startServer(r -> r.target().contains("since=1&") ? drained : none);
        Files.move(writeConfig(newDiscovery, 1024), file, StandardCopyOption.REPLACE_EXISTING);
        sendHangupSignal();
        oldAnswer.set(answer);
        if (closed) {
            discovery.close();
        }
        awaitAnswer("200 second");
        int sent = first.requests().size();
        assertEquals(runJob(), "200 second");
        assertEquals(first.requests().size(), sent);
        Files.delete(file);
    }
}
