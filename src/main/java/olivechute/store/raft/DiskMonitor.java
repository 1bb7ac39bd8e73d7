package olivechute.store.raft;

import java.io.IOException;
import java.util.function.Consumer;
import olivechute.error.ErrorCode;

/**
 * Monitors the disk of one replica: reports a fault, on which the replica leaves the group, and reports recovery, on
 * which it rejoins. For use by one thread, except for {@link #statusText}.
 */
final class DiskMonitor {
    private final DiskProbe probe;
    private final DiskHealth health;
    private final Consumer<ErrorCode> onChange;
    private volatile ErrorCode reportedError;

    /**
     * Creates a monitor. {@code onChange} is called once with each kind of fault, and with null on recovery, from
     * {@link #check} and {@link #writeFailed}.
     */
    DiskMonitor(DiskProbe probe, long quotaBytes, Consumer<ErrorCode> onChange) {
        this.probe = probe;
        health = new DiskHealth(quotaBytes);
        this.onChange = onChange;
    }

    /** Probes the disk once and returns whether it is healthy. */
    boolean check() {
        DiskHealth.ProbeResult result = probe.probe();
        report(health.onProbeResult(result.error() == null ? requireReserve(result) : result));
        return reportedError == null;
    }

    /** Turns the result into a fault if the reserve file cannot be kept. */
    private DiskHealth.ProbeResult requireReserve(DiskHealth.ProbeResult result) {
        try {
            probe.ensureReserve();
            return result;
        } catch (IOException e) {
            return new DiskHealth.ProbeResult(DiskHealth.errorCodeOf(e), result.freeBytes(), result.usedBytes());
        }
    }

    /** Records a write that failed outside of the probe. */
    void writeFailed(Throwable cause) {
        report(health.onFailure(DiskHealth.errorCodeOf(cause)));
    }

    /** Returns the fault for the replica's status, empty while the disk is healthy. */
    String statusText() {
        ErrorCode error = reportedError;
        return error == null ? "" : DiskHealth.describe(error);
    }

    private void report(ErrorCode error) {
        if (error != reportedError) {
            if (reportedError == null) {
                probe.releaseReserve();
            }
            reportedError = error;
            onChange.accept(error);
        }
    }
}
