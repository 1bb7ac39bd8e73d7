package olivechute.store;

import java.util.Map;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Acquire;

/** Acquires, renews, releases and expires leases. Called by {@link StoreStateMachine}. */
final class LeaseManager {
    private final StoreLimits limits;

    LeaseManager(StoreLimits limits) {
        this.limits = limits;
    }

    /**
     * Advances the clock and ends the leases that have expired by then. A clock behind the state's expires nothing,
     * since every held lease expires after the state's clock.
     */
    StoreState advance(StoreState state, long nowMs) {
        StateTransaction transaction = new StateTransaction(state, limits);
        transaction.advanceClock(nowMs);
        for (LeaseEntry lease = transaction.leases.nextToExpire();
                lease != null && lease.expiresAtMs() <= nowMs;
                lease = transaction.leases.nextToExpire()) {
            transaction.endLease(lease);
        }
        return transaction.commit();
    }

    StoreState acquire(StoreState state, Acquire request) throws CommandRejectedException {
        KeyValidator.validate("lease name", request.getName(), limits);
        KeyValidator.validate("lease owner", request.getOwner(), limits);
        if (request.getTtlMs() <= 0) {
            throw new CommandRejectedException(
                    ErrorCode.MALFORMED, "lease '" + request.getName() + "' has no time to live");
        }
        LeaseEntry held = state.leases().findByName(request.getName());
        if (held != null && !held.owner().equals(request.getOwner())) {
            throw new CommandRejectedException(
                    ErrorCode.LEASE_HELD,
                    "'" + held.owner() + "' holds '" + request.getName() + "' for "
                            + (held.expiresAtMs() - state.clockMs()) + " ms more unless it renews the lease");
        }
        if (held == null && state.leases().size() >= limits.maxLeases()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY, "there are already " + state.leases().size() + " leases");
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        if (held != null) {
            transaction.endLease(held);
        }
        long session = transaction.allocateSession();
        transaction.leases = transaction.leases.with(new LeaseEntry(
                request.getName(),
                request.getOwner(),
                session,
                request.getTtlMs(),
                LeaseEntry.expiryMs(state.clockMs(), request.getTtlMs())));
        transaction.fences = transaction.fences.plus(request.getName(), session);
        evictOldestFence(transaction);
        return transaction.commit();
    }

    StoreState renew(StoreState state, long session) throws CommandRejectedException {
        LeaseEntry lease = state.leases().findBySession(session);
        if (lease == null) {
            throw new CommandRejectedException(ErrorCode.SESSION_ENDED, "session " + session);
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        transaction.leases = transaction.leases.with(lease.renewed(state.clockMs()));
        return transaction.commit();
    }

    /** Ends a lease; a lease that has already ended is accepted too. */
    StoreState release(StoreState state, long session) {
        LeaseEntry lease = state.leases().findBySession(session);
        if (lease == null) {
            return state;
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        transaction.endLease(lease);
        return transaction.commit();
    }

    /**
     * Drops the oldest fencing token of a domain without a lease once there are too many. This is safe because a fence
     * is only valid while its lease is held, and each new session is higher than all before.
     */
    private void evictOldestFence(StateTransaction transaction) {
        if (transaction.fences.size() <= 2 * limits.maxLeases()) {
            return;
        }
        Map.Entry<String, Long> oldest = null;
        for (Map.Entry<String, Long> fence : transaction.fences.entrySet()) {
            if (transaction.leases.findByName(fence.getKey()) == null
                    && (oldest == null || fence.getValue() < oldest.getValue())) {
                oldest = fence;
            }
        }
        if (oldest != null) {
            transaction.fences = transaction.fences.minus(oldest.getKey());
        }
    }
}
