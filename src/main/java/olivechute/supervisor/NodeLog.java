package olivechute.supervisor;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.tinylog.Logger;

/**
 * The log file of a node's process. The process writes it directly, so that the process can continue when the
 * supervisor ends. A file that exceeds the size limit is copied to a second file and truncated; lines written between
 * the copy and the truncation are lost.
 */
final class NodeLog {
    private static final int MAX_TAIL_BYTES = 8 * 1024;

    private final Path file;
    private final long maxBytes;

    NodeLog(Path file, long maxBytes) {
        this.file = file;
        this.maxBytes = maxBytes;
    }

    Path file() {
        return file;
    }

    long size() {
        return file.toFile().length();
    }

    /** Copies and truncates the file if it exceeds the size limit. */
    void rotate() {
        if (size() <= maxBytes) {
            return;
        }
        try (RandomAccessFile log = new RandomAccessFile(file.toFile(), "rw")) {
            Files.copy(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
            log.setLength(0);
        } catch (IOException e) {
            Logger.warn("cannot rotate {}: {}", file, e.toString());
        }
    }

    /** Returns the lines after a byte offset, at most the last 8 KiB of them. */
    List<String> linesAfter(long offset) {
        try (RandomAccessFile log = new RandomAccessFile(file.toFile(), "r")) {
            long start = Math.max(offset <= log.length() ? offset : 0, log.length() - MAX_TAIL_BYTES);
            byte[] bytes = new byte[(int) (log.length() - start)];
            log.seek(start);
            log.readFully(bytes);
            return new String(bytes, StandardCharsets.UTF_8).lines().toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Returns the last line after a byte offset that is not blank, cut at 400 characters; empty if there is none. */
    String lastLineAfter(long offset) {
        String lastLine = linesAfter(offset).stream()
                .filter(line -> !line.isBlank())
                .reduce("", (a, b) -> b)
                .strip();
        return lastLine.length() > 400 ? lastLine.substring(0, 400) : lastLine;
    }
}
