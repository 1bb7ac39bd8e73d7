package olivechute.fault;

/** Trouble with a node that a supervisor runs. */
public final class SupervisionFault extends FleetFault {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public SupervisionFault(FaultKind kind, String what) {
        this(kind, what, null);
    }

    /** With what lies behind it. */
    public SupervisionFault(FaultKind kind, String what, Throwable cause) {
        super(kind, what, cause);
    }
}
