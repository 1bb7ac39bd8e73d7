package olivechute.rig;

/**
 * The faults of one direction of a link, shared by all its connections; a change also applies to data that waits to be
 * forwarded. Thread-safe.
 */
final class LinkFaults {
    private static final long NS_PER_SECOND = 1_000_000_000;

    private boolean partitioned;
    private long delayNs;
    private int maxBytesPerSecond; // 0 for no limit

    synchronized void partitioned(boolean now) {
        partitioned = now;
        notifyAll();
    }

    synchronized boolean isCut() {
        return partitioned;
    }

    synchronized void delayNs(long nanos) {
        delayNs = nanos;
        notifyAll();
    }

    synchronized void maxBytesPerSecond(int bytesPerSecond) {
        maxBytesPerSecond = bytesPerSecond;
        notifyAll();
    }

    synchronized void heal() {
        partitioned = false;
        delayNs = 0;
        maxBytesPerSecond = 0;
        notifyAll();
    }

    synchronized void awaitOpen() throws InterruptedException {
        while (partitioned) {
            wait();
        }
    }

    /**
     * Waits until bytes that were received at {@code receivedAtNs} may be forwarded, given the time and size of the
     * last forwarded bytes; times are those of {@link System#nanoTime}.
     */
    synchronized void awaitPass(long receivedAtNs, long lastForwardedNs, int lastBytes) throws InterruptedException {
        for (; ; ) {
            long due = Math.max(
                    receivedAtNs + delayNs,
                    maxBytesPerSecond == 0
                            ? Long.MIN_VALUE
                            : lastForwardedNs + lastBytes * NS_PER_SECOND / maxBytesPerSecond);
            long left = due - System.nanoTime();
            if (partitioned) {
                wait();
            } else if (left > 0) {
                wait(left / 1_000_000, (int) (left % 1_000_000));
            } else {
                return;
            }
        }
    }

    /** Returns how many bytes to forward at once: at most those of a twentieth of a second. */
    synchronized int maxChunk(int offered) {
        return maxBytesPerSecond == 0 ? offered : Math.min(offered, Math.max(1, maxBytesPerSecond / 20));
    }
}
