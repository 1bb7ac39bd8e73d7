package olivechute.store.raft;

import java.io.IOException;
import olivechute.error.FleetException;

/** Carries an exception of this project through the Ratis library, which only passes on {@link IOException}. */
final class RatisExceptionAdapter extends IOException {
    private static final long serialVersionUID = 1;

    private final FleetException exception;

    RatisExceptionAdapter(FleetException exception) {
        super(exception.getMessage(), exception);
        this.exception = exception;
    }

    FleetException exception() {
        return exception;
    }

    /** Returns the exception carried in the cause chain of a throwable, or null if there is none. */
    static FleetException findException(Throwable thrown) {
        for (Throwable each = thrown; each != null; each = each.getCause()) {
            if (each instanceof RatisExceptionAdapter adapter) {
                return adapter.exception;
            }
        }
        return null;
    }
}
