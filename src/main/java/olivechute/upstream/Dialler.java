package olivechute.upstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import olivechute.net.Link;

/** Makes the connections to upstream hosts. */
public interface Dialler {
    /** Plain TCP to whoever answers. */
    Dialler PLAIN = host -> new Link(SocketChannel.open());

    /** One to be dialled, to the host of this name and to nobody else. */
    Link unconnected(String host) throws IOException;
}
