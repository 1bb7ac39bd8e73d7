package olivechute.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A parsed JSON object whose accessors throw an {@link InvalidValueException} with the field's name if it is missing or
 * has the wrong type.
 */
public final class JsonFields {
    /**
     * The nesting limit is low because parsing is recursive: on a thread with a small stack, deeply nested text would
     * overflow it.
     */
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(32).build())
            .build();

    private final String name;
    private final Map<String, Object> fields;

    private JsonFields(String name, Map<String, Object> fields) {
        this.name = name;
        this.fields = fields;
    }

    public boolean has(String field) {
        return fields.get(field) != null;
    }

    /** Returns the exception for a field that is missing or is not what {@code expected} says. */
    public InvalidValueException invalid(String field, String expected) {
        return new InvalidValueException(
                name + "." + field + ": " + (has(field) ? "must be " : "missing, must be ") + expected);
    }

    /** Returns the exception for a keyword that the field does not allow. */
    public InvalidValueException unknownValue(String field) {
        return new InvalidValueException(name + "." + field + ": unknown word " + text(field));
    }

    /** Returns a string; an {@link InvalidValueException} names the field if it is missing or of another type. */
    public String text(String field) {
        if (fields.get(field) instanceof String s) {
            return s;
        }
        throw invalid(field, "text");
    }

    public String textOr(String field, String defaultValue) {
        return has(field) ? text(field) : defaultValue;
    }

    /** Returns a number; an {@link InvalidValueException} names the field if it is missing or of another type. */
    public double number(String field) {
        if (fields.get(field) instanceof Number v) {
            return v.doubleValue();
        }
        throw invalid(field, "a number");
    }

    public double numberOr(String field, double defaultValue) {
        return has(field) ? number(field) : defaultValue;
    }

    /** Returns a number from 0 to {@code max}; 0 if the field is missing. */
    public double fraction(String field, double max) {
        double value = numberOr(field, 0);
        if (value >= 0 && value <= max) {
            return value;
        }
        throw invalid(field, "from 0 to " + max);
    }

    /** Returns an integer; an {@link InvalidValueException} names the field if it is missing or of another type. */
    public long integer(String field) {
        if (fields.get(field) instanceof Long v) {
            return v;
        }
        if (fields.get(field) instanceof Double v && v == Math.rint(v)) {
            return v.longValue();
        }
        throw invalid(field, "a whole number");
    }

    public long integerOr(String field, long defaultValue) {
        return has(field) ? integer(field) : defaultValue;
    }

    /** Returns a duration in microseconds; the field holds seconds. */
    public long micros(String field) {
        return Math.round(number(field) * 1e6);
    }

    public long microsOr(String field, long defaultValue) {
        return has(field) ? micros(field) : defaultValue;
    }

    /** Returns a boolean, false if missing; an {@link InvalidValueException} names a field of another type. */
    public boolean flag(String field) {
        Object v = fields.get(field);
        if (v == null || v instanceof Boolean) {
            return v != null && (Boolean) v;
        }
        throw invalid(field, "true or false");
    }

    /** Returns an array, empty if missing; an {@link InvalidValueException} names a field of another type. */
    public List<Object> list(String field) {
        Object v = fields.get(field);
        if (v == null) {
            return List.of();
        }
        if (v instanceof List<?> l) {
            return Arrays.asList(l.toArray());
        }
        throw invalid(field, "an array");
    }

    /** Returns an object, empty if missing; an {@link InvalidValueException} names a field of another type. */
    public JsonFields node(String field) {
        Object v = fields.get(field);
        if (v == null) {
            return new JsonFields(field, Map.of());
        }
        if (v instanceof Map<?, ?>) {
            return cast(field, v);
        }
        throw invalid(field, "an object");
    }

    /**
     * Returns an array of objects, empty if missing; an {@link InvalidValueException} names a field of another type.
     */
    public List<JsonFields> nodes(String field) {
        List<JsonFields> nodes = new ArrayList<>();
        for (Object v : list(field)) {
            if (!(v instanceof Map<?, ?>)) {
                throw invalid(field, "an array of objects");
            }
            nodes.add(cast(field, v));
        }
        return nodes;
    }

    @SuppressWarnings("unchecked")
    private static JsonFields cast(String name, Object v) {
        return new JsonFields(name, (Map<String, Object>) v);
    }

    /** Creates a JSON parser for part of an array, with the same nesting limit as all JSON that is read here. */
    public static JsonParser createParser(byte[] text, int from, int length) throws IOException {
        return JSON.createParser(text, from, length);
    }

    /** Parses a text that is a single JSON object; {@code name} stands for it in error messages. */
    public static JsonFields parse(String name, byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidValueException("a " + name + " must be an object");
            }
            JsonFields fields = new JsonFields(name, object(parser));
            if (parser.nextToken() != null) {
                throw new InvalidValueException("more than one value");
            }
            return fields;
        }
    }

    /** Returns the unchecked value of a field, or null if it is absent. */
    public Object get(String field) {
        return fields.get(field);
    }

    private static Map<String, Object> object(JsonParser p) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            fields.put(name, value(p));
        }
        return fields;
    }

    private static Object value(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT -> {
                return object(p);
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(p));
                }
                return list;
            }
            case VALUE_STRING -> {
                return p.getText();
            }
            case VALUE_NUMBER_INT -> {
                return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) p.getDoubleValue()
                        : (Object) p.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return p.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return true;
            }
            case VALUE_FALSE -> {
                return false;
            }
            default -> {
                return null;
            }
        }
    }
}
