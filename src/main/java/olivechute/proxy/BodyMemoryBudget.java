package olivechute.proxy;

/**
 * Bounds the bytes that the bodies of all open requests have in sum; each body is bounded by itself. On the event loop.
 */
public final class BodyMemoryBudget {
    private final long maxBytes;
    private long reservedBytes;

    /** Makes a budget of so many bytes. */
    public BodyMemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes; false if that would be too many. A single body always has its place. */
    public boolean tryReserve(int bytes) {
        if (reservedBytes > 0 && reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Gives back what was reserved. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }
}
