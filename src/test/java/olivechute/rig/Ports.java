package olivechute.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Loopback ports that were free a moment ago; none is given twice in this virtual machine. */
public final class Ports {
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private Ports() {}

    /** One more, as an address. */
    public static synchronized InetSocketAddress free() {
        try {
            for (; ; ) {
                try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    if (USED_PORTS.add(socket.getLocalPort())) {
                        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
                    }
                }
            }
        } catch (IOException e) {
            throw new TestSetupException("no free port", e);
        }
    }

    /** As settings write it. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
