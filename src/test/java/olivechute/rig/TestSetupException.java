package olivechute.rig;

/**
 * The rig could not do what a test asked of it, or what it waited for did not come; the message says what was seen
 * instead.
 */
public final class TestSetupException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public TestSetupException(String what) {
        super(what);
    }

    public TestSetupException(String what, Throwable cause) {
        super(what + ": " + cause, cause);
    }
}
