package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Counts a node's system calls by name, with {@code strace -f -c} attached to its process. */
final class CallTrace {
    /** System calls rarer than this per request come from the node's periodic work and are not printed. */
    private static final double MIN_CALLS_PER_REQUEST = 0.02;

    private static final int WARMUP_RUNS = 8;

    private final PrintWriter out;

    CallTrace(PrintWriter out) {
        this.out = out;
    }

    void run(List<Scenario> scenarios, NodeUnderTest subject) throws IOException, InterruptedException {
        for (Scenario s : scenarios) {
            int n = s.requests();
            Path table = Files.createTempFile("calls", ".txt");
            try (BenchmarkRig rig = new BenchmarkRig(subject, Mode.SERVICE, -1, s)) {
                for (int i = 0; i < WARMUP_RUNS; i++) {
                    rig.warmUp(); // until compilation is over: the compiler's system calls belong to no request
                }
                Process tracer = new ProcessBuilder(
                                "strace",
                                "-f",
                                "-q",
                                "-c",
                                "-U",
                                "name,calls",
                                "-o",
                                table.toString(),
                                "-p",
                                String.valueOf(rig.node().pid()))
                        .redirectErrorStream(true)
                        .start();
                awaitAttached(rig.node().pid());
                rig.drive(n);
                new ProcessBuilder("kill", "-INT", String.valueOf(tracer.pid()))
                        .start()
                        .waitFor();
                if (!tracer.waitFor(10, TimeUnit.SECONDS)) {
                    tracer.destroyForcibly();
                    throw new IOException("strace: did not exit");
                }
            }
            print(s, n, Files.readAllLines(table));
            Files.delete(table);
        }
    }

    private static void awaitAttached(long pid) throws IOException, InterruptedException {
        for (int i = 0; i < 500; i++) {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
                if (line.startsWith("TracerPid:") && !line.endsWith("\t0")) {
                    Thread.sleep(200); // the other threads are attached one by one
                    return;
                }
            }
            Thread.sleep(10);
        }
        throw new IOException("strace: did not attach");
    }

    private void print(Scenario scenario, int requests, List<String> lines) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-12s", scenario.key()));
        double total = 0;
        for (String row : lines) {
            String[] columns = row.strip().split("\\s+");
            if (columns.length == 2 && columns[1].matches("[0-9]+") && !columns[0].equals("total")) {
                double perRequest = Long.parseLong(columns[1]) / (double) requests;
                total += perRequest;
                if (perRequest >= MIN_CALLS_PER_REQUEST) {
                    line.append(String.format(Locale.ROOT, " %s %.2f", columns[0], perRequest));
                }
            }
        }
        out.printf(Locale.ROOT, "%s, in all %.2f%n", line, total);
        out.flush();
    }
}
