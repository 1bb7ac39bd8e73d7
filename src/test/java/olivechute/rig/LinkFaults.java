package olivechute.rig;

/** The faults of one way of a link, for all its connections; a change of them takes effect on what waits. */
final class LinkFaults {
    private static final long NS_PER_SECOND = 1_000_000_000;

    private boolean partitioned;
    private long delayNs; // ns
    private int rate; // bytes a second, 0 for any

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

    synchronized void rate(int bytesPerSecond) {
        rate = bytesPerSecond;
        notifyAll();
    }

    synchronized void heal() {
        partitioned = false;
        delayNs = 0;
        rate = 0;
        notifyAll();
    }

    synchronized void awaitOpen() throws InterruptedException {
        while (partitioned) {
            wait();
        }
    }

    /**
     * Waits until bytes that came at this moment may pass, the last ones having passed then; times of
     * {@link System#nanoTime}.
     */
    synchronized void awaitPass(long came, long lastPassed, int lastBytes) throws InterruptedException {
        for (; ; ) {
            long due = Math.max(
                    came + delayNs, rate == 0 ? Long.MIN_VALUE : lastPassed + lastBytes * NS_PER_SECOND / rate);
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

    /** The most bytes to let pass at once: a twentieth of a second's. */
    synchronized int maxChunk(int offered) {
        return rate == 0 ? offered : Math.min(offered, Math.max(1, rate / 20));
    }
}
