package olivechute.controller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.net.Threads;
import olivechute.store.Store;
import org.tinylog.Logger;

/**
 * Drives the active change from the replica that leads. Each tick reads what changed, decides, and writes the next
 * state of the change with the resulting orders in one transaction fenced by the lease; it is rejected as a whole if
 * another controller took over or wrote meanwhile. Does nothing while the store does not answer. {@link #tick} runs on
 * one thread at a time.
 */
public final class RolloutController implements AutoCloseable {
    /**
     * Three times the default tick interval, so that a tick that is late by two thirds of this time, 2 s, on a busy
     * machine does not lose the lease.
     */
    static final Duration LEASE_TTL = Duration.ofSeconds(3);

    private final Store store;
    private final BooleanSupplier isLeader;
    private final LongSupplier clockMs;
    private final Duration tickInterval;
    private final ReconcilePlan.StepFunction stepFunction;
    private final String owner;
    private final CountDownLatch closing = new CountDownLatch(1);
    private Store.Lease lease;
    private FleetState fleet; // null: to be listed again
    private long nowMs; // the highest clock reading, so that a clock that is set back does not matter
    private String lastMessage = ""; // the last logged message, which is not logged twice in a row
    private Thread thread;

    /**
     * {@code isLeader}: whether this process's replica leads; {@code clockMs}: ms since the epoch; {@code replica}: ID
     * of that replica.
     */
    public RolloutController(
            Store store, BooleanSupplier isLeader, LongSupplier clockMs, ControllerSettings settings, String replica) {
        this(store, isLeader, clockMs, settings.tickInterval(), settings.stepFunction(), replica);
    }

    RolloutController(
            Store store,
            BooleanSupplier isLeader,
            LongSupplier clockMs,
            Duration tickInterval,
            ReconcilePlan.StepFunction stepFunction,
            String replica) {
        this.store = store;
        this.isLeader = isLeader;
        this.clockMs = clockMs;
        this.tickInterval = tickInterval;
        this.stepFunction = stepFunction;
        this.owner = replica + "-" + clockMs.getAsLong();
    }

    /** Ticks on its own thread until closed. */
    public RolloutController start() {
        thread = Threads.start("rollout", this::run);
        return this;
    }

    private void run() {
        try {
            do {
                try {
                    tick();
                } catch (RuntimeException e) {
                    fleet = null;
                    // Not rethrown, as that would end the controller's thread.
                    Logger.error(e, "rollout controller tick failed");
                }
            } while (!closing.await(tickInterval.toMillis(), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        releaseLease();
    }

    /** Reads, decides and writes once; whether anything was written. */
    boolean tick() {
        if (!isLeader.getAsBoolean()) {
            releaseLease();
            return false;
        }
        try {
            if (lease == null) {
                fleet = null;
                lease = store.acquire(StoreKeys.LEADER_LEASE, owner, LEASE_TTL);
                Logger.info("acquired the rollout lease with fencing token {}", lease.session());
            } else {
                store.renew(lease);
            }
            if (fleet == null) {
                FleetState listed = new FleetState();
                listed.apply(store.list(""));
                fleet = listed;
            } else {
                fleet.apply(store.watch("", fleet.version(), Duration.ZERO));
            }
            nowMs = Math.max(nowMs, clockMs.getAsLong());
            ReconcilePlan plan = ReconcilePlan.of(fleet, stepFunction, nowMs, lease.session());
            if (plan.writes().isEmpty()) {
                return false;
            }
            store.write(plan.writes(), List.of(lease.fence()));
            logChange(plan.updatedChange());
            return true;
        } catch (StoreException e) {
            handleStoreError(e);
        } catch (RolloutException e) {
            logOnce(e.getMessage());
        }
        return false;
    }

    private void handleStoreError(StoreException e) {
        fleet = null; // the write may have taken effect, or others wrote: list again first
        if (e.code() == ErrorCode.STALE_FENCE || e.code() == ErrorCode.SESSION_ENDED) {
            lease = null;
        }
        if (e.code() != ErrorCode.CONFLICT && e.code() != ErrorCode.LEASE_HELD) {
            logOnce(e.getMessage());
        }
    }

    private void logChange(ChangeRecord change) {
        if (change != null) {
            logOnce("change " + change.getSpec().getId() + " is " + change.getPhase() + " at stage " + change.getStage()
                    + ": " + change.getReason());
        }
    }

    private void logOnce(String text) {
        if (!text.equals(lastMessage)) {
            lastMessage = text;
            Logger.info("{}", text);
        }
    }

    private void releaseLease() {
        fleet = null;
        if (lease != null) {
            try {
                store.release(lease);
            } catch (StoreException e) {
                Logger.debug("cannot release the rollout lease, it will expire: {}", e.getMessage());
            }
            lease = null;
        }
    }

    @Override
    public void close() {
        closing.countDown();
        try {
            if (thread != null) {
                thread.join(LEASE_TTL.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
