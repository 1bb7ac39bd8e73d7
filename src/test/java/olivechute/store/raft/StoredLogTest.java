package olivechute.store.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import olivechute.rig.Ports;
import olivechute.store.ReplicaAddress;
import olivechute.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests compatibility with the data directory that an earlier build left behind, in store-folder.zip. Its log has three
 * writes, none of which is in a snapshot. A replica of this build must start on it, serve the writes acknowledged then
 * and accept further ones.
 */
class StoredLogTest {
    @TempDir
    private Path dataDirectory;

    private void unzipDataDirectory() throws IOException {
        try (InputStream in = StoredLogTest.class.getResourceAsStream("/store-folder.zip");
                ZipInputStream zip = new ZipInputStream(in)) {
            for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry()) {
                Path file = dataDirectory.resolve(entry.getName()).normalize();
                assertTrue(file.startsWith(dataDirectory), entry.getName());
                if (entry.isDirectory()) {
                    Files.createDirectories(file);
                } else {
                    Files.createDirectories(file.getParent());
                    Files.write(file, zip.readAllBytes());
                }
            }
        }
    }

    @Test
    void replicaServesDataOfEarlierBuild() throws Exception {
        unzipDataDirectory();
        String address = Ports.hostAndPort(Ports.free());
        ReplicaSettings settings = ReplicaSettings.parse(
                "id = r0, folder = \"" + dataDirectory + "\", replicas = [{ id = r0, address = \"" + address + "\" }]");
        try (Replica replica = new Replica(settings, line -> {});
                RatisStore store =
                        RatisStore.connect(List.of(new ReplicaAddress("r0", address)), Duration.ofSeconds(20))) {
            replica.start();
            assertArrayEquals(
                    "v1".getBytes(StandardCharsets.UTF_8),
                    store.get("base").orElseThrow().value());
            assertArrayEquals(
                    "two".getBytes(StandardCharsets.UTF_8),
                    store.get("order/n1").orElseThrow().value());
            assertTrue(store.get("gone").isEmpty());
            long version =
                    store.write(List.of(Store.Write.put("base", "v2".getBytes(StandardCharsets.UTF_8))), List.of());
            assertEquals(version, store.get("base").orElseThrow().version());
        }
    }
}
