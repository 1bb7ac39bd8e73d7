package olivechute.benchmark;

import java.util.Locale;
import olivechute.benchmark.Counts.Count;

/** Formats counts as a text table. */
final class Table {
    private Table() {}

    static String heading() {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-12s", "a request"));
        for (Count c : Count.values()) {
            line.append(String.format(Locale.ROOT, " %11s", c.key()));
        }
        return line.toString();
    }

    static String row(Scenario scenario, Counts counts) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-12s", scenario.key()));
        for (Count c : Count.values()) {
            String form = c == Count.BYTES || c == Count.HEAD_COPIED ? " %11.0f" : " %11.2f";
            line.append(String.format(Locale.ROOT, form, counts.get(c)));
        }
        return line.toString();
    }
}
