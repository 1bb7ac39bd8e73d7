package olivechute.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.fleet.wire.NodeFigures;
import olivechute.store.Store;
import org.tinylog.Logger;

/**
 * Writes the nodes' new metrics to the store once a second, all in one write, on a thread of its own. While a write
 * takes longer, none is started, and of the metrics that arrive meanwhile the newest of each node are written next.
 */
final class MetricsPublisher {
    private static final long INTERVAL_MS = 1000;

    private final MetricsBuffer buffer;
    private final Store store;
    private final LeaseRenewer leaseRenewer;
    private final CountDownLatch closed = new CountDownLatch(1);
    private ErrorCode lastLoggedError;

    MetricsPublisher(MetricsBuffer buffer, Store store, LeaseRenewer leaseRenewer) {
        this.buffer = buffer;
        this.store = store;
        this.leaseRenewer = leaseRenewer;
    }

    void run() {
        try {
            while (!closed.await(INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                publish();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void publish() {
        Store.Lease lease = leaseRenewer.validLease();
        List<Store.Write> writes = new ArrayList<>();
        for (NodeFigures metrics : lease == null ? List.<NodeFigures>of() : buffer.unpublished()) {
            writes.add(Store.Write.put("figures/" + metrics.getNode(), metrics.toByteArray()));
        }
        if (writes.isEmpty()) {
            return;
        }
        try {
            store.write(writes, List.of(lease.fence()));
            lastLoggedError = null;
        } catch (StoreException e) {
            if (e.code() != lastLoggedError) {
                lastLoggedError = e.code();
                Logger.warn("metrics: not written to the store: {}", e.getMessage());
            }
        }
    }

    void close() {
        closed.countDown();
    }
}
