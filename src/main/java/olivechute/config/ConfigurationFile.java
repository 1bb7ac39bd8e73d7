package olivechute.config;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads configuration files, retrying transient disk errors. Blocks the calling thread. */
final class ConfigurationFile {
    private static final long RETRY_DURATION_NANOS = 1_000_000_000;
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private ConfigurationFile() {}

    /**
     * Returns all bytes of the file. A failed read is retried for a second, unless the file does not exist or access is
     * denied.
     */
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
