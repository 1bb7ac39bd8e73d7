package olivechute.benchmark;

import java.io.IOException;

/** Counts what one request of a scenario costs the node of a jar. */
final class CountingBenchmark {
    private CountingBenchmark() {}

    static Counts count(NodeUnderTest subject, Scenario scenario) throws IOException, InterruptedException {
        return Counts.of(scenario, run(subject, Mode.ALLOCATIONS, scenario), run(subject, Mode.COPIES, scenario));
    }

    /** Returns the bytes allocated per request by a run without garbage collection, to check the normal count. */
    static double bytesWithoutCollector(NodeUnderTest subject, Scenario scenario)
            throws IOException, InterruptedException {
        BenchmarkRig.Run run = run(subject, Mode.EPSILON, scenario);
        return run.usage().allocatedBytes() / (double) run.requests();
    }

    private static BenchmarkRig.Run run(NodeUnderTest subject, Mode mode, Scenario scenario)
            throws IOException, InterruptedException {
        try (BenchmarkRig rig = new BenchmarkRig(subject, mode, -1, scenario)) {
            rig.warmUp();
            BenchmarkRig.Run run = rig.run(scenario.requests(), mode == Mode.ALLOCATIONS);
            if (mode == Mode.ALLOCATIONS && run.usage().collections() > 0) {
                throw new IOException(scenario.key() + ": a garbage collection ran, so the count of bytes is invalid");
            }
            return run;
        }
    }
}
