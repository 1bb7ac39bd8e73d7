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

/** {@code cost}: counts, times or profiles what a request costs a node, and holds the counts against a record. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Counts what a request costs a node, between stand-ins on loopback.",
        footer = "Exit status: 0 within the record, 1 over it or not measured, 2 wrong call.")
public final class BenchmarkCommand implements Callable<Integer> {
    private static final int MAX_RECOUNTS = 3;

    @Spec
    private CommandSpec spec;

    @Option(names = "--scenario", paramLabel = "KEY", description = "Only this one; may be given again.")
    private List<String> keys = new ArrayList<>();

    @Option(names = "--jar", paramLabel = "JAR", description = "Measure the node of this jar rather than of this one.")
    private Path jar;

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "With --timed: a former jar, run in turn, in plain TCP.")
    private Path against;

    @Option(names = "--record", paramLabel = "FILE", description = "Write the counts to this file.")
    private Path record;

    @Option(names = "--check", paramLabel = "FILE", description = "Fail where a count grew past this record.")
    private Path check;

    @Option(names = "--spread", paramLabel = "RUNS", description = "Count so many times and print the least and most.")
    private int spread;

    @Option(names = "--timed", description = "CPU and added delay a request, on one pinned core, rather than counts.")
    private boolean timed;

    @Option(names = "--calls", description = "System calls by kind, by strace, rather than counts.")
    private boolean calls;

    @Option(names = "--classes", description = "What is allocated, by class, rather than counts.")
    private boolean classes;

    @Option(names = "--epsilon", description = "Check the bytes against a heap that is never collected.")
    private boolean epsilon;

    @Option(
            names = "--connections",
            paramLabel = "N",
            description = "What N idle connections take in resident memory, rather than counts.")
    private int connections;

    @Option(
            names = "--handshakes",
            paramLabel = "N",
            description =
                    "CPU of N TLS handshakes, full and resumed, of both sides in one process, rather than counts.")
    private int handshakes;

    @Option(names = "--tls", description = "In TLS under identities on both sides, at clients and at sign workers.")
    private boolean tls;

    @Option(
            names = "--dials",
            paramLabel = "N",
            description =
                    "CPU and delay of N connections each with one answer: plain, a full handshake, a resumed one.")
    private int dials;

    @Option(
            names = "--rotations",
            paramLabel = "N",
            description =
                    "Replaces all documents and their authority N times under load; fails where a job was lost or ran twice.")
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
            // Whatever disturbs a count adds to it, so the least of several is the true one; what grew stays in all.
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
