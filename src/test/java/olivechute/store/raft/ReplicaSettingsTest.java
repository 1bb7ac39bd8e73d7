package olivechute.store.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import org.junit.jupiter.api.Test;

/** Tests the defaults of the replica settings and the reporting of faults in them. */
class ReplicaSettingsTest {
    private static final String MINIMAL = "id = a, folder = f, replicas = [{ id = a, address = \"127.0.0.1:1\" }]";

    @Test
    void deployedFileHoldsDefaults() throws Exception {
        ReplicaSettings file = ReplicaSettings.load(Path.of("deploy/store.conf"));
        ReplicaSettings defaults = ReplicaSettings.parse(MINIMAL);
        assertEquals(
                new ReplicaSettings(
                        "",
                        "r1",
                        file.dataDirectory(),
                        file.replicas(),
                        defaults.quotaBytes(),
                        defaults.minElectionTimeout(),
                        defaults.maxElectionTimeout(),
                        defaults.snapshotEntries(),
                        defaults.snapshotBytes(),
                        defaults.segmentBytes(),
                        defaults.maxKeys(),
                        defaults.maxTotalBytes(),
                        defaults.maxValueBytes(),
                        defaults.maxLeases(),
                        defaults.maxWatches()),
                file);
        assertEquals(Duration.ofMillis(600), defaults.minElectionTimeout());
    }

    @Test
    void everyFaultIsReportedWithItsKey() {
        assertInvalid(MINIMAL + ", id = b", "id: must be one of the replicas");
        assertInvalid("folder = f, replicas = []", "id: missing", "replicas: must name");
        assertInvalid(MINIMAL + ", election { least = 2s }", "election.most: must be longer");
        assertInvalid(MINIMAL + ", quota_mb = 50", "quota_mb: must be at least 88");
        assertInvalid(
                MINIMAL + ", log { segment_mb = 99 }, bounds { key = 1 }", "log.segment_mb", "bounds.key: unknown key");
        assertInvalid(
                "id = a, folder = f, replicas = [{ id = a, address = here }, { id = a, address = \"127.0.0.1:2\" }]",
                "replicas[0].address",
                "replicas[1].id: each replica");
        assertInvalid(
                "id = \"a b\", folder = f, replicas = [{ id = a, address = \"127.0.0.1:1\" }]", "id: must be letters");
    }

    private static void assertInvalid(String text, String... expectedTexts) {
        SettingsException fault = assertThrows(SettingsException.class, () -> ReplicaSettings.parse(text));
        assertEquals(ErrorCode.SETTINGS_INVALID, fault.code());
        for (String each : expectedTexts) {
            assertTrue(fault.subject().contains(each), fault.subject());
        }
    }
}
