package olivechute.config;

/** Thrown if a file exists but cannot be read, which may be a transient error; its content is unknown. */
public final class UnreadableFileException extends InvalidValueException {
    private static final long serialVersionUID = 1L;

    UnreadableFileException(String message) {
        super(message);
    }
}
