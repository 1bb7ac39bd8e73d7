package olivechute.tls;

/**
 * A fatal TLS fault: the connection cannot continue. The driver still sends what {@link TlsStateMachine#toSend} holds,
 * which is at most an alert.
 */
public final class TlsException extends Exception {
    private static final long serialVersionUID = 1L;

    TlsException(String text) {
        super(text, null, false, false);
    }
}
