package olivechute.store.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import olivechute.store.Store;
import olivechute.store.Store.Write;
import org.junit.jupiter.api.Test;

/**
 * Tests that a replica with a full disk leaves the group, that the others keep serving, and that it rejoins on
 * recovery.
 */
class DiskTroubleIT {
    private static final String SMALL_LIMITS =
            "bounds { total_mb = 1, value_kb = 64 }, log { segment_mb = 1, snapshot_mb = 1 }";

    private interface GroupAction {
        void run(StoreGroup group, int leader) throws Exception;
    }

    /**
     * Causes a disk fault on the leader and clears it again; the replica is then needed for a majority, and must have
     * every acknowledged write.
     */
    private static void assertLeaderLeavesAndReturns(String settings, GroupAction causeFault, GroupAction clearFault)
            throws Exception {
        try (StoreGroup group = StoreGroup.startGroup(3, settings);
                Store store = group.client(Duration.ofSeconds(10))) {
            int leader = group.awaitLeader(0);
            write(store, "before");
            int mark = group.lineCount();
            causeFault.run(group, leader);
            group.awaitLine(mark, leader, "replica r" + leader + " disk: full");
            int nextLeader = group.awaitLeader(mark);
            assertNotEquals(leader, nextLeader);
            write(store, "without");
            mark = group.lineCount();
            clearFault.run(group, leader);
            group.awaitLine(mark, leader, "replica r" + leader + " disk: well");
            group.awaitLine(mark, leader, "replica r" + leader + " follows");
            group.kill(3 - leader - nextLeader);
            write(store, "with");
            for (String each : List.of("before", "without", "with")) {
                assertEquals(each, new String(store.get(each).orElseThrow().value(), StandardCharsets.UTF_8));
            }
        }
    }

    private static void write(Store store, String key) throws Exception {
        store.write(List.of(Write.put(key, key.getBytes(StandardCharsets.UTF_8))), List.of());
    }

    @Test
    void dataDirectoryOverQuota() throws Exception {
        assertLeaderLeavesAndReturns(
                SMALL_LIMITS + ", quota_mb = 32",
                (group, lead) -> {
                    try (RandomAccessFile filler = new RandomAccessFile(
                            group.dataDirectory(lead).resolve("filler").toFile(), "rw")) {
                        filler.setLength(32 << 20);
                    }
                },
                (group, lead) -> Files.delete(group.dataDirectory(lead).resolve("filler")));
    }

    @Test
    void fullDisk() throws Exception {
        assertLeaderLeavesAndReturns(
                SMALL_LIMITS,
                (group, lead) -> {
                    Path link =
                            Files.createSymbolicLink(group.dataDirectory(lead).resolve("link"), Path.of("/dev/full"));
                    Files.move(
                            link,
                            group.dataDirectory(lead).resolve("probe"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                },
                (group, lead) -> Files.delete(group.dataDirectory(lead).resolve("probe")));
    }

    /** Limits the size of all files of the running process, so that the log's own write fails. */
    @Test
    void fileSizeLimit() throws Exception {
        assertLeaderLeavesAndReturns(
                SMALL_LIMITS,
                (group, lead) -> setFileSizeLimit(group.pid(lead), "1:"),
                (group, lead) -> setFileSizeLimit(group.pid(lead), "unlimited:"));
    }

    private static void setFileSizeLimit(long pid, String bytes) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", "" + pid, "--fsize=" + bytes)
                        .inheritIO()
                        .start()
                        .waitFor());
    }
}
