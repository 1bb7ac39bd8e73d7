package olivechute.proxy;

/**
 * Limits the total size of the bodies of all open requests, in bytes; the size of each single body is limited
 * elsewhere. Used on the event loop.
 */
public final class BodyMemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    /** Creates a budget of {@code maxBytes} bytes. */
    public BodyMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves bytes; returns false if the budget would be exceeded. A body is always accepted while nothing else is
     * reserved.
     */
    public boolean tryReserve(int bytes) {
        if (reservedBytes > 0 && reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases bytes that were reserved. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
