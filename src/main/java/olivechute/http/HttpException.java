package olivechute.http;

/** A message that violates the protocol or its limits; {@code status} is the status of the response to it. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The status of the response if there is no memory to receive the message. */
    public static final int MEMORY_EXHAUSTED_STATUS = 503;

    public final int status;

    HttpException(int status, String text) {
        super(text, null, false, false);
        this.status = status;
    }
}
