package olivechute.error;

/** A change, or an order about one, that cannot be followed. */
public final class RolloutException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public RolloutException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** With what lies behind it. */
    public RolloutException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
