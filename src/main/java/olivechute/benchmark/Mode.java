package olivechute.benchmark;

import java.util.List;

/**
 * The purpose of a run, which decides the JVM flags of the node: a run that counts is slower than one that is timed.
 */
@SuppressWarnings("ImmutableEnumChecker") // the list is immutable, created by List.of
enum Mode {
    /** Allocated bytes and objects: each allocation goes directly into a young generation that no run fills. */
    ALLOCATIONS("-Xms1100m", "-Xmx1100m", "-Xmn1000m", "-XX:+UseSerialGC", "-XX:-UseTLAB"),
    /** Allocated bytes without any garbage collector, to check {@link #ALLOCATIONS}. */
    EPSILON("-Xms1100m", "-Xmx1100m", "-XX:+UnlockExperimentalVMOptions", "-XX:+UseEpsilonGC", "-XX:-UseTLAB"),
    /** Copied bytes, counted by {@link CopyAgent}. */
    COPIES("-Xmx256m", "-XX:+UseSerialGC"),
    /** System calls, CPU and latency, with the flags used in service. */
    SERVICE("-Xmx64m", "-XX:+UseSerialGC");

    private final List<String> flags;

    Mode(String... flags) {
        this.flags = List.of(flags);
    }

    List<String> flags() {
        return flags;
    }
}
