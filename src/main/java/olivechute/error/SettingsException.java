package olivechute.error;

/** Settings of a shared part that cannot be used. */
public final class SettingsException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public SettingsException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** With what lies behind it. */
    public SettingsException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
