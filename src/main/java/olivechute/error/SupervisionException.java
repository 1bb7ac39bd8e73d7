package olivechute.error;

/** Trouble with a node that a supervisor runs. */
public final class SupervisionException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public SupervisionException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** With what lies behind it. */
    public SupervisionException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
