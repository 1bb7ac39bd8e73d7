package olivechute.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/** Allocates loopback ports that were free a moment ago; none is allocated twice in this virtual machine. */
public final class Ports {
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private Ports() {}

    /** Returns the address of a free port. */
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

    /** Returns an address in the form used in settings. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
