package olivechute.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The operating system's limit on this process's open file descriptors, which may be lower than the configured one. */
public final class FileDescriptors {
    private static final String OPEN_FILES_LABEL = "Max open files";

    private FileDescriptors() {}

    /** The limit in force; the largest integer if the system reports none or sets none. */
    public static int limit() {
        try {
            return limit(Files.readString(Path.of("/proc/self/limits")));
        } catch (IOException notAvailable) {
            return Integer.MAX_VALUE;
        }
    }

    /** The limit in force, from the system's table of limits. */
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
