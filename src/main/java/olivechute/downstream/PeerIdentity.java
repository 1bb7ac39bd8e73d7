package olivechute.downstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import olivechute.http.HttpRequest;
import olivechute.net.Connection;

/**
 * The identity of the peer on a downstream connection, and what it is authorized to do. Used by the connection's reader
 * thread.
 */
public interface PeerIdentity {
    /** Authorizes everything, for listeners without authentication. */
    PeerIdentity UNRESTRICTED = new PeerIdentity() {
        @Override
        public Rejection checkRequest(HttpRequest message, String tenant) {
            return null;
        }

        @Override
        public boolean mayReportJobStatus(String endpoint) {
            return true;
        }
    };

    /** The local reply to a request that is not authorized. */
    record Rejection(int status, String text) {}

    /**
     * Returns null if the peer may send this request of this tenant, which is null if the request names none; otherwise
     * the reply.
     */
    Rejection checkRequest(HttpRequest message, String tenant);

    /** True if the peer may send job status events of this endpoint. */
    boolean mayReportJobStatus(String endpoint);

    /** Secures and authenticates the connections of one listener. */
    interface Authenticator {
        /** Plain TCP for every client, without authentication. */
        Authenticator PLAINTEXT = new Authenticator() {
            @Override
            public PeerIdentity authenticate(Connection transport) {
                return UNRESTRICTED;
            }
        };

        /** Wraps an accepted connection in the listener's transport; plain TCP by default. */
        default Connection createTransport(SocketChannel accepted) {
            return new Connection(accepted);
        }

        /**
         * Identifies the peer once the transport is initialized; an {@link IOException} gives the reason why the peer
         * may not connect.
         */
        PeerIdentity authenticate(Connection transport) throws IOException;
    }
}
