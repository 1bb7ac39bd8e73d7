package olivechute.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Allocates loopback ports to servers that bind them later, mostly in processes that a test starts. All lie below the
 * range from which Linux assigns ports by default (32768-60999): until its server binds it, a port of that range can go
 * to any socket bound to port 0 and to any outgoing connection. No port is allocated twice in a virtual machine, nor in
 * two virtual machines that run at the same time.
 */
public final class Ports {
    private static final int FIRST_PORT = 12_000;
    private static final int BLOCKS = 40; // up to port 31999
    private static final int PORTS_PER_BLOCK = 500; // one virtual machine with all integration tests takes about 220

    /** Hold the first port of each block of this virtual machine, so that no other one allocates from the block. */
    private static final List<ServerSocket> BLOCK_LOCKS = new ArrayList<>();

    private static int nextPort;
    private static int blockEnd;

    private Ports() {}

    /** Returns the address of a port that no socket has at the moment. */
    public static synchronized InetSocketAddress free() {
        for (; ; ) {
            if (nextPort == blockEnd) {
                claimBlock();
            }
            try (ServerSocket free = bind(nextPort++)) {
                return (InetSocketAddress) free.getLocalSocketAddress();
            } catch (IOException inUse) {
                // tries the next port
            }
        }
    }

    /** Starts at a block that depends on the process id, as processes of an earlier run may still use theirs. */
    private static void claimBlock() {
        int start = (int) (ProcessHandle.current().pid() % BLOCKS);
        IOException lastFailure = null;
        for (int i = 0; i < BLOCKS; i++) {
            int first = FIRST_PORT + (start + i) % BLOCKS * PORTS_PER_BLOCK;
            try {
                BLOCK_LOCKS.add(bind(first));
                nextPort = first + 1;
                blockEnd = first + PORTS_PER_BLOCK;
                return;
            } catch (IOException claimed) {
                lastFailure = claimed;
            }
        }
        throw new TestSetupException("no free port", lastFailure);
    }

    /**
     * Fails if any socket has the port, even one in TIME_WAIT: SO_REUSEADDR is off, which is not the default on Linux.
     */
    private static ServerSocket bind(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns an address in the form used in settings. */
    public static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
