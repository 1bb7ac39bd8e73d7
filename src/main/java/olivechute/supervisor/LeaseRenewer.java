package olivechute.supervisor;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.fleet.wire.MachineReport;
import olivechute.store.Store;
import org.tinylog.Logger;

/**
 * Acquires and renews the lease of this machine and writes the machine's report to the store under its fencing token.
 * {@link #run} is the loop of a thread of its own; the other methods may be called from any thread.
 */
@SuppressWarnings("WaitNotInLoop") // the callers' loops check the state again
final class LeaseRenewer {
    /** The report is written at this interval even if nothing changed. */
    private static final long REPORT_INTERVAL_MS = 1000;
    /** Interval between attempts to acquire the lease while it is not known to be held by another process. */
    private static final long ACQUIRE_RETRY_MS = 50;

    private final SupervisorSettings settings;
    private final Store store;
    private final String owner;
    private final Supplier<MachineReport> reportSupplier;
    private final Consumer<String> output;
    private final LongSupplier monotonicClock;
    private Store.Lease lease;
    private long validUntilMs;
    private long renewAtMs;
    private long reportAtMs;
    private boolean reportChanged;
    private boolean heldByOther;
    private boolean closed;
    private ErrorCode lastLoggedError;

    /**
     * {@code owner}: the name under which the lease is held; {@code output}: prints a line for the operator;
     * {@code monotonicClock}: in milliseconds.
     */
    LeaseRenewer(
            SupervisorSettings settings,
            Store store,
            String owner,
            Supplier<MachineReport> reportSupplier,
            Consumer<String> output,
            LongSupplier monotonicClock) {
        this.settings = settings;
        this.store = store;
        this.owner = owner;
        this.reportSupplier = reportSupplier;
        this.output = output;
        this.monotonicClock = monotonicClock;
    }

    /** Returns the lease if it is certainly still valid, otherwise null. */
    synchronized Store.Lease validLease() {
        return lease != null && monotonicClock.getAsLong() < validUntilMs ? lease : null;
    }

    /** Whether the store last answered that another process holds the lease. */
    synchronized boolean heldByOther() {
        return heldByOther;
    }

    /** Requests that the report is written without waiting for the interval. */
    synchronized void reportChanged() {
        reportChanged = true;
        notifyAll();
    }

    /** Waits for the lease, at most so many milliseconds. */
    synchronized void awaitLease(long millis) throws InterruptedException {
        if (validLease() == null && !closed) {
            wait(millis);
        }
    }

    void run() {
        try {
            while (!isClosed()) {
                try {
                    renewAndReport();
                    lastLoggedError = null;
                    pause(Math.min(renewAtMs, reportAtMs) - monotonicClock.getAsLong(), false);
                } catch (StoreException e) {
                    handleFailure(e);
                    pause(
                            lease == null && !heldByOther()
                                    ? ACQUIRE_RETRY_MS
                                    : settings.leaseTtl().toMillis() / 3,
                            true);
                }
            }
            release();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private synchronized void pause(long millis, boolean ignoreChanges) throws InterruptedException {
        if (millis > 0 && !closed && (ignoreChanges || !reportChanged)) {
            wait(millis);
        }
    }

    private void renewAndReport() throws StoreException {
        long nowMs = monotonicClock.getAsLong();
        long ttlMs = settings.leaseTtl().toMillis();
        if (lease == null) {
            Store.Lease acquired = store.acquire("machine/" + settings.machine(), owner, settings.leaseTtl());
            output.accept("supervisor " + settings.machine() + " fence " + acquired.session());
            setLease(acquired, nowMs + ttlMs);
            reportAtMs = nowMs;
        } else if (nowMs >= renewAtMs) {
            store.renew(lease);
            setLease(lease, nowMs + ttlMs);
        }
        renewAtMs = Math.max(renewAtMs, nowMs + ttlMs / 3);
        if (takeReportChanged() || nowMs >= reportAtMs) {
            byte[] reportBytes = reportSupplier.get().toBuilder()
                    .setFence(lease.session())
                    .build()
                    .toByteArray();
            store.write(
                    List.of(new Store.Write("machine/" + settings.machine(), reportBytes, null, lease.session())),
                    List.of(lease.fence()));
            reportAtMs = nowMs + REPORT_INTERVAL_MS;
        }
    }

    private synchronized void setLease(Store.Lease validLease, long untilMs) {
        lease = validLease;
        validUntilMs = untilMs;
        heldByOther = false;
        renewAtMs = untilMs - settings.leaseTtl().toMillis() * 2 / 3;
        notifyAll();
    }

    private synchronized boolean takeReportChanged() {
        boolean wasChanged = reportChanged;
        reportChanged = false;
        return wasChanged;
    }

    private synchronized void handleFailure(StoreException error) {
        switch (error.code()) {
            case SESSION_ENDED, STALE_FENCE -> lease = null;
            case LEASE_HELD -> heldByOther = true;
            default -> {}
        }
        reportChanged = true; // the report that was not written follows as soon as there is a lease
        if (error.code() != lastLoggedError) {
            lastLoggedError = error.code();
            output.accept("supervisor " + settings.machine() + ": " + error.getMessage());
        }
    }

    /** Makes {@link #run} release the lease, which removes the report too. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }

    private void release() {
        try {
            if (lease != null) {
                store.release(lease);
            }
        } catch (StoreException e) {
            Logger.warn(
                    "supervisor {}: cannot release its lease, which will expire: {}",
                    settings.machine(),
                    e.getMessage());
        }
    }
}
