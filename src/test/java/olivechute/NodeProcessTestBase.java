package olivechute;

import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import olivechute.net.Threads;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestProcess;

/** Base class of tests that run a node as a separate process between clients and servers of the test. */
abstract class NodeProcessTestBase extends NodeTestBase {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);
    private static final long PAUSE_MILLIS = 20;

    TestProcess program;
    InetSocketAddress nodeAddress;
    private int jobCount;

    /** Starts a node with this configuration and this limit of file descriptors; returns once it listens. */
    void startProcess(int fileDescriptorLimit, Path configuration) {
        startProcess("ulimit -n " + fileDescriptorLimit, configuration);
    }

    /** As above, after the shell has run {@code shellPrefix}. */
    void startProcess(String shellPrefix, Path configuration) {
        startProcess(shellPrefix, configuration, "96m");
    }

    /** As above, with this maximum size of the heap. */
    void startProcess(String shellPrefix, Path configuration, String maxHeap) {
        program = TestProcess.start(ProcessSpec.command(
                        "node",
                        "/bin/sh",
                        "-c",
                        shellPrefix + "; exec \"$0\" \"$@\"",
                        ProcessSpec.java(),
                        "-Xmx" + maxHeap,
                        "-Dtinylog.level=info",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "olivechute.Main",
                        "serve")
                .withEnvironment("LB_CONFIG", configuration.toString()));
        resources.add(program);
        Matcher line = program.awaitLine("n0 listens on /127.0.0.1:([0-9]+)", START_TIMEOUT);
        nodeAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(line.group(1)));
    }

    /** Makes the node reload its configuration (SIGHUP). */
    void sendHangupSignal() throws Exception {
        new ProcessBuilder("/bin/kill", "-HUP", String.valueOf(program.pid()))
                .start()
                .waitFor();
    }

    TestClient connect() throws Exception {
        TestClient client = new TestClient(nodeAddress);
        resources.add(client);
        return client;
    }

    /** Returns the response to a new job on a new connection. */
    String runJob() throws Exception {
        try (TestClient client = new TestClient(nodeAddress)) {
            return statusAndBody(client.exchange(TestClient.jobRequest("verify", "t" + jobCount++, 3000)));
        }
    }

    /**
     * Sends jobs until a response begins with {@code expectedPrefix}; rejections may come at once, so there is a pause
     * between two jobs.
     */
    void awaitAnswer(String expectedPrefix) throws Exception {
        long end = System.nanoTime() + ANSWER_TIMEOUT.toNanos();
        String answer = runJob();
        while (!answer.startsWith(expectedPrefix) && System.nanoTime() < end) {
            Thread.sleep(PAUSE_MILLIS);
            answer = runJob();
        }
        assertTrue(answer.startsWith(expectedPrefix), answer);
    }

    /** Returns a handler that accepts each job and reports it as done to the process on a new connection. */
    TestServer.ResponseHandler acceptAndReportToProcess(String endpoint, String result) {
        return request -> {
            String id = request.headers().get("X-Txn");
            Threads.start("news", () -> {
                try (TestClient client = new TestClient(nodeAddress)) {
                    client.exchange(TestClient.statusEventRequest(id, endpoint, doneEvent(result)));
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            return ACCEPTED;
        };
    }
}
