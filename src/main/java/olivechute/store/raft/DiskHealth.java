package olivechute.store.raft;

import olivechute.error.ErrorCode;

/** Decides from probe results whether a replica's disk is healthy. Performs no I/O. */
final class DiskHealth {
    /**
     * Free bytes below which the disk counts as full. This leaves room for what a snapshot in progress or a log file
     * may take before the next probe.
     */
    static final long MIN_FREE_BYTES = 8L << 20;

    private static final int RECOVERY_CHECKS = 3;

    /**
     * Result of one probe of the data directory.
     *
     * @param error error of the probe's write, or null on success
     * @param freeBytes bytes free on the disk
     * @param usedBytes bytes used by the data directory
     */
    record ProbeResult(ErrorCode error, long freeBytes, long usedBytes) {}

    private final long quotaBytes;
    private ErrorCode error;
    private int healthyChecks;

    /** Creates a health state; {@code quotaBytes} is the maximum size of the data directory, 0 for no limit. */
    DiskHealth(long quotaBytes) {
        this.quotaBytes = quotaBytes;
    }

    /** Returns the present fault, or null if the disk is healthy. */
    ErrorCode error() {
        return error;
    }

    /**
     * Records a probe result and returns the present fault. Several good results in a row are needed to recover, so
     * that the state does not flap.
     */
    ErrorCode onProbeResult(ProbeResult result) {
        ErrorCode newError = evaluate(result);
        if (newError != null) {
            return onFailure(newError);
        }
        if (error != null && ++healthyChecks >= RECOVERY_CHECKS) {
            error = null;
        }
        return error;
    }

    /** Records a failed write and returns the resulting fault. */
    ErrorCode onFailure(ErrorCode kind) {
        healthyChecks = 0;
        error = kind;
        return error;
    }

    private ErrorCode evaluate(ProbeResult result) {
        if (result.error != null) {
            return result.error;
        }
        boolean full = result.freeBytes < MIN_FREE_BYTES || (quotaBytes > 0 && result.usedBytes >= quotaBytes);
        return full ? ErrorCode.DISK_FULL : null;
    }

    /**
     * Derives the error code of a failed read or write from the messages of its causes, since Linux reports the reason
     * only as text.
     */
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

    /** Returns the fault as it appears in log lines. */
    static String describe(ErrorCode error) {
        return error == null ? "well" : error == ErrorCode.DISK_FULL ? "full" : "broken";
    }
}
