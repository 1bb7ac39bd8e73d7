package olivechute.error;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the error table rows of docs/runbook.md, by the section that they are in. */
public final class Runbook {
    private static final Path PAGE = Path.of("docs/runbook.md");
    private static final String SECTION = "## ";
    private static final String ROW = "| `";

    private Runbook() {}

    /** Returns the rows of one section. */
    public static List<String> rowsOf(String section) throws IOException {
        return rows(section, true);
    }

    /** Returns the rows of all other sections. */
    public static List<String> rowsOutside(String section) throws IOException {
        return rows(section, false);
    }

    private static List<String> rows(String section, boolean inside) throws IOException {
        List<String> rows = new ArrayList<>();
        String current = "";
        for (String line : Files.readAllLines(PAGE)) {
            if (line.startsWith(SECTION)) {
                current = line.substring(SECTION.length());
            }
            if (line.startsWith(ROW) && current.equals(section) == inside) {
                rows.add(line);
            }
        }
        return rows;
    }
}
