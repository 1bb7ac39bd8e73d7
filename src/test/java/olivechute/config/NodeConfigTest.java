package olivechute.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the node configuration: defaults, overrides by the environment, and the key that each error names. */
public class NodeConfigTest {
    private static NodeConfig read(Map<String, String> environment, String... changes) throws IOException {
        try (InputStream in = NodeConfigTest.class.getResourceAsStream("/node.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("DISCOVERY", "127.0.0.1:8500")
                    .replace("SOCKETS", "1024")
                    .replace("KNOWN", "");
            for (int i = 0; i < changes.length; i += 2) {
                assertTrue(text.contains(changes[i]), changes[i]);
                text = text.replace(changes[i], changes[i + 1]);
            }
            return NodeConfig.read(JsonFields.parse("config", text.getBytes(StandardCharsets.UTF_8)), environment);
        }
    }

    @Test
    public void theEnvironmentOverridesAndTheRestIsRead() throws IOException {
        NodeConfig config = read(Map.of("LB_NAME", "n7", "LB_LISTEN", "127.0.0.2:7070"));
        assertEquals(
                config.name()
                        + config.listenAddress().getPort()
                        + config.discoveryAddress().getPort(),
                "n770708500");
        assertEquals(config.connectTimeoutUs(), 250_000);
        assertEquals(config.settings().classes().size(), 3);
        assertEquals(config.seed(), 0x8c1f30d27a5be964L);
    }

    /** An error must not hide the others, so that an operator can correct a file in one pass. */
    @Test
    public void allErrorsAreReportedAtOnce() throws IOException {
        Path file = Files.createTempFile("node", ".json");
        try (InputStream in = NodeConfigTest.class.getResourceAsStream("/node.json")) {
            String good = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("DISCOVERY", "127.0.0.1:8500")
                    .replace("SOCKETS", "1024")
                    .replace("KNOWN", "");
            Map<String, String> environment = Map.of("LB_CONFIG", file.toString());
            Files.writeString(file, good);
            assertEquals(NodeConfig.validate(environment), List.of());
            Files.writeString(
                    file,
                    good.replace("127.0.0.1:8500", "x")
                            .replace("\"try_limit\":3", "\"try_limit\":\"many\"")
                            .replace("\"name\":\"verify\"", "\"name\":7")
                            .replace("\"effect\":\"dedup\"", "\"effect\":\"twice\"")
                            .replace("\"quota_per_s\":1000", "\"quota_per_s\":\"q\"")
                            .replace("\"sockets\":1024", "\"sockets\":3"));
            List<String> faults = NodeConfig.validate(environment);
            assertEquals(
                    faults.stream().map(f -> f.split(":")[0]).toList(),
                    List.of(
                            "discovery",
                            "limits.sockets",
                            "ceilings.try_limit",
                            "profiles.name",
                            "profiles.effect",
                            "accounts.quota_per_s"));
        } finally {
            Files.delete(file);
        }
        assertEquals(NodeConfig.validate(Map.of("LB_CONFIG", "/nowhere/at.all")).size(), 1);
    }

    /**
     * The connection limit must respect memory too: 960 connections fit the descriptors, but their threads' stacks did
     * not fit the memory.
     */
    @Test
    public void theLowerOfDescriptorAndMemoryLimitsBoundsTheConnections() throws IOException {
        assertEquals(read(Map.of()).maxConnections(), (192 - 72) * 1024 / 130);
        assertEquals(read(Map.of(), "\"memory_mb\":192", "\"memory_mb\":4096").maxConnections(), 1024 - 64);
    }

    /** Memory limits under 112 MB once stopped the start; a node that serves with few connections is of more use. */
    @Test
    public void aSmallMemoryLimitDoesNotStopTheStart() throws IOException {
        for (String memory : new String[] {"32", "64", "96"}) {
            int connections = read(Map.of(), "\"memory_mb\":192", "\"memory_mb\":" + memory)
                    .maxConnections();
            assertTrue(connections >= 48 && connections < 200, memory + " MB: " + connections);
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"localhost:1\"", "listen: must be ADDRESS:PORT"},
            {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:70000\"", "listen: must be ADDRESS:PORT"},
            {"\"listen\":\"127.0.0.1:0\"", "\"other\":1", "config.listen: missing"},
            {"\"name\":\"n0\"", "\"name\":7", "config.name: must be text"},
            {"\"8c1f30d27a5be964\"", "\"xyz\"", "config.seed: must be"},
            {"\"sockets\":1024", "\"sockets\":10", "limits.sockets: must be from"},
            {"\"memory_mb\":192", "\"memory_mb\":\"much\"", "limits.memory_mb: must be a whole number"},
            {"\"settings\":{", "\"elsewhere\":{", "config.settings: missing"},
            {"\"try_limit\":3", "\"try_limit\":0", "ceilings.try_limit: missing or contradictory"},
            {"\"goal_time\":0.15,\"effect\":\"fragile\"", "\"goal_time\":-1", "profiles.goal_time of pay: "},
            {"\"quota_per_s\":1000", "\"quota_per_s\":-1", "accounts.quota_per_s of acme: "},
            {"\"ramp_time\":8.9", "\"ramp_time\":-1", "rules.ramp_time: "},
            {"\"dial_timeout\":0.25", "\"dial_timeout\":0", "ceilings.dial_timeout: must be from"},
            {"\"effect\":\"fragile\"", "\"effect\":\"odd\"", "profiles.effect: unknown word odd"},
            {
                "\"endpoints\":[]",
                "\"endpoints\":[{\"name\":\"s\",\"status\":\"lost\"}]",
                "endpoints.status: unknown word lost"
            },
            {
                "\"endpoints\":[]",
                "\"endpoints\":[{\"name\":\"s\",\"status\":\"left\",\"address\":\"s:1\"}]",
                "address: must be"
            },
        };
    }

