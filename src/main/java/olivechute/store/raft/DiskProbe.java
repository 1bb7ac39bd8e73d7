package olivechute.store.raft;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Probes whether a replica's data directory is writable: writes a block and forces it to disk, at the offset up to
 * which log files grow, so that a limit on file sizes is detected too. Also keeps a reserve file, which is deleted once
 * the disk is full so that work in progress can finish.
 */
final class DiskProbe {
    private static final int BLOCK_BYTES = 4096;
    /** Size of the reserve file in bytes. */
    static final int RESERVE_BYTES = 4 << 20;

    private final Path directory;
    private final long blockOffset;

    /** Creates a probe; {@code blockOffset} is the file offset of the block that it writes, the size of a log file. */
    DiskProbe(Path directory, long blockOffset) {
        this.directory = directory;
        this.blockOffset = blockOffset;
    }

    DiskHealth.ProbeResult probe() {
        try {
            ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES);
            ThreadLocalRandom.current().nextBytes(block.array());
            try (FileChannel channel =
                    FileChannel.open(directory.resolve("probe"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                for (long offset = blockOffset; block.hasRemaining(); ) {
                    offset += channel.write(block, offset);
                }
                channel.force(false);
            }
            return new DiskHealth.ProbeResult(
                    null, Files.getFileStore(directory).getUsableSpace(), usedBytes());
        } catch (IOException e) {
            Logger.debug("disk probe failed: {}", e.toString());
            return new DiskHealth.ProbeResult(DiskHealth.errorCodeOf(e), 0, 0);
        }
    }

    /** Returns the total size of the files in the directory, except for the probe file, which is mostly a hole. */
    private long usedBytes() throws IOException {
        long total = 0;
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path each : (Iterable<Path>) files::iterator) {
                if (!each.endsWith("probe") && Files.isRegularFile(each)) {
                    total += size(each);
                }
            }
        } catch (java.io.UncheckedIOException e) {
            Logger.debug("data directory changed while its size was computed: {}", e.toString());
        }
        return total;
    }

    private static long size(Path file) throws IOException {
        try {
            return Files.size(file);
        } catch (NoSuchFileException e) {
            return 0; // deleted since it was listed
        }
    }

    /** Creates the reserve file if it is missing; fails if there is no room for it. */
    void ensureReserve() throws IOException {
        Path reserveFile = directory.resolve("reserve");
        if (Files.exists(reserveFile) && Files.size(reserveFile) == RESERVE_BYTES) {
            return;
        }
        try (FileChannel channel = FileChannel.open(reserveFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            ByteBuffer block = ByteBuffer.allocate(BLOCK_BYTES);
            for (long offset = 0; offset < RESERVE_BYTES; offset += block.position()) {
                block.clear();
                ThreadLocalRandom.current().nextBytes(block.array());
                channel.write(block, offset);
            }
            channel.force(true);
        }
    }

    /** Deletes the reserve file to free its space. */
    void releaseReserve() {
        try {
            Files.deleteIfExists(directory.resolve("reserve"));
        } catch (IOException e) {
            Logger.warn("cannot delete the reserve file: {}", e.toString());
        }
    }
}
