package olivechute;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import olivechute.rig.ProcessSpec;
import org.testng.annotations.Test;

/** Tests a node process under limits and signals of the operating system. */
public class NodeProcessTest extends NodeProcessTestBase {
    private static final byte[] READINESS_REQUEST = "GET /health/ready HTTP/1.1\r\n\r\n".getBytes(UTF_8);
    private static final int FILE_DESCRIPTOR_LIMIT = 200; // limit of the system; the settings say 1024

    /**
     * Starts a node with this limit of file descriptors whose configuration lists this endpoint, while discovery is
     * down.
     */
    private void startWithoutDiscovery(int descriptors, String known) throws Exception {
        TestServer down = startServer(r -> null);
        down.close();
        Path file = writeConfig(down, 1024, known);
        startProcess(descriptors, file);
        Files.delete(file);
    }

    /**
     * The settings allow more descriptors than the system does: new clients, status events, readiness requests and
     * upstream connections still get their share of them.
     */
    @Test
    public void idleClientsDoNotExhaustDescriptors() throws Exception {
        TestServer host = startServer(null);
        host.handler = acceptAndReportToProcess("s1", "ok");
        startWithoutDiscovery(FILE_DESCRIPTOR_LIMIT, endpointEntry("s1", host, "active", 0));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < FILE_DESCRIPTOR_LIMIT + 50; i++) {
                TestClient idle = connect();
                if (i % 2 == 0) {
                    idle.exchange(READINESS_REQUEST);
                }
            }
            assertEquals(connect().exchange(READINESS_REQUEST).status(), 200);
            assertEquals(
                    statusAndBody(connect().exchange(TestClient.jobRequest("verify", "t" + round, 5000))), "200 ok");
        }
        assertTrue(program.isAlive());
    }

    /**
     * SIGTERM, SIGHUP and another SIGTERM arrive at once: open requests are answered, and the process exits with the
     * status of SIGTERM.
     */
    @Test
    public void simultaneousRepeatedSignalsLoseNoRequest() throws Exception {
        TestServer host = startServer(null);
        host.handler = r -> {
            program.terminate();
            sendHangupSignal();
            program.terminate();
            return acceptAndReportToProcess("s1", "ok").respond(r);
        };
        startWithoutDiscovery(1024, endpointEntry("s1", host, "active", 0));
        assertEquals(statusAndBody(connect().exchange(TestClient.jobRequest("sign", "t1", 5000))), "200 ok");
        assertEquals(program.awaitExit(Duration.ofSeconds(6)), 143);
    }

    /**
     * Regression test: the shutdown hook, which is installed first, logged after the reason, and a supervisor took the
     * rejected settings for a crash.
     */
    @Test
    public void startFailureReasonIsTheLastOutput() throws Exception {
        Path file = Files.writeString(Files.createTempFile("node", ".json"), "{}");
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessSpec.java(),
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "olivechute.Main",
                        "serve")
                .redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", file.toString());
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), UTF_8).strip();
        Files.delete(file);
        assertEquals(process.waitFor(), 1);
        assertTrue(output.startsWith("config.settings: missing") && !output.contains("\n"), output);
    }
}
