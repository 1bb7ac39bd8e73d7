package olivechute.config;

import java.util.Locale;
import java.util.Map;

/**
 * How the log is written: {@code OLIVECHUTE_LOG} is {@code text} or {@code json}, {@code OLIVECHUTE_LOG_LEVEL} one of
 * the logger's levels. To be settled before the first line is logged.
 */
public enum LogSettings {
    TEXT,
    JSON;

    /** The variable that names the form. */
    public static final String FORMAT_VARIABLE = "OLIVECHUTE_LOG";
    /** The variable that names the least level. */
    public static final String LEVEL_VARIABLE = "OLIVECHUTE_LOG_LEVEL";

    private static final String LEVELS = "trace|debug|info|warn|error|off";

    /** Sets the log up as the environment says, as text at the level of the built-in settings where it says nothing. */
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

    /** The form of that name; {@code key} is blamed if there is none. */
    public static LogSettings parse(String key, String name) {
        for (LogSettings format : values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(name)) {
                return format;
            }
        }
        throw new InvalidValueException(key + ": must be text or json, not '" + name + "'");
    }

    /** Has what is logged from now on written so. */
    private void apply() {
        if (this == JSON) {
            System.setProperty("tinylog.writer", "json lines");
        }
    }
}
