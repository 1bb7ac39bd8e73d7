package olivechute.error;

/** Trouble among the processes of a fleet. Each names its kind, and its message ends with what an operator can do. */
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

    /** Which kind of trouble. */
    public ErrorCode code() {
        return code;
    }

    /** What it happened to, without the kind's own words. */
    public String subject() {
        return subject;
    }
}
