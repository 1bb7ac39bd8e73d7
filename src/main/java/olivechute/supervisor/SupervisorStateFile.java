package olivechute.supervisor;

import java.util.Optional;
import java.util.Properties;

/**
 * Converts what is stored in the supervisor's directory, the last order and the running processes of a node, to and
 * from properties.
 */
final class SupervisorStateFile {
    /**
     * A running process: what it runs and from which configuration file; its start time in milliseconds since the epoch
     * tells it from a later process with the same pid.
     */
    record ProcessRecord(long pid, long startedMs, String address, String configFile, LaunchSpec launch) {}

    private SupervisorStateFile() {}

    static Properties toProperties(LaunchSpec launch) {
        Properties values = new Properties();
        values.setProperty("version", launch.version());
        values.setProperty("order", String.valueOf(launch.orderNumber()));
        values.setProperty("program", launch.program());
        values.setProperty("digest", launch.expectedDigest());
        values.setProperty("found", launch.actualDigest());
        values.setProperty("config", launch.configJson());
        return values;
    }

    static Properties toProperties(ProcessRecord running) {
        Properties values = toProperties(running.launch());
        values.setProperty("pid", String.valueOf(running.pid()));
        values.setProperty("started", String.valueOf(running.startedMs()));
        values.setProperty("address", running.address());
        values.setProperty("file", running.configFile());
        return values;
    }

    /** Returns empty if a value is missing or is not a number. */
    static Optional<LaunchSpec> parseLaunch(Properties values) {
        String program = values.getProperty("program");
        String version = values.getProperty("version");
        String config = values.getProperty("config");
        long order = parseNumber(values, "order");
        return program == null || version == null || config == null || order < 0
                ? Optional.empty()
                : Optional.of(new LaunchSpec(
                        version,
                        order,
                        program,
                        values.getProperty("digest", ""),
                        values.getProperty("found", ""),
                        config));
    }

    static Optional<ProcessRecord> parseProcess(Properties values) {
        long pid = parseNumber(values, "pid");
        long started = parseNumber(values, "started");
        return pid <= 0 || started < 0
                ? Optional.empty()
                : parseLaunch(values)
                        .map(launch -> new ProcessRecord(
                                pid,
                                started,
                                values.getProperty("address", ""),
                                values.getProperty("file", ""),
                                launch));
    }

    private static long parseNumber(Properties values, String key) {
        try {
            return Long.parseLong(values.getProperty(key, ""));
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
