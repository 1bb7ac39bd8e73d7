package olivechute.store.raft;

import java.io.IOException;
import olivechute.fault.FaultKind;

/** Judges the disk from what the probes say. No I/O. */
final class DiskHealth {
    private DiskHealth() { }

    /** What a failed read or write means: Linux says by its text alone why. */
    static FaultKind kind(IOException failed) {
        String text = String.valueOf(failed.getMessage());
        boolean full = text.contains("No space left") || text.contains("Disk quota exceeded") || text.contains("File too large");
        return full ? FaultKind.DISK_FULL : FaultKind.DISK_BROKEN;
    }
}
