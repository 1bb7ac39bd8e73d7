package olivechute.benchmark;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import olivechute.benchmark.Counts.Count;
import olivechute.config.InvalidValueException;
import olivechute.config.JsonFields;

/**
 * The recorded counts that no scenario may exceed, as a JSON file: an object for each scenario, a number for each
 * count.
 */
record CostRecord(Map<Scenario, Counts> counts) {
    static CostRecord read(Path file) throws IOException {
        Map<Scenario, Counts> counts = new EnumMap<>(Scenario.class);
        try {
            JsonFields all = JsonFields.parse("record", Files.readAllBytes(file));
            for (Scenario s : Scenario.values()) {
                if (all.has(s.key())) {
                    JsonFields fields = all.node(s.key());
                    double[] values = new double[Count.values().length];
                    for (Count c : Count.values()) {
                        values[c.ordinal()] = fields.number(c.key());
                    }
                    counts.put(s, new Counts(values));
                }
            }
        } catch (InvalidValueException e) {
            throw new IOException(file + ": " + e.getMessage());
        }
        return new CostRecord(counts);
    }

    static void write(Path file, Map<Scenario, Counts> counts) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newOutputStream(file))) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            for (Map.Entry<Scenario, Counts> e : counts.entrySet()) {
                out.writeObjectFieldStart(e.getKey().key());
                for (Count c : Count.values()) {
                    out.writeNumberField(c.key(), Math.round(e.getValue().get(c) * 100) / 100.0);
                }
                out.writeEndObject();
            }
            out.writeEndObject();
        }
    }

    /**
     * Returns a line for each count of a scenario that exceeds the recorded value by more than its margin, or one line
     * if nothing is recorded.
     */
    List<String> violations(Scenario scenario, Counts measured) {
        Counts recorded = counts.get(scenario);
        if (recorded == null) {
            return List.of("cost " + scenario.key() + ": nothing recorded; run cost --record");
        }
        List<String> lines = new ArrayList<>();
        for (Count c : Count.values()) {
            double max = c.bound(scenario, recorded.get(c));
            if (measured.get(c) > max) {
                lines.add(String.format(
                        Locale.ROOT,
                        "cost %s: %s grew: recorded %.2f, seen %.2f, at most %.2f",
                        scenario.key(),
                        c.key(),
                        recorded.get(c),
                        measured.get(c),
                        max));
            }
        }
        return lines;
    }
}
