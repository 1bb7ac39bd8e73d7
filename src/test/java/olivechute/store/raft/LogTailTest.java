package olivechute.store.raft;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Tests that a torn entry at the end of the log is told apart from an intact and from a corrupt log. */
class LogTailTest {
    /** Returns a log file with entries of these lengths, followed by preallocated zeros. */
    private static byte[] logFile(int... entryLengths) {
        ByteBuffer file = ByteBuffer.allocate(4096).put("RaftLog1".getBytes(UTF_8));
        for (int length : entryLengths) {
            int start = file.position();
            if (length < 128) {
                file.put((byte) length);
            } else {
                file.put((byte) ((length & 0x7f) | 0x80)).put((byte) (length >> 7));
            }
            for (int i = 0; i < length; i++) {
                file.put((byte) (1 + i % 100));
            }
            CRC32C checksum = new CRC32C();
            checksum.update(file.array(), start, file.position() - start);
            file.putInt((int) checksum.getValue());
        }
        return file.array();
    }

    @Test
    void intactLogIsKept() {
        assertEquals(-1, LogTail.findTornEntry(logFile()));
        assertEquals(-1, LogTail.findTornEntry(logFile(20, 300, 5)));
        assertEquals(-1, LogTail.findTornEntry(Arrays.copyOf(logFile(20, 300), 200))); // the file itself is truncated
    }

    @Test
    void truncatedEntryIsReportedAtItsStart() {
        int entryStart = 8 + 1 + 20 + 4;
        int entryEnd = entryStart + 2 + 300 + 4;
        for (int cut = entryStart + 1; cut < entryEnd; cut++) {
            byte[] file = logFile(20, 300);
            Arrays.fill(file, cut, entryEnd, (byte) 0);
            assertEquals(entryStart, LogTail.findTornEntry(file), "cut at " + cut);
        }
    }

    @Test
    void corruptEntryIsNotReportedAsTorn() {
        byte[] file = logFile(20, 300, 5);
        file[15] ^= 1;
        assertEquals(-1, LogTail.findTornEntry(file));
        byte[] last = logFile(20, 300);
        last[8 + 25 + 100] ^= 1;
        assertEquals(-1, LogTail.findTornEntry(last));
    }
}
