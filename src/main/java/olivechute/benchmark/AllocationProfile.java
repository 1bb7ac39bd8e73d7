package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Prints the allocations per request by class: the difference of heap histograms, which include unreachable objects,
 * taken before and after a run.
 */
final class AllocationProfile {
    private static final int MAX_CLASSES = 40;

    private final PrintWriter out;

    AllocationProfile(PrintWriter out) {
        this.out = out;
    }

    void run(List<Scenario> scenarios, NodeUnderTest subject) throws IOException, InterruptedException {
        for (Scenario s : scenarios) {
            try (BenchmarkRig rig = new BenchmarkRig(subject, Mode.ALLOCATIONS, -1, s)) {
                rig.warmUp();
                Map<String, long[]> first = read(rig.node().classHistogram());
                Map<String, long[]> before = read(rig.node().classHistogram());
                rig.drive(s.requests());
                Map<String, long[]> after = read(rig.node().classHistogram());
                out.println(s.key() + ": bytes, objects a request");
                after.entrySet().stream()
                        .map(e -> Map.entry(
                                e.getKey(), used(e.getValue(), before.get(e.getKey()), first.get(e.getKey()))))
                        .sorted((x, y) -> Long.compare(y.getValue()[1], x.getValue()[1]))
                        .limit(MAX_CLASSES)
                        .forEach(e -> out.printf(
                                Locale.ROOT,
                                "%10.1f %8.2f  %s%n",
                                e.getValue()[1] / (double) s.requests(),
                                e.getValue()[0] / (double) s.requests(),
                                e.getKey()));
                out.flush();
            }
        }
    }

    /**
     * Returns the objects and bytes allocated between {@code before} and {@code after}, less those of taking a
     * histogram, which are the difference between {@code first} and {@code before}.
     */
    private static long[] used(long[] after, long[] before, long[] first) {
        long[] b = before == null ? new long[2] : before;
        long[] f = first == null ? new long[2] : first;
        return new long[] {after[0] - 2 * b[0] + f[0], after[1] - 2 * b[1] + f[1]};
    }

    /** Returns the number of objects and their bytes by class. */
    private static Map<String, long[]> read(List<String> lines) {
        Map<String, long[]> classes = new HashMap<>();
        for (String line : lines) {
            String[] columns = line.strip().split("\\s+");
            if (columns.length >= 4 && columns[0].endsWith(":")) {
                classes.merge(columns[3], new long[] {Long.parseLong(columns[1]), Long.parseLong(columns[2])}, (x, y) ->
                        new long[] {x[0] + y[0], x[1] + y[1]});
            }
        }
        return classes;
    }
}
