package olivechute.rig;

/**
 * Thrown if the test harness could not do what a test requested, or an awaited event did not occur; the message says
 * what was observed instead.
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
