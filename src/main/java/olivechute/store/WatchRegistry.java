package olivechute.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Reply;

/**
 * Registry of the watches that wait at one replica, up to a limit. Each watch is completed once: by the first state
 * with a change for it, or at its deadline. A watch that its caller cancels is removed. Safe for use by several
 * threads; futures are completed outside of the lock, on the thread that called {@link #onChange} or {@link #expire}.
 */
public final class WatchRegistry {
    private static final class PendingWatch {
        final String prefix;
        final long deadlineMs;
        final CompletableFuture<Reply> future = new CompletableFuture<>();
        long since; // advances to the version of each state that had no change for this watch

        PendingWatch(String prefix, long since, long deadlineMs) {
            this.prefix = prefix;
            this.since = since;
            this.deadlineMs = deadlineMs;
        }
    }

    private final int maxWatches;
    private final List<PendingWatch> pending = new ArrayList<>();
    private StoreState latest;

    /** Creates a registry; {@code state} is the replica's present state. */
    public WatchRegistry(StoreLimits limits, StoreState state) {
        maxWatches = limits.maxWatches();
        latest = state;
    }

    /**
     * Registers a watch and returns the future of its reply, which is already completed if there are changes. If the
     * limit of waiting watches is reached, the reply is a TOO_MANY rejection.
     *
     * @param since version after which changes count
     * @param deadlineMs latest moment to reply at, on the clock of {@link #expire}
     */
    public synchronized CompletableFuture<Reply> register(String prefix, long since, long deadlineMs) {
        Reply reply = QueryExecutor.watch(latest, prefix, since);
        if (QueryExecutor.hasChanges(reply)) {
            return CompletableFuture.completedFuture(reply);
        }
        pending.removeIf(each -> each.future.isDone());
        if (pending.size() >= maxWatches) {
            return CompletableFuture.completedFuture(StoreMessages.rejection(
                    ErrorCode.TOO_MANY,
                    "there are already " + maxWatches + " watches waiting at this replica",
                    latest.version()));
        }
        PendingWatch added = new PendingWatch(prefix, reply.getVersion(), deadlineMs);
        pending.add(added);
        return added.future;
    }

    /**
     * Completes the watches for which a new state has changes. A state that is not newer than the last one is ignored.
     */
    public void onChange(StoreState state) {
        Map<PendingWatch, Reply> due;
        synchronized (this) {
            if (state.version() <= latest.version()) {
                return;
            }
            latest = state;
            due = takeDue(each -> false);
        }
        due.forEach((each, reply) -> each.future.complete(reply));
    }

    /** Completes the watches whose deadline is now or past. */
    public void expire(long nowMs) {
        Map<PendingWatch, Reply> due;
        synchronized (this) {
            due = takeDue(each -> each.deadlineMs <= nowMs);
        }
        due.forEach((each, reply) -> each.future.complete(reply));
    }

    /** Returns the number of waiting watches. */
    public synchronized int size() {
        pending.removeIf(each -> each.future.isDone());
        return pending.size();
    }

    private Map<PendingWatch, Reply> takeDue(Predicate<PendingWatch> expired) {
        Map<PendingWatch, Reply> due = new HashMap<>();
        pending.removeIf(each -> {
            if (each.future.isDone()) {
                return true;
            }
            Reply reply = QueryExecutor.watch(latest, each.prefix, each.since);
            if (QueryExecutor.hasChanges(reply) || expired.test(each)) {
                due.put(each, reply);
                return true;
            }
            each.since = reply.getVersion();
            return false;
        });
        return due;
    }
}
