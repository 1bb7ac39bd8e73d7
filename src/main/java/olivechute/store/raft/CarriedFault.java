package olivechute.store.raft;

import java.io.IOException;
import olivechute.fault.FleetFault;

/** A fault of ours on its way through the library, which lets only this type by. */
final class CarriedFault extends IOException {
    private static final long serialVersionUID = 1;

    private final FleetFault fault;

    CarriedFault(FleetFault fault) {
        super(fault.getMessage(), fault);
        this.fault = fault;
    }

    FleetFault fault() {
        return fault;
    }

    /** The fault somewhere behind a throwable, null where there is none. */
    static FleetFault behind(Throwable thrown) {
        for (Throwable each = thrown; each != null; each = each.getCause()) {
            if (each instanceof CarriedFault carried) {
                return carried.fault;
            }
        }
        return null;
    }
}
