package olivechute.benchmark;

import java.util.Arrays;

/**
 * What is counted for one request of a scenario, or one connection; the same on every machine but for chance in timing.
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
        /** Times that a thread gave up the core to wait, for its peer or for another thread. */
        WAITS("waits", 0.3, 2, true),
        /** Connections dialled to upstream hosts. */
        DIALS("dials", 0, 0.1, true),
        /** How often each byte of the body is copied. */
        BODY_COPIES("body-copies", 0.01, 0.02, false),
        /** Other bytes copied: heads, answers, news. */
        HEAD_COPIED("head-copied", 0.03, 32, false),
        /** Single copies made. */
        COPIES("copies", 0.05, 2, true);

        private final String key;
        private final double relativeMargin;
        private final double absoluteMargin;
        private final boolean timingDependent;

        /** {@code part} and {@code least} are the margin; {@code moved}: chance in timing moves this count. */
        Count(String key, double relativeMargin, double absoluteMargin, boolean timingDependent) {
            this.key = key;
            this.relativeMargin = relativeMargin;
            this.absoluteMargin = absoluteMargin;
            this.timingDependent = timingDependent;
        }

        /** The name in tables and records. */
        String key() {
            return key;
        }

        /** The most that may be seen of this scenario where so much is recorded. */
        double bound(Scenario scenario, double recorded) {
            return recorded
                    + Math.max(absoluteMargin, relativeMargin * recorded)
                            * (timingDependent ? scenario.marginFactor() : 1);
        }
    }

    /** Reads what runs used, one for its allocations and one for its copies. */
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

    /** The larger of each. */
    Counts max(Counts other) {
        double[] result = values.clone();
        Arrays.setAll(result, i -> Math.max(values[i], other.values[i]));
        return new Counts(result);
    }

    /** The smaller of each. */
    Counts min(Counts other) {
        double[] result = values.clone();
        Arrays.setAll(result, i -> Math.min(values[i], other.values[i]));
        return new Counts(result);
    }
}
