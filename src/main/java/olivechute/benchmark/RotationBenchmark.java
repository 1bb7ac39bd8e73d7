package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import olivechute.net.Threads;
import olivechute.tls.TlsContext;

/**
 * Sends load while all SVIDs and the CA behind them are replaced repeatedly: a new CA is added to the trust bundle, new
 * SVIDs are issued by it, the old CA is removed. Clients that find their connection ended between two requests send the
 * request again once, as the protocol requires.
 */
final class RotationBenchmark {
    private static final int CLIENTS = 16;
    private static final int ENDPOINT_COUNT = 24;
    /**
     * Pause between the steps of a rotation. The node polls its SVID folder every 50 ms; a tool that rotates
     * certificates must leave at least that time between the steps.
     */
    private static final long STEP_MILLIS = 250;

    private final PrintWriter out;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicLong ids = new AtomicLong(0x2000_0000_0000L);
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong resent = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();

    RotationBenchmark(PrintWriter out) {
        this.out = out;
    }

    /** Prints the outcome of all requests; returns true if each was answered and none ran twice. */
    boolean run(Path jar, int rotations) throws IOException, InterruptedException {
        try (TestTrustDomain trust = new TestTrustDomain();
                StandInEndpoints endpoints = new StandInEndpoints(trust, ENDPOINT_COUNT, 0, false);
                StandInDiscovery discovery = new StandInDiscovery(endpoints.entries());
                NodeProcess node = new NodeProcess(
                        jar, Mode.SERVICE, -1, 1024, discovery.addressText(), endpoints.entries(), trust.settings())) {
            endpoints.nodeAddress(node.address());
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Threads.start("client", () -> load(trust, node)));
            }
            for (int i = 0; i < rotations; i++) {
                Thread.sleep(STEP_MILLIS);
                trust.addAuthority();
                Thread.sleep(STEP_MILLIS);
                trust.renewSvids();
                Thread.sleep(STEP_MILLIS);
                trust.removeOldAuthority();
            }
            Thread.sleep(STEP_MILLIS);
            stopped.set(true);
            for (Thread client : clients) {
                client.join();
            }
            long duplicateRuns = endpoints.acceptedRequests() - endpoints.distinctRequests();
            out.printf(
                    Locale.ROOT,
                    "%d rotations: %d served, %d rejected, %d resent on a new connection, %d lost, %d ran twice,"
                            + " %d connections opened%n",
                    rotations,
                    served.get(),
                    rejected.get(),
                    resent.get(),
                    lost.get(),
                    duplicateRuns,
                    endpoints.acceptedConnections());
            out.flush();
            return lost.get() == 0 && duplicateRuns == 0 && served.get() > 0;
        }
    }

    private void load(TestTrustDomain trust, NodeProcess node) {
        BlockingHttpConnection connection = null;
        TlsContext identity = null;
        while (!stopped.get()) {
            byte[] request = newRequest();
            for (int retries = 0; ; retries++) {
                try {
                    if (connection == null || identity != trust.client()) {
                        close(connection);
                        identity = trust.client();
                        connection = trust.client(node.address());
                    }
                    connection.write(request);
                    BlockingHttpConnection.Message answer = connection.read();
                    if (answer == null) {
                        throw new IOException("connection ended");
                    }
                    count(answer);
                    break;
                } catch (IOException e) {
                    close(connection);
                    connection = null;
                    if (retries > 0) {
                        lost("no answer on a new connection: " + e.getMessage());
                        break;
                    }
                    resent.incrementAndGet();
                }
            }
        }
        close(connection);
    }

    private void count(BlockingHttpConnection.Message answer) {
        switch (answer.status()) {
            case 200 -> served.incrementAndGet();
            case 503 -> rejected.incrementAndGet();
            default -> lost("answered " + answer.status());
        }
    }

    private synchronized void lost(String why) {
        lost.incrementAndGet();
        out.println("lost: " + why);
    }

    private static void close(BlockingHttpConnection connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            return; // the connection is no longer needed
        }
    }

    private byte[] newRequest() {
        String id = Long.toHexString(ids.incrementAndGet());
        return ("POST /sign?user=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                        + "\r\nX-Org: acme\r\n" + "X-Remaining: 4800m\r\nIdempotency-Key: k" + id
                        + "\r\nContent-Length: 4\r\n\r\nbody")
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
