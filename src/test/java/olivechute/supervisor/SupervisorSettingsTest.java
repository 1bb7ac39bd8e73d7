package olivechute.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import olivechute.error.ErrorCode;
import olivechute.error.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the supervisor's settings, the key that errors name, and the merging of a version's settings into a node's
 * configuration file.
 */
class SupervisorSettingsTest {
    private static final String MINIMAL =
            "machine = m, folder = f, store.replicas = [{ id = a, address = \"127.0.0.1:1\" }]\n"
                    + "nodes = [{ name = n, config = c, listen = \"127.0.0.1:2\", version = v }]\n";

    /** The example file that is shipped must state the defaults. */
    @Test
    void theShippedFileHasTheDefaults() throws Exception {
        SupervisorSettings shipped = SupervisorSettings.load(Path.of("deploy/supervise.conf"));
        SupervisorSettings minimal = SupervisorSettings.parse(MINIMAL);
        assertEquals("m0", shipped.machine());
        assertEquals(3, shipped.replicas().size());
        assertEquals(
                List.of("127.0.0.1:7070", "127.0.0.1:7071"),
                shipped.nodes().get(0).addresses());
        assertEquals(
                List.of(
                        shipped.timeouts(),
                        shipped.leaseTtl(),
                        shipped.storeTimeout(),
                        shipped.javaCommand(),
                        shipped.metricsAddress(),
                        shipped.zone()),
                List.of(
                        minimal.timeouts(),
                        minimal.leaseTtl(),
                        minimal.storeTimeout(),
                        minimal.javaCommand(),
                        minimal.metricsAddress(),
                        minimal.zone()));
        assertNull(shipped.programJar());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "machine = \"a/b\" | machine: must be up to 64",
                "store.replicas = [] | store.replicas: missing",
                "store.replicas = [{ id = a, address = b }] | store.replicas[0].address: must be ADDRESS:PORT",
                "store.lease = 1ms | store.lease: must be from 500ms",
                "figures = \"10.0.0.1:1\" | figures: must be a loopback address",
                "nodes = [] | nodes: must be a list of 1 to 256",
                "nodes = [{ name = n, listen = \"127.0.0.1:2\", version = v }] | nodes[0].config: missing",
                "nodes = [{ name = n, config = c, listen = \"127.0.0.1:2\", second = \"127.0.0.1:2\", version = v }] | nodes[0].listen: each address",
                "backoff.most = 100ms | backoff.most: must be no less",
                "lease = 3s | lease: unknown key",
                "program.java = [] | program.java: must be the command",
            })
    void theErrorNamesTheInvalidKey(String line, String expectedError) {
        SettingsException error = assertThrows(SettingsException.class, () -> SupervisorSettings.parse(MINIMAL + line));
        assertEquals(ErrorCode.SETTINGS_INVALID, error.code());
        assertTrue(error.getMessage().contains(expectedError), error.getMessage());
    }

    @Test
    void versionSettingsOverrideTheBaseFile() throws Exception {
        String base = "{\"name\":\"n\",\"seed\":\"00ff\",\"settings\":{\"a\":[1,2],\"b\":5.5}}";
        assertEquals(
                "{\"name\":\"n\",\"seed\":\"00ff\",\"settings\":{\"a\":[3],\"b\":5.5,\"c\":true}}",
                SettingsOverlay.merge(base, "settings { a = [3], c = true }"));
        assertEquals(base, SettingsOverlay.merge(base, ""));
        for (String invalid : List.of(
                "a = {",
                "include \"/etc/hostname\"",
                "include file(\"/etc/hostname\")",
                "include classpath(\"x\")",
                "include url(\"file:/etc/hostname\")",
                "a = ${HOME}")) {
            assertThrows(SettingsException.class, () -> SettingsOverlay.merge(base, invalid), invalid);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "discovery = x | true", "settings.ceilings.open_cap = 5 | true",
                        "settings.ceilings.dial_timeout = 0.5 | true", "x = 1 | true",
                "settings.discovery = x | false", "settings.ceilings.try_limit = 2 | false",
                        "limits.sockets = 9 | false", "name = x | false",
            })
    void tellsReloadableChangesFromOthers(String overlay, boolean reloadable) throws Exception {
        String base = "{\"name\":\"n\",\"x\":1,\"settings\":{\"b\":1}}";
        assertEquals(reloadable, SettingsOverlay.canReload(base, SettingsOverlay.merge(base, overlay)));
    }

    @Test
    void onlySettingsErrorsArePermanentStartFailures() {
        assertTrue(StartFailureClassifier.isPermanent(1, "settings.profiles[0].deadline: missing, must be a number"));
        assertTrue(StartFailureClassifier.isPermanent(1, "LB_CONFIG: f is not JSON: x"));
        assertFalse(StartFailureClassifier.isPermanent(1, "LB_LISTEN: cannot listen: Address already in use"));
        assertFalse(
                StartFailureClassifier.isPermanent(1, "Exception in thread \"main\" java.lang.OutOfMemoryError: x"));
        assertFalse(StartFailureClassifier.isPermanent(134, "key: wrong"));
        assertFalse(StartFailureClassifier.isPermanent(null, "key: wrong"));
    }
}
