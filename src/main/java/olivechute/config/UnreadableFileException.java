package olivechute.config;

/** A file that is there could not be read, which may pass; what it says is not known. */
public final class UnreadableFileException extends InvalidValueException {
    private static final long serialVersionUID = 1L;

    UnreadableFileException(String message) {
        super(message);
    }
}
