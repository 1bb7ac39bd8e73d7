package olivechute.security;

import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Rate-limited log of rejected peers: a rejected peer may reconnect as often as it likes and must not flood the log.
 * Safe for use by any thread.
 */
final class RejectionLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    /** The current second in the upper 32 bits, the number of lines logged in it in the lower 32. */
    private static final AtomicLong LOGGED = new AtomicLong();

    private static final AtomicLong SUPPRESSED = new AtomicLong();

    private RejectionLog() {}

    /**
     * Logs which peer was rejected and why, unless the limit of this second is reached. The next line then gives the
     * number of suppressed ones.
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
