package olivechute.error;

/** An error of a replica's data folder or disk. */
public final class DiskException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code subject}: what the error happened to and how, as a clause. */
    public DiskException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** As above, with the underlying cause. */
    public DiskException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
