package olivechute.store.raft;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;

/**
 * Data directory of a replica. The file {@code owner} names the replica that it belongs to, and a lock on that file
 * keeps other processes out.
 */
final class DataDirectory implements AutoCloseable {
    private static final int MAX_OWNER_BYTES = 4096;

    private final Path path;
    private final FileChannel ownerFile;

    private DataDirectory(Path path, FileChannel ownerFile) {
        this.path = path;
        this.ownerFile = ownerFile;
    }

    /**
     * Acquires a data directory, creating it if it does not exist. Fails with DATA_IN_USE, DATA_FOREIGN, DISK_FULL or
     * DISK_BROKEN.
     */
    static DataDirectory acquire(Path path, String ownerId) throws DiskException {
        try {
            Files.createDirectories(path.resolve("log"));
            FileChannel ownerFile = FileChannel.open(
                    path.resolve("owner"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            try {
                claim(path, ownerFile, ownerId);
            } catch (IOException | DiskException e) {
                ownerFile.close();
                throw e;
            }
            return new DataDirectory(path, ownerFile);
        } catch (IOException e) {
            throw new DiskException(DiskHealth.errorCodeOf(e), "data directory " + path + ": " + e, e);
        }
    }

    private static void claim(Path path, FileChannel ownerFile, String ownerId) throws IOException, DiskException {
        if (!tryLock(ownerFile)) {
            throw new DiskException(ErrorCode.DATA_IN_USE, "data directory " + path);
        }
        byte[] ownContent = (ownerId + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        java.nio.ByteBuffer buffer = java.nio.ByteBuffer.allocate(MAX_OWNER_BYTES);
        while (buffer.hasRemaining() && ownerFile.read(buffer, buffer.position()) > 0) {}
        String content = new String(buffer.array(), 0, buffer.position(), java.nio.charset.StandardCharsets.UTF_8);
        if (content.isEmpty()) {
            ownerFile.write(java.nio.ByteBuffer.wrap(ownContent), 0);
            ownerFile.force(true);
        } else if (!content.equals(ownerId + "\n")) {
            throw new DiskException(
                    ErrorCode.DATA_FOREIGN,
                    "data directory " + path + " belongs to '" + content.strip() + "', not to '" + ownerId + "'");
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    Path logDirectory() {
        return path.resolve("log");
    }

    Path path() {
        return path;
    }

    @Override
    public void close() {
        try {
            ownerFile.close();
        } catch (IOException e) {
            org.tinylog.Logger.warn("data directory {} not closed: {}", path, e.toString());
        }
    }
}
