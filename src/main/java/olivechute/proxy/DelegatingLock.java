package olivechute.proxy;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A lock that no thread waits for. One thread at a time holds it and does the work of all threads that requested it. A
 * thread that requests the lock while another holds it returns at once, and its request makes the holder check for work
 * once more. The holder sees every request before it can release the lock.
 */
final class DelegatingLock {
    private final AtomicInteger pendingRequests = new AtomicInteger();

    /**
     * Requests the lock; returns true if the caller now holds it and must release it, false if the current holder will
     * do the work.
     */
    boolean tryAcquireOrDelegate() {
        return pendingRequests.getAndIncrement() == 0;
    }

    /** Returns the number of requests that the holder has to serve. The holder reads it before it looks for work. */
    int pendingRequests() {
        return pendingRequests.get();
    }

    /**
     * Releases the lock after the holder has served {@code servedRequests} requests; returns false if there are further
     * requests, in which case the caller still holds the lock.
     */
    boolean tryRelease(int servedRequests) {
        return pendingRequests.addAndGet(-servedRequests) == 0;
    }
}
