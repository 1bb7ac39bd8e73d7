package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests a full disk of the leader during a change: the replica reports it and steps down, another one continues, and
 * the first rejoins once there is space.
 */
@Tag("long")
class DiskFullIT extends FleetIT {
    private interface DiskAction {
        void apply(String replica) throws IOException, InterruptedException;
    }

    private void assertAnotherReplicaTakesOver(DiskAction fill, DiskAction freeSpace)
            throws IOException, InterruptedException {
        startChange();
        String leader = fleet.leader();
        markReplicas();
        fill.apply(leader);
        awaitReplicaLine(leader, "disk: full");
        awaitNewLeader(leader);
        assertChangeEnds("DONE", "v2");
        markReplicas();
        freeSpace.apply(leader);
        awaitReplicaLine(leader, "disk: well");
        awaitReplicaLine(leader, "follows");
        String next = fleet.leader();
        assertNotEquals(leader, next);
        fleet.replicas().get(next).kill(); // from here on the replica that rejoined is needed for a majority
        List<String> shown = fleet.call("show");
        assertTrue(shown.contains("phase: DONE"), shown.toString());
        assertInvariantsHold(1);
    }

    @Test
    void dataDirectoryIsFull() throws IOException, InterruptedException {
        assertAnotherReplicaTakesOver(
                replica -> {
                    Path link = Files.createSymbolicLink(fleet.data(replica).resolve("link"), Path.of("/dev/full"));
                    Files.move(link, fleet.data(replica).resolve("probe"), StandardCopyOption.REPLACE_EXISTING);
                },
                replica -> Files.delete(fleet.data(replica).resolve("probe")));
    }

    /** The write of the Raft log itself fails. */
    @Test
    void logWritesFail() throws IOException, InterruptedException {
        assertAnotherReplicaTakesOver(
                replica -> limitFileSize(replica, "1:"), replica -> limitFileSize(replica, "unlimited:"));
    }

    private void limitFileSize(String replica, String bytes) throws IOException, InterruptedException {
        long pid = fleet.replicas().get(replica).pid();
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", "" + pid, "--fsize=" + bytes)
                        .inheritIO()
                        .start()
                        .waitFor());
    }
}
