package olivechute.error;

/** An error of the shared store, as its client sees it. */
public final class StoreException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code subject}: what the error happened to and how, as a clause. */
    public StoreException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** As above, with the underlying cause. */
    public StoreException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
