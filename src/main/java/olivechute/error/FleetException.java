package olivechute.error;

/**
 * Base class of errors among the processes of a fleet. Each has an {@link ErrorCode}, and its message ends with what an
 * operator can do.
 */
public abstract sealed class FleetException extends Exception
        permits StoreException, DiskException, RolloutException, SupervisionException, SettingsException {
    private static final long serialVersionUID = 1;

    private final ErrorCode code;
    private final String subject;

    FleetException(ErrorCode code, String subject, Throwable cause) {
        super(code + ": " + subject + " (" + code.cause() + "). To do: " + code.remedy() + ".", cause);
        this.code = code;
        this.subject = subject;
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }

    /** Returns what the error happened to, without the texts of the error code. */
    public String subject() {
        return subject;
    }
}
