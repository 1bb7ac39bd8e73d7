package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that allocated ports are distinct, free and below the range from which the system assigns ports. */
class PortsTest {
    private static final Path SYSTEM_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int MORE_THAN_A_BLOCK = 600;

    @Test
    void portsAreDistinctAndFreeAndBelowTheSystemsRange() throws IOException {
        String range = Files.readAllLines(SYSTEM_RANGE).get(0);
        int rangeStart = Integer.parseInt(range.split("\\s+")[0]);
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        for (int i = 0; i < MORE_THAN_A_BLOCK; i++) {
            InetSocketAddress address = Ports.free();
            assertTrue(addresses.add(address), address + " twice");
            assertTrue(address.getPort() < rangeStart, address + " is in the range from " + rangeStart);
        }
        for (InetSocketAddress address : addresses) {
            try (ServerSocket server = new ServerSocket()) {
                server.bind(address);
            }
        }
    }

    @Test
    void portInUseIsNotAllocated() throws IOException {
        int next = Ports.free().getPort() + 1;
        try (ServerSocket other = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
            assertNotEquals(other.getLocalPort(), Ports.free().getPort());
        }
    }
}
