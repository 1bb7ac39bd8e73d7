package olivechute.error;

/** Trouble with the shared store, as its client sees it. */
public final class StoreException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public StoreException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** With what lies behind it. */
    public StoreException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
