package olivechute.config;

/** Thrown for a missing or invalid configuration value; the message begins with its key. */
public class InvalidValueException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidValueException(String message) {
        super(message);
    }
}
