package olivechute.error;

/** An error of a node that a supervisor runs. */
public final class SupervisionException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code subject}: what the error happened to and how, as a clause. */
    public SupervisionException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** As above, with the underlying cause. */
    public SupervisionException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
