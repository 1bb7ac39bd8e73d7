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
 * Distinguishes a torn write at the end of the log from a corrupt log. The Raft library preallocates log files with
 * zeros, so a write cut off by a kill or a power loss leaves an entry that ends in zeros, followed by zeros only. Such
 * an entry was never synced and so never acknowledged, and may be removed. Any other entry with a wrong checksum is
 * left for the library to reject.
 */
final class LogTail {
    private static final int HEADER_BYTES = 8; // of a log file
    private static final int CHECKSUM_BYTES = 4; // of a log entry: CRC32C, big-endian

    private LogTail() {}

    /**
     * Truncates torn entries at the end of the open log segments. The directory does not exist before the first start.
     */
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

    /** Returns the offset of a torn entry, or -1 if there is none. */
    static int findTornEntry(byte[] file) {
        for (int offset = HEADER_BYTES; offset < file.length && file[offset] != 0; ) {
            // An entry begins with its length, a protobuf varint of at most 5 bytes.
            long length = 0;
            int dataOffset = offset;
            for (int shift = 0; dataOffset < file.length && shift < 35; shift += 7) {
                byte varintByte = file[dataOffset++];
                length |= (long) (varintByte & 0x7f) << shift;
                if (varintByte >= 0) {
                    break;
                }
            }
            long end = dataOffset + length + CHECKSUM_BYTES;
            if (end > file.length) {
                return -1; // the file itself is truncated; the library ignores the partial entry
            }
            int matching = countMatchingChecksumBytes(file, offset, (int) end);
            if (matching < CHECKSUM_BYTES) {
                return isZeroFrom(file, (int) end - CHECKSUM_BYTES + matching) ? offset : -1;
            }
            offset = (int) end;
        }
        return -1;
    }

    /** Returns how many leading bytes of an entry's checksum are correct. */
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
