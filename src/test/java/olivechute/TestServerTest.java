package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the addresses of {@link TestServer}. */
public class TestServerTest {
    private static final long MAX_PROCESS_IDS = 1L << 22;

    /**
     * The system reuses a closed server's port after a few thousand others at the latest, while a node of an earlier
     * test may still connect to it.
     */
    @Test
    public void portsAreNeverReused() throws Exception {
        Set<String> addresses = new HashSet<>();
        for (int i = 0; i < 1500; i++) {
            try (TestServer peer = new TestServer(r -> null)) {
                assertTrue(addresses.add(peer.hostAndPort()), "server number " + i);
            }
        }
    }

    /** Nodes of another test run on the same machine connect to the servers of that run. */
    @Test
    public void eachProcessHasItsOwnAddress() throws Exception {
        Set<InetAddress> addresses = new HashSet<>();
        for (long processId : new long[] {1, 255, 256, 65_535, 65_536, 65_537, MAX_PROCESS_IDS - 1}) {
            InetAddress address = TestServer.loopbackAddressFor(processId);
            assertTrue(address.isLoopbackAddress());
            assertTrue(addresses.add(address), "process " + processId);
        }
        try (TestServer peer = new TestServer(r -> null)) {
            assertEquals(
                    peer.address().getAddress(),
                    TestServer.loopbackAddressFor(ProcessHandle.current().pid()));
        }
    }
}
