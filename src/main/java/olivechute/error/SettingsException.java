package olivechute.error;

/** Invalid settings of a replica, a supervisor or the rollout controller. */
public final class SettingsException extends FleetException {
    private static final long serialVersionUID = 1;

    /** {@code subject}: what the error happened to and how, as a clause. */
    public SettingsException(ErrorCode code, String subject) {
        this(code, subject, null);
    }

    /** As above, with the underlying cause. */
    public SettingsException(ErrorCode code, String subject, Throwable cause) {
        super(code, subject, cause);
    }
}
