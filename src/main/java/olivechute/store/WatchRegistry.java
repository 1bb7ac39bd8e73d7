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
 * The watches that wait at one replica, so many at most. Each is answered once: by the first state that has something
 * for it, or at its deadline with what there is. A watch that its caller cancels goes by itself. Safe for use by
 * several threads; answers are given outside of the lock, on the thread that brought the state or the time.
 */
public final class WatchRegistry {
    private static final class PendingWatch {
        final String prefix;
        final long deadlineMs;
        final CompletableFuture<Reply> future = new CompletableFuture<>();
        long since;

        PendingWatch(String prefix, long since, long deadlineMs) {
            this.prefix = prefix;
            this.since = since;
            this.deadlineMs = deadlineMs;
        }
    }

    private final int maxWatches;
    private final List<PendingWatch> pending = new ArrayList<>();
    private StoreState latest;

    /** {@code state}: where the replica stands now. */
    public WatchRegistry(StoreLimits limits, StoreState state) {
        maxWatches = limits.maxWatches();
        latest = state;
    }

    /**
     * The answer to a watch, at once where there is something to tell; with as many waiting as may, a refusal TOO_MANY.
     *
     * @param since version after which changes count
     * @param deadlineMs moment at which to answer at the latest, on the clock of {@link #expire}
     */
    public synchronized CompletableFuture<Reply> register(String prefix, long since, long deadlineMs) {
        Reply reply = QueryExecutor.watch(latest, prefix, since);
        if (QueryExecutor.hasChanges(reply)) {
            return CompletableFuture.completedFuture(reply);
        }
        pending.removeIf(each -> each.future.isDone());
        if (pending.size() >= maxWatches) {
            return CompletableFuture.completedFuture(StoreMessages.rejection(
                    ErrorCode.TOO_MANY, "there are " + maxWatches + " watches waiting here", latest.version()));
        }
        PendingWatch added = new PendingWatch(prefix, reply.getVersion(), deadlineMs);
        pending.add(added);
        return added.future;
    }

    /** Answers the watches that a new state has something for. One that is not newer than the last is passed over. */
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

    /** Answers the watches whose deadline is now or past. */
    public void expire(long nowMs) {
        Map<PendingWatch, Reply> due;
        synchronized (this) {
            due = takeDue(each -> each.deadlineMs <= nowMs);
        }
        due.forEach((each, reply) -> each.future.complete(reply));
    }

    /** Number of watches that wait. */
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
