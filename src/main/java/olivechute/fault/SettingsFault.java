package olivechute.fault;

/** Settings of a shared part that cannot be used. */
public final class SettingsFault extends FleetFault {
    private static final long serialVersionUID = 1;

    /** {@code what}: the thing that it happened to and how, as a clause. */
    public SettingsFault(FaultKind kind, String what) {
        this(kind, what, null);
    }

    /** With what lies behind it. */
    public SettingsFault(FaultKind kind, String what, Throwable cause) {
        super(kind, what, cause);
    }
}
