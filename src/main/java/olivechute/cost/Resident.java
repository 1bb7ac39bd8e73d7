package olivechute.cost;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Resident memory of connections that have had an answer and stand idle, each with its thread. */
final class Resident {
    /** Opened before the first look: what the first few load is no connection's. */
    private static final int FIRST = 50;
    private static final byte[] READY = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final PrintWriter out;

    Resident(PrintWriter out) {
        this.out = out;
    }

    /** Opens so many and prints what each takes, and how many the node still holds: it sheds what is over its bound. */
    void run(Path jar, int connections) throws IOException {
        List<Wire> held = new ArrayList<>();
        try (Rig rig = new Rig(jar, Mode.SERVICE, -1, Scenario.SILENT)) {
            open(rig, held, FIRST);
            long before = rig.node().resident();
            open(rig, held, connections);
            long after = rig.node().resident();
            int left = rig.node().threads();
            out.printf(Locale.ROOT, "%d idle connections: %.1f KiB each, %.1f MB in all, %d threads%n", connections,
                (after - before) / (double) connections, after / 1024.0, left);
            out.flush();
        } finally {
            for (Wire wire : held) {
                wire.close();
            }
        }
    }

    private static void open(Rig rig, List<Wire> held, int connections) throws IOException {
        for (int i = 0; i < connections; i++) {
            Wire wire = Wire.connect(rig.node().address());
            wire.write(READY);
            wire.read();
            held.add(wire);
        }
    }
}
