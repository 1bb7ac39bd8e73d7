package olivechute.store.raft;

import java.io.IOException;
import olivechute.error.FleetException;

/** Carries an exception of this project through the Ratis library, which only passes on {@link IOException}. */
final class RatisExceptionAdapter extends IOException {
    private static final long serialVersionUID = 1;

    private final FleetException fault;

    RatisExceptionAdapter(FleetException fault) {
        super(fault.getMessage(), fault);
        this.fault = fault;
    }

    FleetException fault() {
        return fault;
    }

    /** Returns the exception carried in the cause chain of a throwable, or null if there is none. */
    static FleetException findFault(Throwable thrown) {
        for (Throwable each = thrown; each != null; each = each.getCause()) {
            if (each instanceof RatisExceptionAdapter adapter) {
                return adapter.fault;
            }
        }
        return null;
    }
}
