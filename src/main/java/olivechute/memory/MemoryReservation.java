package olivechute.memory;

import java.util.function.IntConsumer;

/**
 * Reserved memory that passes from one holder to the next, such as the bytes of a request from the connection that
 * received it to the event loop. Released once, whoever releases it. Thread-safe.
 */
public final class MemoryReservation {
    /** Reserves nothing. */
    public static final MemoryReservation NONE = new MemoryReservation(bytes -> {}, 0);

    private final IntConsumer releaser;
    private int bytes; // guarded by this; 0 once released

    private MemoryReservation(IntConsumer releaser, int bytes) {
        this.releaser = releaser;
        this.bytes = bytes;
    }

    /** Takes over bytes that were reserved from an allowance, whose {@code release} must be thread-safe. */
    public static MemoryReservation of(MemoryAllowance allowance, int bytes) {
        return bytes == 0 ? NONE : new MemoryReservation(allowance::release, bytes);
    }

    /** Takes over reserved bytes; {@code releaser} releases them, on any thread. */
    public static MemoryReservation of(IntConsumer releaser, int bytes) {
        return bytes == 0 ? NONE : new MemoryReservation(releaser, bytes);
    }

    /** Releases the memory; no effect if it was released before. */
    public void release() {
        int released;
        synchronized (this) {
            released = bytes;
            bytes = 0;
        }
        if (released > 0) {
            releaser.accept(released);
        }
    }
}