    @Test(dataProvider = "faults")
    public void anErrorNamesItsKey(String good, String bad, String message) {
        String seen = expectThrows(InvalidValueException.class, () -> read(Map.of(), good, bad))
                .getMessage();
        assertTrue(seen.startsWith(message), seen);
    }

    @Test
    public void keysThatNeedARestartAreNamed() throws IOException {
        NodeConfig running = read(Map.of());
        assertEquals(
                read(Map.of(), "127.0.0.1:8500", "127.0.0.1:8501").restartRequiredKeys(running), java.util.List.of());
        assertEquals(
                read(
                                Map.of(),
                                "\"n0\"",
                                "\"n1\"",
                                "\"memory_mb\":192",
                                "\"memory_mb\":150",
                                "\"try_limit\":3",
                                "\"try_limit\":2")
                        .restartRequiredKeys(running),
                java.util.List.of("name", "limits", "settings"));
    }

    @Test
    public void anUnreadableFileIsReportedWithItsVariable() {
        for (Map<String, String> env : java.util.List.of(Map.<String, String>of(), Map.of("LB_CONFIG", "/nowhere"))) {
            String seen = expectThrows(InvalidValueException.class, () -> NodeConfig.load(env))
                    .getMessage();
            assertTrue(seen.startsWith("LB_CONFIG: "), seen);
        }
    }

    @Test
    public void aSupervisorIsNamedByTheEnvironmentOnly() throws IOException {
        assertNull(read(Map.of()).metrics());
        assertNull(read(Map.of("OLIVECHUTE_FIGURES", "", "OLIVECHUTE_VERSION", "v1"))
                .metrics());
        assertEquals(
                read(Map.of("OLIVECHUTE_FIGURES", "127.0.0.1:90")).metrics(),
                new MetricsSettings(new InetSocketAddress("127.0.0.1", 90), ""));
        assertEquals(
                read(Map.of("OLIVECHUTE_FIGURES", "127.0.0.1:90", "OLIVECHUTE_VERSION", "v1"))
                        .metrics()
                        .version(),
                "v1");
    }

    @Test
    public void aWrongSupervisorOrVersionNamesItsVariable() {
        for (String bad : new String[] {"127.0.0.1", "localhost:90", "127.0.0.1:x", "127.0.0.1:70000"}) {
            String seen = expectThrows(InvalidValueException.class, () -> read(Map.of("OLIVECHUTE_FIGURES", bad)))
                    .getMessage();
            assertTrue(seen.startsWith("OLIVECHUTE_FIGURES: must be ADDRESS:PORT"), seen);
        }
        for (String bad : new String[] {"v\n", "v".repeat(101)}) {
            Map<String, String> environment = Map.of("OLIVECHUTE_FIGURES", "127.0.0.1:90", "OLIVECHUTE_VERSION", bad);
            String seen = expectThrows(InvalidValueException.class, () -> read(environment))
                    .getMessage();
            assertTrue(seen.startsWith("OLIVECHUTE_VERSION: must be at most 100 characters"), seen);
        }
    }

    @Test
    public void anInvalidLogFormatOrLevelNamesItsVariable() {
        assertEquals(
                expectThrows(
                                InvalidValueException.class,
                                () -> LogSettings.apply(Map.of(LogSettings.FORMAT_VARIABLE, "xml")))
                        .getMessage(),
                "OLIVECHUTE_LOG: must be text or json, not 'xml'");
        assertTrue(expectThrows(
                        InvalidValueException.class,
                        () -> LogSettings.apply(Map.of(LogSettings.LEVEL_VARIABLE, "loud")))
                .getMessage()
                .startsWith("OLIVECHUTE_LOG_LEVEL: must be one of "));
    }
}
