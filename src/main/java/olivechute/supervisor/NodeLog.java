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
 * What a process says, in a file that it writes itself, so that it goes on when its supervisor ends. Once over the
 * bound it is copied aside and emptied; what is written between the two is lost.
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

    /** Puts the file aside where it is over the bound. */
    void rotate() {
        if (size() <= maxBytes) {
            return;
        }
        try (RandomAccessFile log = new RandomAccessFile(file.toFile(), "rw")) {
            Files.copy(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
            log.setLength(0);
        } catch (IOException e) {
            Logger.warn("cannot put {} aside: {}", file, e.toString());
        }
    }

    /** The lines after a place, the last 8 KiB of them at most. */
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

    /** The last line with something in it that was said after a place, cut at 400 characters; empty for none. */
    String lastLineAfter(long offset) {
        String lastLine = linesAfter(offset).stream()
                .filter(line -> !line.isBlank())
                .reduce("", (a, b) -> b)
                .strip();
        return lastLine.length() > 400 ? lastLine.substring(0, 400) : lastLine;
    }
}
