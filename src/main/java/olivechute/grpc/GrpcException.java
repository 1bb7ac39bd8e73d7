package olivechute.grpc;

/** A violation of the protocol by the peer, or of a limit by either side; the connection must be closed. */
public final class GrpcException extends Exception {
    private static final long serialVersionUID = 1L;

    GrpcException(String text) {
        super(text, null, false, false);
    }
}
