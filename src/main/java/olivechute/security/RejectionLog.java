package olivechute.security;

import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/** Log lines on peers that were refused, so many a second: who is refused may come as often as it likes. */
final class RejectionLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    /** The second in the upper half, the lines logged in it in the lower. */
    private static final AtomicLong LOGGED = new AtomicLong();

    private static final AtomicLong SUPPRESSED = new AtomicLong();

    private RejectionLog() {}

    /**
     * Says who was refused and why, unless much was said this second; how many were passed over is said with the next.
     */
    static void log(Object subject, String reason) {
        long second = System.nanoTime() / 1_000_000_000L;
        long logged = LOGGED.updateAndGet(
                previous -> previous >>> 32 == (second & 0xffffffffL) ? previous + 1 : (second << 32) + 1);
        if ((logged & 0xffffffffL) > MAX_LINES_PER_SECOND) {
            SUPPRESSED.incrementAndGet();
            return;
        }
        long suppressed = SUPPRESSED.getAndSet(0);
        Logger.warn("refused {}: {}{}", subject, reason, suppressed == 0 ? "" : " (and " + suppressed + " more)");
    }
}
