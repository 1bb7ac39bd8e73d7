package olivechute.store;

import java.util.Map;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Acquire;

/** Takes, prolongs and ends leases. */
final class LeaseManager {
    private final StoreLimits limits;

    LeaseManager(StoreLimits limits) {
        this.limits = limits;
    }

    /**
     * Moves the clock on and ends what ran out by then; a clock behind the state's finds nothing, as every lease held
     * ends after that.
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
        KeyValidator.validate("lease's name", request.getName(), limits);
        KeyValidator.validate("lease's owner", request.getOwner(), limits);
        if (request.getTtlMs() <= 0) {
            throw new CommandRejectedException(ErrorCode.MALFORMED, "lease '" + request.getName() + "' without a term");
        }
        LeaseEntry held = state.leases().findByName(request.getName());
        if (held != null && !held.owner().equals(request.getOwner())) {
            throw new CommandRejectedException(
                    ErrorCode.LEASE_HELD,
                    "'" + held.owner() + "' has '" + request.getName() + "' for "
                            + (held.expiresAtMs() - state.clockMs()) + " ms more unless it prolongs it");
        }
        if (held == null && state.leases().size() >= limits.maxLeases()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY, "there are " + state.leases().size() + " leases");
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

    /** Ends a lease; one that ended already is as well. */
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
     * A fence needs its lease, and each new session is higher than all before: a domain without a lease may be
     * forgotten.
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
