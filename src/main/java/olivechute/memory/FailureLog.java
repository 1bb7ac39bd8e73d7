package olivechute.memory;

import org.tinylog.Logger;

/**
 * Logs a failure of a thread that has to go on. Logging takes memory itself and may fail with the same error; that must
 * not end the thread either.
 */
public final class FailureLog {
    private FailureLog() {}

    /** Logs a failure if possible; never throws. */
    public static void log(Throwable failure, String message) {
        try {
            Logger.error(failure, message);
        } catch (RuntimeException | Error unlogged) {
            return; // nothing is left to report it with
        }
    }
}
