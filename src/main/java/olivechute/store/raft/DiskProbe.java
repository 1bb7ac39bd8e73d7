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
 * Looks whether a replica's folder still takes writes: writes a block and settles it, as far into a file as the log's
 * files reach, since a limit on the length of files counts too. Holds some bytes in reserve that are given up once the
 * disk is full, so that what is under way can end.
 */
final class DiskProbe {
    private static final int BLOCK_BYTES = 4096;
    /** Bytes held in reserve. */
    static final int RESERVE_BYTES = 4 << 20;

    private final Path directory;
    private final long blockOffset;

    /** {@code reach}: offset of the block that is written, the length of the log's files. */
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
            Logger.debug("probe: {}", e.toString());
            return new DiskHealth.ProbeResult(DiskHealth.errorCodeOf(e), 0, 0);
        }
    }

    /** Bytes that the folder's files have, without the probe, which is mostly a hole. */
    private long usedBytes() throws IOException {
        long total = 0;
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path each : (Iterable<Path>) files::iterator) {
                if (!each.endsWith("probe") && Files.isRegularFile(each)) {
                    total += size(each);
                }
            }
        } catch (java.io.UncheckedIOException e) {
            Logger.debug("folder changed while it was counted: {}", e.toString());
        }
        return total;
    }

    private static long size(Path file) throws IOException {
        try {
            return Files.size(file);
        } catch (NoSuchFileException e) {
            return 0; // gone since
        }
    }

    /** Puts the reserve there; fails where there is no room for it. */
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

    /** Gives the reserve up. */
    void releaseReserve() {
        try {
            Files.deleteIfExists(directory.resolve("reserve"));
        } catch (IOException e) {
            Logger.warn("reserve not given up: {}", e.toString());
        }
    }
}
