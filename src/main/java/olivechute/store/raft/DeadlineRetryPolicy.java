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

/** Tries again until the time of the call on this thread is over, with short pauses of uneven length. */
final class DeadlineRetryPolicy implements RetryPolicy {
    private static final int MIN_PAUSE_MS = 20;
    private static final int MAX_PAUSE_MS = 120;

    private static final class Call {
        long deadlineNs;
        boolean replicaAnswered;
    }

    private static final ThreadLocal<Call> CALL = ThreadLocal.withInitial(Call::new);

    private final long attemptMs;

    /** {@code attemptMs}: longest that one attempt takes; none is begun that would end after the call's time. */
    DeadlineRetryPolicy(long attemptMs) {
        this.attemptMs = attemptMs;
    }

    /** A call begins on this thread. */
    static void startCall(Duration timeout) {
        Call call = CALL.get();
        call.deadlineNs = System.nanoTime() + timeout.toNanos();
        call.replicaAnswered = false;
    }

    @Override
    public Action handleAttemptFailure(Event event) {
        Call call = CALL.get();
        Throwable cause = event.getCause();
        // Somebody answered, and knew of none that leads.
        call.replicaAnswered |= cause == null
                || cause instanceof NotLeaderException
                || cause instanceof LeaderNotReadyException
                || cause instanceof ReadIndexException;
        long pauseMs = ThreadLocalRandom.current().nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS);
        boolean pastDeadline = System.nanoTime() + (pauseMs + attemptMs) * 1_000_000 - call.deadlineNs >= 0;
        return pastDeadline ? NO_RETRY_ACTION : () -> RatisConfiguration.millis(pauseMs);
    }

    /** What a call came to that found no answer in its time. */
    static StoreException toStoreException(IOException lastFailure) {
        boolean replicaAnswered = CALL.get().replicaAnswered;
        return replicaAnswered
                ? new StoreException(
                        ErrorCode.NO_MAJORITY,
                        "no replica leads that could be reached: " + lastFailure.getMessage(),
                        lastFailure)
                : new StoreException(
                        ErrorCode.NOT_REACHED, "no replica answered: " + lastFailure.getMessage(), lastFailure);
    }
}
