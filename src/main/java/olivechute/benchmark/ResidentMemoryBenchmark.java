package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Resident memory of connections that have had an answer and stand idle, each with its thread. */
final class ResidentMemoryBenchmark {
    /** Opened before the first look: what the first few load is no connection's. */
    private static final int WARMUP_CONNECTIONS = 50;

    private final PrintWriter out;

    ResidentMemoryBenchmark(PrintWriter out) {
        this.out = out;
    }

    /** Opens so many and prints what each takes, and how many the node still holds: it sheds what is over its bound. */
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
            for (BlockingHttpConnection wire : openConnections) {
                wire.close();
            }
        }
    }

    private static void open(BenchmarkRig rig, List<BlockingHttpConnection> openConnections, int connections)
            throws IOException {
        for (int i = 0; i < connections; i++) {
            BlockingHttpConnection wire = rig.openConnection();
            wire.write(BlockingHttpConnection.READINESS_REQUEST);
            wire.read();
            openConnections.add(wire);
        }
    }
}
