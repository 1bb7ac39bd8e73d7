package olivechute.error;

/** A change, or a command about one, that cannot be carried out. */
public final class RolloutException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code subject}: what the error happened to and how, as a clause. */
    public RolloutException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** As above, with the underlying cause. */
    public RolloutException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
