package olivechute.supervisor;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.Properties;
import java.util.UUID;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import olivechute.error.ErrorCode;
import olivechute.error.SupervisionException;
import org.tinylog.Logger;

/**
 * The directory in which a supervisor stores its state. A lock ensures that one process at a time uses it, and files
 * are replaced atomically.
 */
final class SupervisorDirectory implements AutoCloseable {
    private final Path path;
    private final FileChannel lockChannel;

    /**
     * Creates the directory if it does not exist and locks it. Throws DATA_IN_USE while another supervisor holds the
     * lock.
     */
    SupervisorDirectory(Path path) throws SupervisionException {
        this.path = path.toAbsolutePath();
        try {
            Files.createDirectories(path);
            lockChannel = FileChannel.open(path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new SupervisionException(ErrorCode.DISK_BROKEN, "folder " + path + ": " + e, e);
        }
        if (!tryLock()) {
            close();
            throw new SupervisionException(ErrorCode.DATA_IN_USE, "folder " + path);
        }
    }

    private boolean tryLock() {
        try {
            FileLock lock = lockChannel.tryLock();
            return lock != null;
        } catch (IOException | OverlappingFileLockException e) {
            return false;
        }
    }

    Path file(String name) {
        return path.resolve(name);
    }

    /** Replaces a file atomically: a reader sees either the old text or the new. */
    void replace(Path file, String text) throws IOException {
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel out = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directoryChannel = FileChannel.open(path)) {
            directoryChannel.force(true);
        }
    }

    void remove(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            Logger.warn("cannot remove {}: {}", file, e.toString());
        }
    }

    /** Deletes the configuration files of a node except those in the list. */
    void deleteUnusedConfigs(String node, List<Path> needed) {
        String fileNamePattern = Pattern.quote(node) + "-[0-9]+\\.json";
        try (Stream<Path> files = Files.list(path)) {
            files.filter(p -> p.getFileName().toString().matches(fileNamePattern) && !needed.contains(p))
                    .forEach(this::remove);
        } catch (IOException e) {
            Logger.warn("cannot list {}: {}", path, e.toString());
        }
    }

    /**
     * Returns the name under which this supervisor holds leases. It is the same after a restart, so that the supervisor
     * does not have to wait for its own lease to expire.
     */
    String leaseOwner(String machine) throws SupervisionException {
        Path file = file("owner");
        try {
            if (!Files.exists(file)) {
                replace(file, UUID.randomUUID().toString());
            }
            return machine + "/" + Files.readString(file).strip();
        } catch (IOException e) {
            throw new SupervisionException(ErrorCode.DISK_BROKEN, file + ": " + e, e);
        }
    }

    void save(Path file, Properties values) throws IOException {
        StringWriter text = new StringWriter();
        values.store(text, null);
        replace(file, text.toString());
    }

    /** Reads a properties file; empty if it does not exist or cannot be read, which is logged. */
    Optional<Properties> load(Path file) {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            Properties values = new Properties();
            values.load(new StringReader(Files.readString(file)));
            return Optional.of(values);
        } catch (IOException | IllegalArgumentException e) {
            Logger.warn("cannot read {}: {}", file, e.toString());
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        try {
            lockChannel.close();
        } catch (IOException e) {
            Logger.warn("cannot release the lock on {}: {}", path, e.toString());
        }
    }
}
