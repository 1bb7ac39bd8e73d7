package olivechute.config;

/** A value that is missing or wrong; the message begins with its key. */
public class InvalidValueException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidValueException(String message) {
        super(message);
    }
}
