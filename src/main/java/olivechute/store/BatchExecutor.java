package olivechute.store;

import java.util.HashSet;
import java.util.Set;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Batch;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Put;

/** Carries out batches of writes: first all checks, then all writes. */
final class BatchExecutor {
    private final StoreLimits limits;

    BatchExecutor(StoreLimits limits) {
        this.limits = limits;
    }

    /** The state after the batch. */
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
                    "with these writes there are " + transaction.keyCount() + " keys, over " + limits.maxKeys());
        }
        if (transaction.totalBytes() > limits.maxTotalBytes() && transaction.totalBytes() > state.totalBytes()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY,
                    "with these writes there are " + transaction.totalBytes() + " bytes, over "
                            + limits.maxTotalBytes());
        }
        return transaction.commit();
    }

    private void validate(Batch batch) throws CommandRejectedException {
        if (batch.getPutsCount() > limits.maxBatchSize() || batch.getFencesCount() > limits.maxBatchSize()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_LARGE,
                    "a batch of " + batch.getPutsCount() + " writes and " + batch.getFencesCount() + " fences, over "
                            + limits.maxBatchSize());
        }
        Set<String> keys = new HashSet<>();
        for (Put put : batch.getPutsList()) {
            KeyValidator.validate("key", put.getKey(), limits);
            if (!keys.add(put.getKey())) {
                throw new CommandRejectedException(
                        ErrorCode.MALFORMED, "key '" + put.getKey() + "' is twice in a batch");
            }
            if (put.getValue().size() > limits.maxValueBytes()) {
                throw new CommandRejectedException(
                        ErrorCode.TOO_LARGE,
                        "the value of '" + put.getKey() + "' has "
                                + put.getValue().size() + " bytes, over " + limits.maxValueBytes());
            }
        }
    }

    private static void checkFence(StoreState state, Fence fence) throws CommandRejectedException {
        long newestToken = state.fences().getOrDefault(fence.getDomain(), 0L);
        if (fence.getNumber() < newestToken) {
            throw new CommandRejectedException(
                    ErrorCode.STALE_FENCE,
                    "fence " + fence.getNumber() + " of '" + fence.getDomain() + "', " + newestToken
                            + " was given since");
        }
        LeaseEntry lease = state.leases().findByName(fence.getDomain());
        if (lease == null || lease.session() != fence.getNumber()) {
            throw new CommandRejectedException(
                    ErrorCode.SESSION_ENDED, "fence " + fence.getNumber() + " of '" + fence.getDomain() + "'");
        }
    }

    private static void checkPreconditions(StoreState state, Put put) throws CommandRejectedException {
        if (put.getSession() != 0 && !put.getDelete() && state.leases().findBySession(put.getSession()) == null) {
            throw new CommandRejectedException(
                    ErrorCode.SESSION_ENDED, "session " + put.getSession() + " that '" + put.getKey() + "' goes with");
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
