package olivechute.upstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import olivechute.net.Connection;

/** Makes the connections to upstream hosts. */
public interface Connector {
    /** Plain TCP to whoever answers. */
    Connector PLAINTEXT = endpoint -> new Connection(SocketChannel.open());

    /** One to be dialled, to the host of this name and to nobody else. */
    Connection createUnconnected(String endpoint) throws IOException;
}
