package olivechute.config;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads a file of the operators, whose disk may fail for a moment. */
final class ConfigurationFile {
    private static final long RETRY_DURATION_NANOS = 1_000_000_000;
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private ConfigurationFile() {}

    /** All of its bytes; a read that fails is tried again for a second, unless the file is not there or not ours. */
    static byte[] read(Path file) throws IOException {
        long deadlineNanos = System.nanoTime() + RETRY_DURATION_NANOS;
        for (; ; ) {
            try {
                return Files.readAllBytes(file);
            } catch (NoSuchFileException | AccessDeniedException e) {
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() - deadlineNanos >= 0) {
                    throw e;
                }
            }
            pause();
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
