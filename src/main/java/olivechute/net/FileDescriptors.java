package olivechute.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The system's own limit on this process's descriptors, which may be lower than what it was told. */
public final class FileDescriptors {
    private static final String OPEN_FILES_LABEL = "Max open files";

    private FileDescriptors() {}

    /** How many it may hold; the largest number where the system does not say, or sets no limit. */
    public static int limit() {
        try {
            return limit(Files.readString(Path.of("/proc/self/limits")));
        } catch (IOException notAvailable) {
            return Integer.MAX_VALUE;
        }
    }

    /** The limit in force, out of the system's table of limits. */
    static int limit(String limits) {
        int index = limits.indexOf(OPEN_FILES_LABEL);
        if (index < 0) {
            return Integer.MAX_VALUE;
        }
        String softLimit =
                limits.substring(index + OPEN_FILES_LABEL.length()).strip().split("\\s+")[0];
        try {
            return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(softLimit));
        } catch (NumberFormatException unlimited) {
            return Integer.MAX_VALUE;
        }
    }
}
