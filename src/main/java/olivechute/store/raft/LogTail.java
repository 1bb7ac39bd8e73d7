package olivechute.store.raft;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.tinylog.Logger;

/**
 * Tells a torn end of the log from a damaged log. The library lays zeros out ahead of what it writes, so a write that a
 * kill or a loss of power cut in two leaves an entry that ends in zeros, with only zeros behind it. It was never
 * settled, so nobody was told that it is kept, and it may go. Any other entry with a wrong sum is left for the library
 * to refuse.
 */
final class LogTail {
    private static final int HEADER_BYTES = 8;
    private static final int CHECKSUM_BYTES = 4;

    private LogTail() {}

    /** Cuts torn ends off the open files of a log; there is none before the first start. */
    static void truncateTornEntries(Path logDirectory) throws IOException {
        if (!Files.isDirectory(logDirectory)) {
            return;
        }
        List<Path> openSegments;
        try (Stream<Path> files = Files.list(logDirectory)) {
            openSegments = files.filter(f -> f.getFileName().toString().startsWith("log_inprogress_"))
                    .toList();
        }
        for (Path each : openSegments) {
            long tornOffset = findTornEntry(Files.readAllBytes(each));
            if (tornOffset >= 0) {
                Logger.warn("log: cut a torn entry off {} at {}", each.getFileName(), tornOffset);
                try (FileChannel channel = FileChannel.open(each, StandardOpenOption.WRITE)) {
                    channel.truncate(tornOffset);
                    channel.force(true);
                }
            }
        }
    }

    /** Where a torn entry begins; -1 for none. */
    static int findTornEntry(byte[] file) {
        for (int offset = HEADER_BYTES; offset < file.length && file[offset] != 0; ) {
            long length = 0;
            int dataOffset = offset;
            for (int shift = 0; dataOffset < file.length && shift < 35; shift += 7) {
                byte octet = file[dataOffset++];
                length |= (long) (octet & 0x7f) << shift;
                if (octet >= 0) {
                    break;
                }
            }
            long end = dataOffset + length + CHECKSUM_BYTES;
            if (end > file.length) {
                return -1; // cut short as a file: the library passes over it
            }
            int matching = countMatchingChecksumBytes(file, offset, (int) end);
            if (matching < CHECKSUM_BYTES) {
                return isZeroFrom(file, (int) end - CHECKSUM_BYTES + matching) ? offset : -1;
            }
            offset = (int) end;
        }
        return -1;
    }

    /** How many bytes of an entry's sum are right, from the first. */
    private static int countMatchingChecksumBytes(byte[] file, int from, int end) {
        CRC32C checksum = new CRC32C();
        checksum.update(file, from, end - CHECKSUM_BYTES - from);
        int matching = 0;
        while (matching < CHECKSUM_BYTES
                && file[end - CHECKSUM_BYTES + matching]
                        == (byte) (checksum.getValue() >> (8 * (CHECKSUM_BYTES - 1 - matching)))) {
            matching++;
        }
        return matching;
    }

    private static boolean isZeroFrom(byte[] file, int from) {
        for (int i = from; i < file.length; i++) {
            if (file[i] != 0) {
                return false;
            }
        }
        return true;
    }
}
