package olivechute.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The faults and timing of one run, all drawn from its seed. Times are milliseconds. */
record SoakScenario(
        long seed,
        long deadlineMillis,
        boolean crowd,
        boolean configurationMoves,
        boolean discoveryFails,
        long discoveryDownAt,
        long discoveryDownFor,
        double discoveryFaultRate,
        double serverFaultRate,
        boolean serversHangAtTheEnd,
        double clientFaultRate,
        long clockStep,
        boolean signalsInSeries,
        boolean killedOutright,
        long termAt,
        long drainAt,
        Map<FaultShim.Fault, Integer> rates) {
    /** Minimum time in ms for which both nodes run under faults. */
    static final long MIN_DURATION_MILLIS = 9000;
    /** SIGKILL follows SIGTERM after the usual deadline of a request, at most 3 s, plus this time in ms. */
    static final long KILL_DELAY_AFTER_DEADLINE_MILLIS = 700;

    private static final long[] DEADLINES = {400, 700, 1200, 3000, 5000};
    private static final long[] CLOCK_STEPS = {0, 2_000, -2_000, 3_600_000, -3_600_000};
    private static final int DEFAULT_MAX_PER_MILLION = 4000;
    private static final int RARE_MAX_PER_MILLION = 400;
    private static final int FREQUENT_MAX_PER_MILLION = 60_000;

    static SoakScenario of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<FaultShim.Fault, Integer> rates = new EnumMap<>(FaultShim.Fault.class);
        for (FaultShim.Fault fault : FaultShim.Fault.values()) {
            rates.put(fault, random.nextInt(3) > 0 ? random.nextInt(maxPerMillion(fault)) : 0);
        }
        return new SoakScenario(
                seed,
                DEADLINES[random.nextInt(DEADLINES.length)],
                random.nextInt(4) == 0,
                random.nextInt(3) == 0,
                random.nextInt(3) == 0,
                random.nextLong(1000, 5000),
                random.nextLong(500, 3000),
                0.2 * random.nextDouble(),
                0.3 * random.nextDouble(),
                random.nextInt(3) == 0,
                0.4 * random.nextDouble(),
                CLOCK_STEPS[random.nextInt(CLOCK_STEPS.length)],
                random.nextBoolean(),
                random.nextInt(4) == 0,
                random.nextLong(1500, 3500),
                random.nextLong(500, 6500),
                rates);
    }

    private static int maxPerMillion(FaultShim.Fault fault) {
        return switch (fault) {
            case ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS -> FREQUENT_MAX_PER_MILLION;
            case CONNECTION_BREAKS, DELAYED_IO -> RARE_MAX_PER_MILLION;
            case SHORT_READ, SHORT_WRITE, FILE_READ_FAILS, READ_INTERRUPTED -> FREQUENT_MAX_PER_MILLION;
            default -> DEFAULT_MAX_PER_MILLION;
        };
    }

    /** Returns the time from SIGTERM to SIGKILL. */
    long killDelayMillis() {
        return Math.min(deadlineMillis, 3000) + KILL_DELAY_AFTER_DEADLINE_MILLIS;
    }

    /** Returns the time during which faults are injected; the clock steps once in it, some time after the start. */
    long durationMillis() {
        return Math.max(MIN_DURATION_MILLIS, termAt + killDelayMillis() + 3000);
    }
}
