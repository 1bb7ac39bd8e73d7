package olivechute.upstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import olivechute.net.Connection;

/** Creates connections to endpoints, not connected yet. */
public interface Connector {
    /** Plain TCP, without authentication of the endpoint. */
    Connector PLAINTEXT = endpoint -> new Connection(SocketChannel.open());

    /** Creates a connection that is to be connected to the endpoint of this name and to no other. */
    Connection createUnconnected(String endpoint) throws IOException;
}
