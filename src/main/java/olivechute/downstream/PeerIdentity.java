package olivechute.downstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import olivechute.http.HttpRequest;
import olivechute.net.Connection;

/** Who is on a downstream connection, and what that lets it do. */
public interface PeerIdentity {
    /** Where nobody shows who it is, nobody is asked. */
    PeerIdentity UNRESTRICTED = new PeerIdentity() {
        @Override
        public Rejection checkRequest(HttpRequest message, String tenant) {
            return null;
        }

        @Override
        public boolean mayReportJobStatus(String host) {
            return true;
        }
    };

    /** A local reply in place of a stream. */
    record Rejection(int status, String text) {}

    /** Null if a job of this tenant may be handed in by this message; a tenant is null where none is named. */
    Rejection checkRequest(HttpRequest message, String tenant);

    /** True if it may tell what becomes of jobs at the upstream host of this name. */
    boolean mayReportJobStatus(String endpoint);

    /** Lets connections in at one listener. */
    interface Authenticator {
        /** Whoever comes, in plain TCP. */
        Authenticator PLAINTEXT = new Authenticator() {
            @Override
            public PeerIdentity authenticate(Connection link) {
                return UNRESTRICTED;
            }
        };

        /** What is spoken on an accepted connection; plain TCP if nothing else is said. */
        default Connection createTransport(SocketChannel accepted) {
            return new Connection(accepted);
        }

        /** Who that is, once the link is ready; an {@link IOException} says why nobody who may come in. */
        PeerIdentity authenticate(Connection transport) throws IOException;
    }
}
