package olivechute.config;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigResolveOptions;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueType;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * An object of the operator settings file. A reader method that finds an invalid value records an error and returns the
 * default, so that one pass finds all errors. Each key that is read counts as known; {@link #rejectUnknownKeys} reports
 * every other key, with the most similar known one.
 */
public final class HoconObject {
    private static final int MAX_TYPO_DISTANCE = 4; // largest edit distance at which a known key is suggested

    private final String path;
    private final ConfigObject object;
    private final List<String> errors;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    private HoconObject(String path, ConfigObject object, List<String> errors) {
        this.path = path;
        this.object = object;
        this.errors = errors;
    }

    /** Parses a HOCON text; errors in it, and in what is read from it later, are added to {@code errors}. */
    public static HoconObject parse(String text, List<String> errors) {
        ConfigObject root = ConfigFactory.empty().root();
        try {
            // Neither environment variables nor included files or URLs are resolved: the text is checked as it stands.
            ConfigParseOptions options = ConfigParseOptions.defaults().setIncluder(new RejectingIncluder());
            root = ConfigFactory.parseString(text, options)
                    .resolve(ConfigResolveOptions.noSystem())
                    .root();
        } catch (ConfigException e) {
            errors.add("settings: " + e.getMessage());
        }
        return new HoconObject("", root, errors);
    }

    private String key(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /** Records an error of a key of this object, with its line number. */
    public void addError(String name, String message) {
        ConfigValue value = object.get(name);
        String line = value == null || value.origin().lineNumber() < 0
                ? ""
                : " (line " + value.origin().lineNumber() + ")";
        errors.add(key(name) + ": " + message + line);
    }

    private ConfigValue value(String name) {
        knownKeys.add(name);
        return object.get(name);
    }

    public boolean has(String name) {
        return value(name) != null;
    }

    private <T> T read(String name, T defaultValue, String expected, Function<Config, T> reader) {
        if (value(name) == null) {
            return defaultValue;
        }
        try {
            return reader.apply(object.toConfig());
        } catch (ConfigException e) {
            addError(name, "must be " + expected);
            return defaultValue;
        }
    }

    /** Returns a string, or the default if the key is absent or invalid. */
    public String text(String name, String defaultValue) {
        ConfigValue value = value(name);
        if (value != null && value.valueType() != ConfigValueType.STRING) {
            addError(name, "must be text");
            return defaultValue;
        }
        return value == null ? defaultValue : (String) value.unwrapped();
    }

    /** Returns a required string; a missing one is recorded as an error. */
    public String requiredText(String name) {
        if (!has(name)) {
            addError(name, "missing, must be text");
        }
        return text(name, "");
    }

    public boolean flag(String name, boolean defaultValue) {
        return read(name, defaultValue, "true or false", c -> c.getBoolean(name));
    }

    /**
     * Returns an integer from {@code min} to {@code max}; if it is out of range, records an error and returns the
     * default.
     */
    public int integer(String name, int defaultValue, int min, int max) {
        int value = read(name, defaultValue, "a whole number", c -> c.getInt(name));
        if (value < min || value > max) {
            addError(name, "must be from " + min + " to " + max);
            return defaultValue;
        }
        return value;
    }

    /** Returns a number from {@code min} to {@code max}, which may have a fraction. */
    public double number(String name, double defaultValue, double min, double max) {
        double value = read(name, defaultValue, "a number", c -> c.getDouble(name));
        if (!(value >= min && value <= max)) {
            addError(name, "must be from " + min + " to " + max);
            return defaultValue;
        }
        return value;
    }

    /** Returns all keys present, for objects whose keys the operator chooses. */
    public List<String> names() {
        return List.copyOf(new TreeSet<>(object.keySet()));
    }

    /** Returns a duration written with its unit, such as {@code 2s} or {@code 250ms}. */
    public Duration duration(String name, Duration defaultValue, Duration min, Duration max) {
        ConfigValue value = value(name);
        if (value != null && value.valueType() != ConfigValueType.STRING) {
            addError(name, "must be a duration with a unit, as 2s or 250ms");
            return defaultValue;
        }
        Duration duration =
                read(name, defaultValue, "a duration with a unit, as 2s or 250ms", c -> c.getDuration(name));
        if (duration.compareTo(min) < 0 || duration.compareTo(max) > 0) {
            addError(name, "must be from " + min.toMillis() + "ms to " + max.toMillis() + "ms");
            return defaultValue;
        }
        return duration;
    }

    /** Returns the enum constant for a keyword, written in lower case with dashes. */
    public <E extends Enum<E>> E keyword(String name, E defaultValue) {
        String text = text(name, keyword(defaultValue));
        List<String> keywords = new ArrayList<>();
        for (E constant : defaultValue.getDeclaringClass().getEnumConstants()) {
            if (keyword(constant).equals(text)) {
                return constant;
            }
            keywords.add(keyword(constant));
        }
        addError(name, "must be one of " + String.join(", ", keywords) + ", not '" + text + "'");
        return defaultValue;
    }

    private static String keyword(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    public List<String> textList(String name) {
        return read(name, List.of(), "a list of texts", c -> List.copyOf(c.getStringList(name)));
    }

    /** Converts the value of a key by a function that names the key in its exception; returns null if that fails. */
    public <T> T convert(String name, Function<String, T> reader) {
        try {
            return reader.apply(key(name));
        } catch (IllegalArgumentException | InvalidValueException e) {
            errors.add(e.getMessage());
            return null;
        }
    }

    /** Returns the object of a key, an empty one if it is absent. */
    public HoconObject node(String name) {
        ConfigValue value = value(name);
        if (value != null && !(value instanceof ConfigObject)) {
            addError(name, "must be an object");
        }
        return new HoconObject(
                key(name),
                value instanceof ConfigObject o ? o : ConfigFactory.empty().root(),
                errors);
    }

    /** Returns the objects of an array. */
    public List<HoconObject> nodes(String name) {
        List<? extends ConfigObject> objects = read(name, List.of(), "a list of objects", c -> c.getObjectList(name));
        List<HoconObject> nodes = new ArrayList<>();
        for (int i = 0; i < objects.size(); i++) {
            nodes.add(new HoconObject(key(name) + "[" + i + "]", objects.get(i), errors));
        }
        return nodes;
    }

    /** Records an error for each key that was not read; called after all known keys have been. */
    public void rejectUnknownKeys() {
        for (String name : new TreeSet<>(object.keySet())) {
            if (!knownKeys.contains(name)) {
                Optional<String> nearest = knownKeys.stream().min(Comparator.comparingInt(k -> editDistance(k, name)));
                boolean likelyTypo = nearest.isPresent() && editDistance(nearest.get(), name) <= MAX_TYPO_DISTANCE;
                addError(
                        name,
                        "unknown key"
                                + (likelyTypo
                                        ? ", did you mean " + nearest.get() + "?"
                                        : ", known here: " + String.join(", ", knownKeys)));
            }
        }
    }

    /**
     * Returns the Levenshtein distance: the insertions, deletions and substitutions that turn one string into the
     * other.
     */
    static int editDistance(String first, String second) {
        int[] distances = new int[second.length() + 1];
        for (int j = 0; j < distances.length; j++) {
            distances[j] = j;
        }
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = distances[0];
            distances[0] = i;
            for (int j = 1; j < distances.length; j++) {
                int substituted = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                diagonal = distances[j];
                distances[j] = Math.min(substituted, Math.min(distances[j], distances[j - 1]) + 1);
            }
        }
        return distances[second.length()];
    }
}
