package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the CPU per request and the latency that a node adds, for one jar or alternately for two, each pinned to one
 * core.
 */
final class TimingBenchmark {
    private final PrintWriter out;
    private final int core;
    private final int requests;
    private final int rounds;

    TimingBenchmark(PrintWriter out, int core, int requests, int rounds) {
        this.out = out;
        this.core = core;
        this.requests = requests;
        this.rounds = rounds;
    }

    /** Prints a line for each scenario, jar and round: timings vary, so no round is left out. */
    void run(List<Scenario> scenarios, NodeUnderTest subject, NodeUnderTest baseline)
            throws IOException, InterruptedException {
        out.printf(
                "%-12s %-24s %8s %8s %9s %9s %9s%n",
                "scenario", "jar", "cpu us", "waits", "p50 us", "p99 us", "p99.9 us");
        for (Scenario s : scenarios) {
            for (int round = 0; round < rounds; round++) {
                List<NodeUnderTest> subjects =
                        new ArrayList<>(baseline == null ? List.of(subject) : List.of(baseline, subject));
                for (NodeUnderTest each : subjects) {
                    measure(s, each);
                }
            }
        }
    }

    private void measure(Scenario scenario, NodeUnderTest subject) throws IOException, InterruptedException {
        // The given number is for a scenario whose short run has 400 requests, and is scaled for the others; one with
        // rejections does its short run.
        int n = scenario.rejectionsPerRequest() > 0 ? scenario.requests() : requests * scenario.requests() / 400;
        try (BenchmarkRig rig = new BenchmarkRig(subject, Mode.SERVICE, core, scenario)) {
            rig.warmUp();
            rig.drive(n);
            BenchmarkRig.Run run = rig.run(n, false);
            Histogram latenciesUs = run.latenciesUs();
            out.printf(
                    Locale.ROOT,
                    "%-12s %-24s %8.1f %8.2f %9.0f %9.0f %9.0f%n",
                    scenario.key(),
                    subject.jar().getFileName() + (subject.tls() ? " tls" : ""),
                    run.usage().cpuUs() / (double) n,
                    run.usage().waits() / (double) n,
                    Math.max(0, latenciesUs.getValueAtPercentile(50) - run.meanEndpointTimeUs()),
                    Math.max(0, latenciesUs.getValueAtPercentile(99) - run.meanEndpointTimeUs()),
                    Math.max(0, latenciesUs.getValueAtPercentile(99.9) - run.meanEndpointTimeUs()));
            out.flush();
        }
    }
}
