package olivechute.benchmark;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import olivechute.benchmark.Counts.Count;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code cost} command: counts, times or profiles what a request costs a node, and compares the counts with a
 * record.
 */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Counts what a request costs a node, with simulated clients and endpoints on loopback.",
        footer = "Exit status: 0 success, 1 a count over the record, a request lost or run twice, or a reported error, "
                + "2 invalid arguments.")
public final class BenchmarkCommand implements Callable<Integer> {
    private static final int MAX_RECOUNTS = 3;

    @Spec
    private CommandSpec spec;

    @Option(names = "--scenario", paramLabel = "KEY", description = "Run only this scenario; may be repeated.")
    private List<String> keys = new ArrayList<>();

    @Option(
            names = "--jar",
            paramLabel = "JAR",
            description = "Measure the node of this jar instead of the running one.")
    private Path jar;

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "With --timed: a baseline jar, run alternately, in plain TCP.")
    private Path against;

    @Option(names = "--record", paramLabel = "FILE", description = "Write the counts to this file.")
    private Path record;

    @Option(names = "--check", paramLabel = "FILE", description = "Fail where a count grew past this record.")
    private Path check;

    @Option(
            names = "--spread",
            paramLabel = "RUNS",
            description = "Count this many times and print minimum and maximum.")
    private int spread;

    @Option(
            names = "--timed",
            description = "Measure CPU and added latency per request on one pinned core, instead of counts.")
    private boolean timed;

    @Option(names = "--calls", description = "Count system calls by name with strace, instead of counts.")
    private boolean calls;

    @Option(names = "--classes", description = "Print allocations by class, instead of counts.")
    private boolean classes;

    @Option(
            names = "--epsilon",
            description = "Compare the allocated bytes with those of a run without garbage collection.")
    private boolean epsilon;

    @Option(
            names = "--connections",
            paramLabel = "N",
            description = "Measure the resident memory of N idle connections, instead of counts.")
    private int connections;

    @Option(
            names = "--handshakes",
            paramLabel = "N",
            description =
                    "Measure the CPU of N TLS handshakes, full and resumed, both sides in one process, instead of counts.")
    private int handshakes;

    @Option(names = "--tls", description = "Use TLS with identities on both sides, towards clients and sign workers.")
    private boolean tls;

    @Option(
            names = "--dials",
            paramLabel = "N",
            description =
                    "Measure CPU and latency of N connections with one request each: plain, full and resumed TLS handshakes.")
    private int dials;

    @Option(
            names = "--rotations",
            paramLabel = "N",
            description =
                    "Replace all SVIDs and their CA N times under load; fails if a request was lost or ran twice.")
    private int rotations;

    @Option(
            names = "--core",
            paramLabel = "N",
            defaultValue = "1",
            description = "The core for --timed (${DEFAULT-VALUE}).")
    private int core;

    @Option(
            names = "--requests",
            paramLabel = "N",
            defaultValue = "3000",
            description = "Requests for --timed (${DEFAULT-VALUE}).")
    private int requests;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "3",
            description = "Rounds of --timed (${DEFAULT-VALUE}).")
    private int rounds;

    @Override
    public Integer call() throws InterruptedException {
        List<Scenario> scenarios = scenarios();
        PrintWriter out = spec.commandLine().getOut();
        try {
            NodeUnderTest subject = new NodeUnderTest(jar == null ? NodeProcess.ownJar() : jar.toAbsolutePath(), tls);
            if (timed) {
                NodeUnderTest baseline = against == null ? null : new NodeUnderTest(against, false);
                new TimingBenchmark(out, core, requests, rounds).run(scenarios, subject, baseline);
            } else if (calls) {
                new CallTrace(out).run(scenarios, subject);
            } else if (dials > 0) {
                new ConnectBenchmark(out, core).run(subject.jar(), dials);
            } else if (rotations > 0) {
                return new RotationBenchmark(out).run(subject.jar(), rotations) ? 0 : 1;
            } else if (handshakes > 0) {
                new HandshakeBenchmark(out).run(handshakes);
            } else if (connections > 0) {
                new ResidentMemoryBenchmark(out).run(subject, connections);
            } else if (classes) {
                new AllocationProfile(out).run(scenarios, subject);
            } else if (epsilon) {
                for (Scenario s : scenarios) {
                    out.printf(
                            Locale.ROOT,
                            "%-12s %9.0f bytes, never collected %9.0f%n",
                            s.key(),
                            CountingBenchmark.count(subject, s).get(Count.BYTES),
                            CountingBenchmark.bytesWithoutCollector(subject, s));
                    out.flush();
                }
            } else if (spread > 0) {
                spread(out, scenarios, subject);
            } else {
                return printCounts(out, scenarios, subject);
            }
            return 0;
        } catch (IOException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
    }

    private List<Scenario> scenarios() {
        try {
            return keys.isEmpty()
                    ? List.of(Scenario.values())
                    : keys.stream().map(Scenario::of).toList();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private int printCounts(PrintWriter out, List<Scenario> scenarios, NodeUnderTest subject)
            throws IOException, InterruptedException {
        CostRecord recorded = check == null ? null : CostRecord.read(check);
        Map<Scenario, Counts> measured = new EnumMap<>(Scenario.class);
        List<String> violations = new ArrayList<>();
        out.println(Table.heading());
        for (Scenario s : scenarios) {
            Counts counts = CountingBenchmark.count(subject, s);
            // Disturbances can only increase a count, so the minimum of several runs is closest to the true value; a
            // real increase shows in all of them.
            for (int i = 0;
                    i < MAX_RECOUNTS
                            && recorded != null
                            && !recorded.violations(s, counts).isEmpty();
                    i++) {
                counts = counts.min(CountingBenchmark.count(subject, s));
            }
            measured.put(s, counts);
            violations.addAll(recorded == null ? List.of() : recorded.violations(s, counts));
            out.println(Table.row(s, counts));
            out.flush();
        }
        if (record != null) {
            CostRecord.write(record, measured);
        }
        violations.forEach(spec.commandLine().getErr()::println);
        return violations.isEmpty() ? 0 : 1;
    }

    private void spread(PrintWriter out, List<Scenario> scenarios, NodeUnderTest subject)
            throws IOException, InterruptedException {
        out.println(Table.heading());
        for (Scenario s : scenarios) {
            Counts min = CountingBenchmark.count(subject, s);
            Counts max = min;
            for (int i = 1; i < spread; i++) {
                Counts next = CountingBenchmark.count(subject, s);
                min = min.min(next);
                max = max.max(next);
            }
            out.println(Table.row(s, min));
            out.println(Table.row(s, max));
            out.flush();
        }
    }
}
