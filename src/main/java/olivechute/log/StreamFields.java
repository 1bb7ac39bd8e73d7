package olivechute.log;

import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/** Lines about one stream, with what they are about in fields of their own: stream, host, attempt and outcome. */
public final class StreamFields {
    private StreamFields() { }

    /** True if ends of upstream requests are logged; asked first, as this comes with every one of them. */
    public static boolean wanted() {
        return Logger.isDebugEnabled();
    }

    /** An upstream request ended; {@code took} is microseconds from its sending. */
    public static void ended(String stream, String host, int attempt, String outcome, long took) {
        ThreadContext.put("stream", stream);
        ThreadContext.put("host", host);
        ThreadContext.put("attempt", String.valueOf(attempt));
        ThreadContext.put("outcome", outcome);
        ThreadContext.put("took_us", String.valueOf(took));
        Logger.debug("stream {} attempt {} at {}: {} after {} us", stream, attempt, host, outcome, took);
        ThreadContext.clear();
    }

    /** A stream's deadline came before an answer. */
    public static void unanswered(String stream) {
        ThreadContext.put("stream", stream);
        Logger.warn("stream {} reached its deadline unanswered", stream);
        ThreadContext.clear();
    }
}
