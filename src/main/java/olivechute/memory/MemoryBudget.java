package olivechute.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Limits the heap memory that peers make the node hold, in bytes, over all connections: messages that are received or
 * queued, and responses that are not written yet. Memory is reserved before it is allocated. Each {@link Tier} may only
 * use up to a part of the budget, so that peers of which nothing is known leave memory for the others. Waiting
 * reservations are granted in order, higher tiers first. Thread-safe.
 */
public final class MemoryBudget {
    /** Who memory is reserved for. A tier may use the budget up to its limit, whoever has reserved the rest. */
    public enum Tier {
        /** A peer that has not yet sent a complete valid message on its connection. */
        NEW_PEER(5),
        /**
         * The same, where the message claims to be a job status event, for which open requests wait, or the peer is
         * still in its handshake.
         */
        NEW_ENDPOINT(6),
        /** A peer that has sent a complete valid message on its connection. */
        KNOWN_PEER(7),
        /** A peer that has sent a valid job status event on its connection, or an endpoint that was connected to. */
        KNOWN_ENDPOINT(8);

        private static final int PARTS = 8;

        private final int parts;

        Tier(int parts) {
            this.parts = parts;
        }

        private long limit(long maxBytes) {
            return maxBytes / PARTS * parts;
        }
    }

    private static final class Waiter {
        private final int bytes;
        private boolean granted; // guarded by the waiter's monitor

        private Waiter(int bytes) {
            this.bytes = bytes;
        }
    }

    private final long maxBytes;
    private final List<ArrayDeque<Waiter>> waitersByTier = new ArrayList<>(); // guarded by this, like the field below
    private long reservedBytes;

    /** Creates a budget of {@code maxBytes} bytes. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
        for (int i = 0; i < Tier.values().length; i++) {
            waitersByTier.add(new ArrayDeque<>(0));
        }
    }

    /** Creates a budget that grants every reservation. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE);
    }

    /** Reserves bytes without waiting; returns false if the tier's limit would be exceeded. */
    public synchronized boolean tryReserve(int bytes, Tier tier) {
        if (!waitersByTier.get(tier.ordinal()).isEmpty() || !fits(bytes, tier)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves bytes, waiting for at most {@code timeoutMillis}; returns false if they do not become available. */
    public boolean reserve(int bytes, Tier tier, long timeoutMillis) throws InterruptedException {
        Waiter waiter;
        synchronized (this) {
            if (tryReserve(bytes, tier)) {
                return true;
            }
            waiter = new Waiter(bytes);
            waitersByTier.get(tier.ordinal()).add(waiter);
        }
        try {
            awaitGrant(waiter, timeoutMillis);
        } finally {
            withdraw(waiter, tier);
        }
        synchronized (waiter) {
            return waiter.granted;
        }
    }

    private static void awaitGrant(Waiter waiter, long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        synchronized (waiter) {
            for (long remaining = timeoutMillis;
                    remaining > 0 && !waiter.granted;
                    remaining = (deadlineNanos - System.nanoTime()) / 1_000_000) {
                waiter.wait(remaining);
            }
        }
    }

    /** Removes a waiter that was not granted; those behind it may need less. */
    private synchronized void withdraw(Waiter waiter, Tier tier) {
        if (waitersByTier.get(tier.ordinal()).remove(waiter)) {
            grantWaiters();
        }
    }

    /**
     * Reserves bytes whatever the limits are: for memory that is already held or that takes the place of other reserved
     * memory.
     */
    public synchronized void add(int bytes) {
        reservedBytes += bytes;
    }

    /** Releases bytes that were reserved. */
    public synchronized void release(int bytes) {
        reservedBytes -= bytes;
        grantWaiters();
    }

    /** Returns the number of bytes that are reserved now. */
    public synchronized long reservedBytes() {
        return reservedBytes;
    }

    private boolean fits(int bytes, Tier tier) {
        return reservedBytes + bytes <= tier.limit(maxBytes);
    }

    private void grantWaiters() {
        Tier[] tiers = Tier.values();
        for (int i = tiers.length - 1; i >= 0; i--) {
            ArrayDeque<Waiter> waiters = waitersByTier.get(i);
            while (!waiters.isEmpty() && fits(waiters.peek().bytes, tiers[i])) {
                Waiter waiter = waiters.poll();
                reservedBytes += waiter.bytes;
                synchronized (waiter) {
                    waiter.granted = true;
                    waiter.notifyAll();
                }
            }
        }
    }
}
