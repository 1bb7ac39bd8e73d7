package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import javax.net.ssl.SSLSocket;
import org.HdrHistogram.Histogram;

/** Measures the node's CPU for a connection with one request, and the time from connecting to the answer. */
final class ConnectBenchmark {
    private static final int WARMUP_CONNECTIONS = 300;

    private final PrintWriter out;
    private final int core;

    ConnectBenchmark(PrintWriter out, int core) {
        this.out = out;
        this.core = core;
    }

    /** Prints a line each for plain connections, full handshakes and resumed ones; the node is pinned to one core. */
    void run(Path jar, int connections) throws IOException {
        out.printf("%-10s %8s %9s %9s%n", "connection", "cpu us", "p50 us", "p99 us");
        measure(new NodeUnderTest(jar, false), "plain", false, connections);
        measure(new NodeUnderTest(jar, true), "full", false, connections);
        measure(new NodeUnderTest(jar, true), "resumed", true, connections);
    }

    private void measure(NodeUnderTest subject, String name, boolean resumes, int connections) throws IOException {
        try (BenchmarkRig rig = new BenchmarkRig(subject, Mode.SERVICE, core, Scenario.SILENT)) {
            openConnections(rig, resumes, WARMUP_CONNECTIONS);
            Usage before = rig.node().usage(false);
            Histogram latenciesUs = openConnections(rig, resumes, connections);
            Usage used = rig.node().usage(false).minus(before);
            out.printf(
                    Locale.ROOT,
                    "%-10s %8.0f %9d %9d%n",
                    name,
                    used.cpuUs() / (double) connections,
                    latenciesUs.getValueAtPercentile(50),
                    latenciesUs.getValueAtPercentile(99));
            out.flush();
        }
    }

    private static Histogram openConnections(BenchmarkRig rig, boolean resumes, int connections) throws IOException {
        Histogram latenciesUs = new Histogram(10_000_000, 3);
        for (int i = 0; i < connections; i++) {
            long startNanos = System.nanoTime();
            try (BlockingHttpConnection connection = rig.openConnection()) {
                if (!rig.usesTls()) {
                    connection.write(
                            BlockingHttpConnection
                                    .READINESS_REQUEST); // with TLS this is part of opening the connection
                    connection.read();
                }
                latenciesUs.recordValue((System.nanoTime() - startNanos) / 1000);
                if (!resumes && connection.socket() instanceof SSLSocket secured) {
                    secured.getSession().invalidate();
                }
            }
        }
        return latenciesUs;
    }
}
