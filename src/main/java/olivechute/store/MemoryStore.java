package olivechute.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Reply;

/**
 * A store within one process, over the same state machine as the replicated store, for tests and for standalone use.
 * Leases expire by the given clock, at each write and at {@link #tick}; watches time out by {@link System#nanoTime}.
 * Safe for use by several threads.
 */
public final class MemoryStore implements Store {
    private final LongSupplier clockMs;
    private final StoreStateMachine stateMachine;
    private final WatchRegistry watches;
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private StoreState state = StoreState.EMPTY;

    /**
     * Creates a store with default limits; {@code clockMs} returns ms since the epoch or since any other fixed moment.
     */
    public MemoryStore(LongSupplier clockMs) {
        this(clockMs, StoreLimits.DEFAULTS);
    }

    /** Creates a store with the given limits. */
    public MemoryStore(LongSupplier clockMs, StoreLimits limits) {
        this.clockMs = clockMs;
        stateMachine = new StoreStateMachine(limits);
        watches = new WatchRegistry(limits, state);
    }

    @Override
    public Optional<Entry> get(String key) throws StoreException {
        return StoreMessages.entry(query(StoreMessages.get(key)));
    }

    @Override
    public Changes list(String prefix) throws StoreException {
        return StoreMessages.changes(query(StoreMessages.list(prefix)));
    }

    @Override
    public long write(List<Write> writes, List<Fence> fences) throws StoreException {
        return StoreMessages.version(apply(StoreMessages.batch(writes, fences)));
    }

    @Override
    public Changes watch(String prefix, long since, Duration wait) throws StoreException {
        checkOpen();
        Query query = StoreMessages.watch(prefix, since, wait);
        long deadlineMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
                + query.getWatch().getWaitMs();
        CompletableFuture<Reply> pending = watches.register(query.getWatch().getPrefix(), since, deadlineMs);
        try {
            CompletableFuture.anyOf(pending, closed).get(query.getWatch().getWaitMs(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            watches.expire(deadlineMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            pending.cancel(false);
            throw new StoreException(ErrorCode.NOT_REACHED, "the watch was interrupted", e);
        } catch (ExecutionException e) {
            throw new StoreException(ErrorCode.NOT_REACHED, "the watch failed", e);
        }
        if (!pending.isDone()) {
            pending.cancel(false);
            checkOpen();
        }
        return StoreMessages.changes(pending.join());
    }

    @Override
    public Lease acquire(String name, String owner, Duration ttl) throws StoreException {
        return StoreMessages.lease(apply(StoreMessages.acquire(name, owner, ttl)));
    }

    @Override
    public void renew(Lease lease) throws StoreException {
        StoreMessages.version(apply(StoreMessages.renew(lease)));
    }

    @Override
    public void release(Lease lease) throws StoreException {
        StoreMessages.version(apply(StoreMessages.release(lease)));
    }

    /** Ends the leases that have expired by now; watches on their keys return the deletions. */
    public void tick() throws StoreException {
        StoreMessages.version(apply(StoreMessages.tick()));
    }

    /** Ends all waiting calls and rejects new ones with NOT_REACHED. */
    @Override
    public void close() {
        closed.complete(null);
    }

    private Reply apply(Command command) throws StoreException {
        checkOpen();
        StoreState current;
        Reply reply;
        synchronized (this) {
            CommandResult result =
                    stateMachine.apply(state, StoreMessages.withClock(command, clockMs.getAsLong()), state.index() + 1);
            state = result.state();
            current = state;
            reply = result.reply();
        }
        watches.onChange(current);
        return reply;
    }

    private Reply query(Query query) throws StoreException {
        checkOpen();
        synchronized (this) {
            return stateMachine.query(state, query);
        }
    }

    private void checkOpen() throws StoreException {
        if (closed.isDone()) {
            throw new StoreException(ErrorCode.NOT_REACHED, "the in-memory store is closed");
        }
    }
}
