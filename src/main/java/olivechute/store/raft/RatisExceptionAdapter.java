package olivechute.store.raft;

import java.io.IOException;
import olivechute.error.FleetException;

/** A fault of ours on its way through the library, which lets only this type by. */
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

    /** The fault somewhere behind a throwable, null where there is none. */
    static FleetException findFault(Throwable thrown) {
        for (Throwable each = thrown; each != null; each = each.getCause()) {
            if (each instanceof RatisExceptionAdapter adapter) {
                return adapter.fault;
            }
        }
        return null;
    }
}
