package olivechute.store.raft;

import static olivechute.error.ErrorCode.DISK_BROKEN;
import static olivechute.error.ErrorCode.DISK_FULL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how disk faults are detected and cleared, and how a truncated vote file is repaired. */
class DiskHealthTest {
    private static final long AMPLE_BYTES = 1L << 30;

    private static DiskHealth.ProbeResult healthyResult(long freeBytes, long usedBytes) {
        return new DiskHealth.ProbeResult(null, freeBytes, usedBytes);
    }

    @Test
    void recoversAfterThreeConsecutiveGoodProbes() {
        DiskHealth health = new DiskHealth(100);
        assertNull(health.onProbeResult(healthyResult(AMPLE_BYTES, 99)));
        assertEquals(DISK_FULL, health.onProbeResult(healthyResult(AMPLE_BYTES, 100)));
        assertEquals(DISK_FULL, health.onProbeResult(healthyResult(AMPLE_BYTES, 1)));
        assertEquals(DISK_FULL, health.onProbeResult(healthyResult(AMPLE_BYTES, 1)));
        assertEquals(DISK_BROKEN, health.onFailure(DISK_BROKEN));
        assertEquals(DISK_BROKEN, health.onProbeResult(healthyResult(AMPLE_BYTES, 1)));
        assertEquals(DISK_BROKEN, health.onProbeResult(healthyResult(AMPLE_BYTES, 1)));
        assertNull(health.onProbeResult(healthyResult(AMPLE_BYTES, 1)));
    }

    @Test
    void littleFreeSpaceIsFullWithoutQuota() {
        assertEquals(DISK_FULL, new DiskHealth(0).onProbeResult(healthyResult(DiskHealth.MIN_FREE_BYTES - 1, 0)));
        assertNull(new DiskHealth(0).onProbeResult(healthyResult(DiskHealth.MIN_FREE_BYTES, AMPLE_BYTES)));
    }

    @Test
    void errorCodeIsDerivedFromMessageOfAnyCause() {
        assertEquals(
                DISK_FULL, DiskHealth.errorCodeOf(new IOException("x", new IOException("No space left on device"))));
        assertEquals(DISK_FULL, DiskHealth.errorCodeOf(new IOException("File too large")));
        assertEquals(DISK_BROKEN, DiskHealth.errorCodeOf(new IOException("Input/output error")));
    }

    @Test
    void truncatedVoteFileIsRepairedAndCompleteOneIsKept(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("raft-meta");
        VoteFile.repair(file, 3, "r1");
        assertFalse(Files.exists(file));
        for (String truncated : new String[] {"", "#", "#\n#now\nterm=7\n", "#\nterm=7\nvotedFor=r"}) {
            Files.writeString(file, truncated);
            VoteFile.repair(file, 9, "r1");
            assertEquals("term=9\nvotedFor=r1\n", Files.readString(file), truncated);
        }
        String complete = "#\n#now\nvotedFor=r2\nterm=7\n";
        assertTrue(VoteFile.isComplete(complete));
        Files.writeString(file, complete);
        VoteFile.repair(file, 9, "r1");
        assertEquals(complete, Files.readString(file));
    }
}
