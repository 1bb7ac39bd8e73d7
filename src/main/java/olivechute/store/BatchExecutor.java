package olivechute.store;

import java.util.HashSet;
import java.util.Set;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Batch;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Put;

/**
 * Executes batches of writes atomically: a rejected batch leaves the state unchanged. Called by
 * {@link StoreStateMachine}.
 */
final class BatchExecutor {
    private final StoreLimits limits;

    BatchExecutor(StoreLimits limits) {
        this.limits = limits;
    }

    /** Returns the state after the batch, or throws if a limit, a fence or a precondition rejects it. */
    StoreState apply(StoreState state, Batch batch) throws CommandRejectedException {
        validate(batch);
        for (Fence fence : batch.getFencesList()) {
            checkFence(state, fence);
        }
        for (Put put : batch.getPutsList()) {
            checkPreconditions(state, put);
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        for (Put put : batch.getPutsList()) {
            if (put.getDelete()) {
                transaction.delete(put.getKey());
            } else {
                transaction.put(put.getKey(), put.getValue(), put.getSession());
            }
        }
        if (transaction.keyCount() > limits.maxKeys()
                && transaction.keyCount() > state.entries().size()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY,
                    "the batch would leave " + transaction.keyCount() + " keys, the limit is " + limits.maxKeys());
        }
        if (transaction.totalBytes() > limits.maxTotalBytes() && transaction.totalBytes() > state.totalBytes()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY,
                    "the batch would leave " + transaction.totalBytes() + " bytes, the limit is "
                            + limits.maxTotalBytes());
        }
        return transaction.commit();
    }

    private void validate(Batch batch) throws CommandRejectedException {
        if (batch.getPutsCount() > limits.maxBatchSize() || batch.getFencesCount() > limits.maxBatchSize()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_LARGE,
                    "batch of " + batch.getPutsCount() + " writes and " + batch.getFencesCount()
                            + " fences, the limit is " + limits.maxBatchSize());
        }
        Set<String> keys = new HashSet<>();
        for (Put put : batch.getPutsList()) {
            KeyValidator.validate("key", put.getKey(), limits);
            if (!keys.add(put.getKey())) {
                throw new CommandRejectedException(
                        ErrorCode.MALFORMED, "key '" + put.getKey() + "' occurs twice in the batch");
            }
            if (put.getValue().size() > limits.maxValueBytes()) {
                throw new CommandRejectedException(
                        ErrorCode.TOO_LARGE,
                        "value of '" + put.getKey() + "' has " + put.getValue().size() + " bytes, the limit is "
                                + limits.maxValueBytes());
            }
        }
    }

    private static void checkFence(StoreState state, Fence fence) throws CommandRejectedException {
        long newestToken = state.fences().getOrDefault(fence.getDomain(), 0L);
        if (fence.getNumber() < newestToken) {
            throw new CommandRejectedException(
                    ErrorCode.STALE_FENCE,
                    "fencing token " + fence.getNumber() + " of '" + fence.getDomain() + "', " + newestToken
                            + " has been issued since");
        }
        LeaseEntry lease = state.leases().findByName(fence.getDomain());
        if (lease == null || lease.session() != fence.getNumber()) {
            throw new CommandRejectedException(
                    ErrorCode.SESSION_ENDED, "fencing token " + fence.getNumber() + " of '" + fence.getDomain() + "'");
        }
    }

    private static void checkPreconditions(StoreState state, Put put) throws CommandRejectedException {
        if (put.getSession() != 0 && !put.getDelete() && state.leases().findBySession(put.getSession()) == null) {
            throw new CommandRejectedException(
                    ErrorCode.SESSION_ENDED,
                    "session " + put.getSession() + " that '" + put.getKey() + "' should belong to");
        }
        VersionedValue stored = state.entries().get(put.getKey());
        long version = stored == null ? 0 : stored.version();
        if (put.getConditional() && put.getIfVersion() != version) {
            throw new CommandRejectedException(
                    ErrorCode.CONFLICT,
                    "'" + put.getKey() + "' is at version " + version + ", not " + put.getIfVersion(),
                    version);
        }
    }
}
