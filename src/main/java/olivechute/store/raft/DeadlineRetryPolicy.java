package olivechute.store.raft;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import org.apache.ratis.protocol.exceptions.LeaderNotReadyException;
import org.apache.ratis.protocol.exceptions.NotLeaderException;
import org.apache.ratis.protocol.exceptions.ReadIndexException;
import org.apache.ratis.retry.RetryPolicy;

/**
 * Retry policy of the Raft client: retries until the time-out of the call on this thread, with short random pauses. For
 * the blocking client API only, which consults the policy on the caller's thread.
 */
final class DeadlineRetryPolicy implements RetryPolicy {
    private static final int MIN_PAUSE_MS = 20;
    private static final int MAX_PAUSE_MS = 120;

    private static final class Call {
        long deadlineNs;
        boolean replicaAnswered;
    }

    private static final ThreadLocal<Call> CALL = ThreadLocal.withInitial(Call::new);

    private final long attemptMs;

    /**
     * Creates a policy; {@code attemptMs} is the time-out of one attempt. No attempt starts that could end after the
     * call's deadline.
     */
    DeadlineRetryPolicy(long attemptMs) {
        this.attemptMs = attemptMs;
    }

    /** Starts a call on this thread; must precede the request. */
    static void startCall(Duration timeout) {
        Call call = CALL.get();
        call.deadlineNs = System.nanoTime() + timeout.toNanos();
        call.replicaAnswered = false;
    }

    @Override
    public Action handleAttemptFailure(Event event) {
        Call call = CALL.get();
        Throwable cause = event.getCause();
        // A replica answered, but it knew of no leader that is ready.
        call.replicaAnswered |= cause == null
                || cause instanceof NotLeaderException
                || cause instanceof LeaderNotReadyException
                || cause instanceof ReadIndexException;
        long pauseMs = ThreadLocalRandom.current().nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS);
        boolean pastDeadline = System.nanoTime() + (pauseMs + attemptMs) * 1_000_000 - call.deadlineNs >= 0;
        return pastDeadline ? NO_RETRY_ACTION : () -> RatisConfiguration.millis(pauseMs);
    }

    /**
     * Returns the exception for a call that got no result in its time-out: NO_MAJORITY if a replica answered, otherwise
     * NOT_REACHED.
     */
    static StoreException toStoreException(IOException lastFailure) {
        boolean replicaAnswered = CALL.get().replicaAnswered;
        return replicaAnswered
                ? new StoreException(
                        ErrorCode.NO_MAJORITY, "no leader could be reached: " + lastFailure.getMessage(), lastFailure)
                : new StoreException(
                        ErrorCode.NOT_REACHED, "no replica answered: " + lastFailure.getMessage(), lastFailure);
    }
}
