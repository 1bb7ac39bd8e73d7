package olivechute.proxy;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A lock that nobody waits for: one thread at a time holds the turn and does what all have asked for. A thread that
 * requests the turn while another holds it leaves its request behind, and the holder looks once more for what is to be
 * done. The holder sees each request before it can release the turn.
 */
final class DelegatingLock {
    private final AtomicInteger pendingRequests = new AtomicInteger();

    /** Requests the turn; true if the caller holds it from now on and must release it. */
    boolean tryAcquireOrDelegate() {
        return pendingRequests.getAndIncrement() == 0;
    }

    /** The requests that the holder has to serve; it reads this before it looks for what is to be done. */
    int pendingRequests() {
        return pendingRequests.get();
    }

    /** The holder has served so many requests; false if there are others, and then it still holds the turn. */
    boolean tryRelease(int servedRequests) {
        return pendingRequests.addAndGet(-servedRequests) == 0;
    }
}
