package olivechute.error;

/** Trouble with a replica's folder or disk. */
public final class DiskException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public DiskException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** With what lies behind it. */
    public DiskException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
