package olivechute.store.raft;

import java.io.IOException;
import java.util.function.Consumer;
import olivechute.error.ErrorCode;

/**
 * Watches the disk of one replica, and has it leave the group while the disk takes no writes and come back once it
 * does. For one thread, but for {@link #word}.
 */
final class DiskMonitor {
    private final DiskProbe probe;
    private final DiskHealth health;
    private final Consumer<ErrorCode> onChange;
    private volatile ErrorCode reportedFault;

    /**
     * {@code changed}: told each kind of trouble once, and null once it is over; called by {@link #look} and
     * {@link #failed}.
     */
    DiskMonitor(DiskProbe probe, long quotaBytes, Consumer<ErrorCode> onChange) {
        this.probe = probe;
        health = new DiskHealth(quotaBytes);
        this.onChange = onChange;
    }

    /** Looks once; true where the disk is well. */
    boolean check() {
        DiskHealth.ProbeResult result = probe.probe();
        report(health.onProbeResult(result.fault() == null ? requireReserve(result) : result));
        return reportedFault == null;
    }

    /** It is well only with room for the reserve. */
    private DiskHealth.ProbeResult requireReserve(DiskHealth.ProbeResult result) {
        try {
            probe.ensureReserve();
            return result;
        } catch (IOException e) {
            return new DiskHealth.ProbeResult(DiskHealth.errorCodeOf(e), result.freeBytes(), result.usedBytes());
        }
    }

    /** A write failed elsewhere. */
    void writeFailed(Throwable cause) {
        report(health.onFailure(DiskHealth.errorCodeOf(cause)));
    }

    /** For the replica's status: empty while well. */
    String statusText() {
        ErrorCode fault = reportedFault;
        return fault == null ? "" : DiskHealth.describe(fault);
    }

    private void report(ErrorCode fault) {
        if (fault != reportedFault) {
            if (reportedFault == null) {
                probe.releaseReserve();
            }
            reportedFault = fault;
            onChange.accept(fault);
        }
    }
}
