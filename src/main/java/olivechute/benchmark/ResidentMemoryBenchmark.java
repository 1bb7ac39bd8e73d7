package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures the resident memory of idle connections that have received an answer, each with its thread. */
final class ResidentMemoryBenchmark {
    /** Connections opened before the first measurement, as classes loaded by the first few belong to no connection. */
    private static final int WARMUP_CONNECTIONS = 50;

    private final PrintWriter out;

    ResidentMemoryBenchmark(PrintWriter out) {
        this.out = out;
    }

    /**
     * Opens this many connections and prints the memory of each and the node's thread count, which shows how many it
     * still holds: it sheds those over its limit.
     */
    void run(NodeUnderTest subject, int connections) throws IOException {
        List<BlockingHttpConnection> openConnections = new ArrayList<>();
        try (BenchmarkRig rig = new BenchmarkRig(subject, Mode.SERVICE, -1, Scenario.SILENT)) {
            open(rig, openConnections, WARMUP_CONNECTIONS);
            long before = rig.node().residentKib();
            open(rig, openConnections, connections);
            long after = rig.node().residentKib();
            int threads = rig.node().threads();
            out.printf(
                    Locale.ROOT,
                    "%d idle connections: %.1f KiB each, %.1f MB in all, %d threads%n",
                    connections,
                    (after - before) / (double) connections,
                    after / 1024.0,
                    threads);
            out.flush();
        } finally {
            for (BlockingHttpConnection connection : openConnections) {
                connection.close();
            }
        }
    }

    private static void open(BenchmarkRig rig, List<BlockingHttpConnection> openConnections, int connections)
            throws IOException {
        for (int i = 0; i < connections; i++) {
            BlockingHttpConnection connection = rig.openConnection();
            connection.write(BlockingHttpConnection.READINESS_REQUEST);
            connection.read();
            openConnections.add(connection);
        }
    }
}
