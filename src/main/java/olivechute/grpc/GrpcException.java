package olivechute.grpc;

/** The peer does not keep to the protocol, or goes beyond a bound; the connection is over. */
public final class GrpcException extends Exception {
    private static final long serialVersionUID = 1L;

    GrpcException(String text) {
        super(text, null, false, false);
    }
}
