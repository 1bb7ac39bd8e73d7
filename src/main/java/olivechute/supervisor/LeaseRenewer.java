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

/** Holds the lease of a machine, on a thread of its own, and keeps the machine's report under it. */
@SuppressWarnings("WaitNotInLoop") // the wait stands in the loop of the caller, which reads the state anew
final class LeaseRenewer {
    /** Reports are written again after so many ms, even where nothing changed. */
    private static final long REPORT_INTERVAL_MS = 1000;
    /** Without a lease that nobody else holds, it is asked for again after so many. */
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

    /** {@code clock}: steady, ms. */
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

    /** The lease, if it can be relied on now; else null. */
    synchronized Store.Lease validLease() {
        return lease != null && monotonicClock.getAsLong() < validUntilMs ? lease : null;
    }

    /** Whether another process was told to hold it. */
    synchronized boolean heldByOther() {
        return heldByOther;
    }

    /** The report is to be written anew. */
    synchronized void reportChanged() {
        reportChanged = true;
        notifyAll();
    }

    /** Waits up to so many ms for the lease. */
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
        reportChanged = true; // what was not written is written as soon as there is a lease
        if (error.code() != lastLoggedError) {
            lastLoggedError = error.code();
            output.accept("supervisor " + settings.machine() + ": " + error.getMessage());
        }
    }

    /** Lets the lease go, and the report with it. */
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
            Logger.warn("supervisor {}: its lease ends by itself: {}", settings.machine(), e.getMessage());
        }
    }
}
