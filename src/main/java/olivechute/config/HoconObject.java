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
 * An object of the operators' settings file, with readers that note what is wrong and go on with the default, so that
 * one look tells all faults. What is read is known; {@link #close} notes every other key, and the known one nearest to
 * it.
 */
public final class HoconObject {
    private static final int MAX_TYPO_DISTANCE = 4; // single letters that a name may be off to be taken for a slip

    private final String path;
    private final ConfigObject object;
    private final List<String> errors;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    private HoconObject(String path, ConfigObject object, List<String> errors) {
        this.path = path;
        this.object = object;
        this.errors = errors;
    }

    /** Reads a text; what is wrong with it, and with what is read from it, goes to {@code faults}. */
    public static HoconObject parse(String text, List<String> errors) {
        ConfigObject root = ConfigFactory.empty().root();
        try {
            // Neither the environment nor another file or address has a part in it: what is checked is what is there.
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

    /** Notes a fault of a key of this object. */
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

    /** A text; the fallback where the key is absent or wrong. */
    public String text(String name, String defaultValue) {
        ConfigValue value = value(name);
        if (value != null && value.valueType() != ConfigValueType.STRING) {
            addError(name, "must be text");
            return defaultValue;
        }
        return value == null ? defaultValue : (String) value.unwrapped();
    }

    /** A text that must be there. */
    public String requiredText(String name) {
        if (!has(name)) {
            addError(name, "missing, must be text");
        }
        return text(name, "");
    }

    public boolean flag(String name, boolean defaultValue) {
        return read(name, defaultValue, "true or false", c -> c.getBoolean(name));
    }

    /** A whole number within these bounds; a wrong one is noted, and the default taken. */
    public int integer(String name, int defaultValue, int min, int max) {
        int value = read(name, defaultValue, "a whole number", c -> c.getInt(name));
        if (value < min || value > max) {
            addError(name, "must be from " + min + " to " + max);
            return defaultValue;
        }
        return value;
    }

    /** A number, of which parts may be given. */
    public double number(String name, double defaultValue, double min, double max) {
        double value = read(name, defaultValue, "a number", c -> c.getDouble(name));
        if (!(value >= min && value <= max)) {
            addError(name, "must be from " + min + " to " + max);
            return defaultValue;
        }
        return value;
    }

    /** The names of all keys that are there, where they are the operator's own. */
    public List<String> names() {
        return List.copyOf(new TreeSet<>(object.keySet()));
    }

    /** A duration with its unit, as {@code 2s} or {@code 250ms}. */
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

    /** One of some words, written in small letters with dashes. */
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

    /** What a text stands for, by a reader that blames the key itself; null where it stands for nothing. */
    public <T> T convert(String name, Function<String, T> reader) {
        try {
            return reader.apply(key(name));
        } catch (IllegalArgumentException | InvalidValueException e) {
            errors.add(e.getMessage());
            return null;
        }
    }

    /** The object of a key, an empty one where it is absent. */
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

    /** The objects of a list. */
    public List<HoconObject> nodes(String name) {
        List<? extends ConfigObject> objects = read(name, List.of(), "a list of objects", c -> c.getObjectList(name));
        List<HoconObject> nodes = new ArrayList<>();
        for (int i = 0; i < objects.size(); i++) {
            nodes.add(new HoconObject(key(name) + "[" + i + "]", objects.get(i), errors));
        }
        return nodes;
    }

    /** All keys have been asked for: whatever else is there is none. */
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

    /** Letters to put in, take out or change to make one of the other (Levenshtein). */
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
