package olivechute.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Tests that the invariants hold under seeded faults. {@code -Dsoak.seeds=1-60} runs these seeds too,
 * {@code -Dsoak.parallel=N} that many at once; each violation is printed with its seed and trace, and the nodes' logs
 * are written to {@code target/soak}.
 */
class SoakIT {
    private static final String DEFAULT_SEEDS = "1-6";
    private static final int PARALLEL = Integer.getInteger("soak.parallel", 3);
    private static final Path LOGS = Path.of("target", "soak");
    private static final int MAX_VIOLATIONS_SHOWN = 5;

    @Test
    void theRulesHoldUnderSeededFaults() throws Exception {
        play(DEFAULT_SEEDS);
    }

    @Test
    @EnabledIfSystemProperty(named = "soak.seeds", matches = ".+")
    void theRulesHoldUnderSeedsChosenByHand() throws Exception {
        play(System.getProperty("soak.seeds"));
    }

    private static void play(String ranges) throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(PARALLEL);
        List<Future<SoakRun.Report>> reports = new ArrayList<>();
        try {
            for (long seed : seeds(ranges)) {
                reports.add(runs.submit(() -> play(seed)));
            }
            List<String> broken = new ArrayList<>();
            for (Future<SoakRun.Report> each : reports) {
                SoakRun.Report report = each.get();
                System.out.println(report.summary());
                for (SoakInvariants.Violation violation : report.violations()) {
                    broken.add("seed " + report.scenario().seed() + ": " + violation.rule());
                }
                show(report);
            }
            assertEquals(List.of(), broken);
        } finally {
            runs.shutdownNow();
        }
    }

    private static List<Long> seeds(String ranges) {
        List<Long> seeds = new ArrayList<>();
        for (String range : ranges.split(",")) {
            String[] ends = range.split("-");
            for (long seed = Long.parseLong(ends[0]); seed <= Long.parseLong(ends[ends.length - 1]); seed++) {
                seeds.add(seed);
            }
        }
        return seeds;
    }

    private static SoakRun.Report play(long seed) throws Exception {
        try (SoakRun run = new SoakRun(seed)) {
            return run.play();
        }
    }

    private static void show(SoakRun.Report report) throws IOException {
        if (report.violations().isEmpty()) {
            return;
        }
        System.out.println("  " + report.scenario());
        report.violations().stream()
                .limit(MAX_VIOLATIONS_SHOWN)
                .forEach(v -> System.out.println("  broken: " + v.rule() + "\n    " + v.trace()));
        Files.createDirectories(LOGS);
        List<String> text =
                new ArrayList<>(List.of(report.summary(), report.scenario().toString()));
        report.violations().forEach(v -> text.add("broken: " + v.rule() + "\n    " + v.trace()));
        text.addAll(report.logs());
        Files.write(LOGS.resolve("seed-" + report.scenario().seed() + ".log"), text);
    }
}
