package olivechute.benchmark;

import java.util.Arrays;

/**
 * The counts for one request, or one connection, of a scenario; the same on every machine except for chance in timing.
 */
record Counts(double[] values) {
    /** The counts, in the order of {@link #values}. */
    enum Count {
        /** Bytes allocated on the heap. */
        BYTES("bytes", 0.03, 160, true),
        /** Objects allocated on the heap. */
        OBJECTS("objects", 0.06, 3, true),
        /** Read calls, on sockets and files. */
        READS("reads", 0.05, 0.3, true),
        /** Write calls. */
        WRITES("writes", 0.02, 0.1, false),
        /** Voluntary context switches: a thread waited for its peer or for another thread. */
        WAITS("waits", 0.3, 2, true),
        /** Connections opened to upstream endpoints. */
        DIALS("dials", 0, 0.1, true),
        /** How often each byte of the body is copied. */
        BODY_COPIES("body-copies", 0.01, 0.02, false),
        /** Other bytes copied: heads, answers, job status events. */
        HEAD_COPIED("head-copied", 0.03, 32, false),
        /** Copy operations. */
        COPIES("copies", 0.05, 2, true);

        private final String key;
        private final double relativeMargin;
        private final double absoluteMargin;
        private final boolean timingDependent;

        /**
         * The margin is the larger of {@code relativeMargin} and {@code absoluteMargin}; {@code timingDependent} counts
         * vary with chance in timing.
         */
        Count(String key, double relativeMargin, double absoluteMargin, boolean timingDependent) {
            this.key = key;
            this.relativeMargin = relativeMargin;
            this.absoluteMargin = absoluteMargin;
            this.timingDependent = timingDependent;
        }

        /** Returns the name in tables and records. */
        String key() {
            return key;
        }

        /** Returns the largest count that passes for a scenario with this recorded value. */
        double bound(Scenario scenario, double recorded) {
            return recorded
                    + Math.max(absoluteMargin, relativeMargin * recorded)
                            * (timingDependent ? scenario.marginFactor() : 1);
        }
    }

    /** Computes the counts from two runs, one that measured allocations and one that measured copies. */
    static Counts of(Scenario scenario, BenchmarkRig.Run allocating, BenchmarkRig.Run copying) {
        double n = allocating.requests();
        double m = copying.requests();
        Usage used = allocating.usage();
        return new Counts(new double[] {
            used.allocatedBytes() / n,
            used.objects() / n,
            used.reads() / n,
            used.writes() / n,
            Math.max(0, used.waits() / n),
            allocating.upstreamConnects() / n,
            copying.usage().bodyBytesCopied() / m / Math.max(1, scenario.body()),
            copying.usage().otherBytesCopied() / m,
            copying.usage().copies() / m
        });
    }

    double get(Count count) {
        return values[count.ordinal()];
    }

    /** Returns the maximum of each count. */
    Counts max(Counts other) {
        double[] result = values.clone();
        Arrays.setAll(result, i -> Math.max(values[i], other.values[i]));
        return new Counts(result);
    }

    /** Returns the minimum of each count. */
    Counts min(Counts other) {
        double[] result = values.clone();
        Arrays.setAll(result, i -> Math.min(values[i], other.values[i]));
        return new Counts(result);
    }
}
