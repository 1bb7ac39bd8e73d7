package olivechute.config;

import java.util.Locale;
import java.util.Map;

/**
 * Log format and level from the environment: {@code OLIVECHUTE_LOG} is {@code text} or {@code json},
 * {@code OLIVECHUTE_LOG_LEVEL} one of the logger's levels. Must be applied before the first line is logged.
 */
public enum LogSettings {
    TEXT,
    JSON;

    /** The environment variable for the log format. */
    public static final String FORMAT_VARIABLE = "OLIVECHUTE_LOG";
    /** The environment variable for the lowest level that is logged. */
    public static final String LEVEL_VARIABLE = "OLIVECHUTE_LOG_LEVEL";

    private static final String LEVELS = "trace|debug|info|warn|error|off";

    /** Configures the logger from the environment; the default is text at the level of the built-in settings. */
    public static void apply(Map<String, String> environment) {
        String format = environment.getOrDefault(FORMAT_VARIABLE, "");
        if (!format.isEmpty()) {
            parse(FORMAT_VARIABLE, format).apply();
        }
        String level = environment.getOrDefault(LEVEL_VARIABLE, "");
        if (!level.isEmpty()) {
            if (!level.matches(LEVELS)) {
                throw new InvalidValueException(
                        LEVEL_VARIABLE + ": must be one of " + LEVELS + ", not '" + level + "'");
            }
            System.setProperty("tinylog.level", level);
        }
    }

    /** Returns the format with this name; an {@link InvalidValueException} names {@code key} if there is none. */
    public static LogSettings parse(String key, String name) {
        for (LogSettings format : values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
                return format;
            }
        }
        throw new InvalidValueException(key + ": must be text or json, not '" + name + "'");
    }

    /** Sets the writer for everything that is logged from now on. */
    private void apply() {
        if (this == JSON) {
            System.setProperty("tinylog.writer", "json lines");
        }
    }
}
