package olivechute.store.raft;

import olivechute.error.ErrorCode;

/** Judges a replica's disk from what the probes find. No I/O. */
final class DiskHealth {
    /**
     * Free bytes below which the disk counts as full: what a snapshot under way or a log file may take before the next
     * look.
     */
    static final long MIN_FREE_BYTES = 8L << 20;

    private static final int RECOVERY_CHECKS = 3;

    /**
     * What a look at the folder found.
     *
     * @param failed what the write of the probe came to; null for well
     * @param free bytes that the disk has left
     * @param held bytes that the folder holds
     */
    record ProbeResult(ErrorCode fault, long freeBytes, long usedBytes) {}

    private final long quotaBytes;
    private ErrorCode fault;
    private int healthyChecks;

    /** {@code quota}: most bytes that the folder may hold, 0 for no bound. */
    DiskHealth(long quotaBytes) {
        this.quotaBytes = quotaBytes;
    }

    /** What is wrong now; null for nothing. */
    ErrorCode fault() {
        return fault;
    }

    /**
     * A look was taken. It takes several good ones in a row to be well again, so that it does not flap. Returns what is
     * wrong now.
     */
    ErrorCode onProbeResult(ProbeResult result) {
        ErrorCode newFault = evaluate(result);
        if (newFault != null) {
            return onFailure(newFault);
        }
        if (fault != null && ++healthyChecks >= RECOVERY_CHECKS) {
            fault = null;
        }
        return fault;
    }

    /** Something could not be written. */
    ErrorCode onFailure(ErrorCode kind) {
        healthyChecks = 0;
        fault = kind;
        return fault;
    }

    private ErrorCode evaluate(ProbeResult result) {
        if (result.fault != null) {
            return result.fault;
        }
        boolean full = result.freeBytes < MIN_FREE_BYTES || (quotaBytes > 0 && result.usedBytes >= quotaBytes);
        return full ? ErrorCode.DISK_FULL : null;
    }

    /** What a failed read or write means: Linux says by its text alone why. */
    static ErrorCode errorCodeOf(Throwable failure) {
        for (Throwable each = failure; each != null; each = each.getCause()) {
            String message = String.valueOf(each.getMessage());
            if (message.contains("No space left")
                    || message.contains("Disk quota exceeded")
                    || message.contains("File too large")) {
                return ErrorCode.DISK_FULL;
            }
        }
        return ErrorCode.DISK_BROKEN;
    }

    /** As the log line names it. */
    static String describe(ErrorCode fault) {
        return fault == null ? "well" : fault == ErrorCode.DISK_FULL ? "full" : "broken";
    }
}
