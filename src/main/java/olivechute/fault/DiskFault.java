package olivechute.fault;

/** Trouble with a replica's folder or disk. */
public final class DiskFault extends FleetFault {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public DiskFault(FaultKind kind, String what) {
        this(kind, what, null);
    }

    /** With what lies behind it. */
    public DiskFault(FaultKind kind, String what, Throwable cause) {
        super(kind, what, cause);
    }
}
