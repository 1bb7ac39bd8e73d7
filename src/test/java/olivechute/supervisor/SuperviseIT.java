package olivechute.supervisor;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import olivechute.fleet.wire.NodeFigures;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.VersionSpec;
import olivechute.net.Threads;
import olivechute.rig.Ports;
import olivechute.store.ReplicaAddress;
import olivechute.store.Store;
import olivechute.store.raft.RatisStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the built jar in its three roles: a replica of the store, a supervisor, and real nodes under it. */
@Timeout(240)
@SuppressWarnings("UnusedVariable") // awaitLine is called for its wait
class SuperviseIT {
    private static final Path JAR = Path.of("target/olivechute.jar").toAbsolutePath();

    @TempDir
    private Path dir;

    private final List<Process> processes = new ArrayList<>();
    private SupervisorRig rig;
    private Store store;

    @BeforeEach
    void setUp() throws Exception {
        rig = new SupervisorRig(dir);
        String address = Ports.hostAndPort(Ports.free());
        String replicas = "replicas = [{ id = a, address = \"" + address + "\" }]";
        Path file = Files.writeString(
                dir.resolve("store.conf"), "id = a, folder = \"" + dir.resolve("a") + "\", " + replicas);
        run("store", file);
        rig.awaitLine(0, "replica a leads");
        store = RatisStore.connect(List.of(new ReplicaAddress("a", address)), Duration.ofSeconds(5));
        Files.writeString(
                dir.resolve("supervise.conf"),
                "machine = m, folder = \"" + dir.resolve("run") + "\", figures = \""
                        + Ports.hostAndPort(Ports.free()) + "\"\n"
                        + "store { " + replicas
                        + " }, program.java = [java, -Xmx64m, \"-XX:+UseSerialGC\", \"-XX:TieredStopAtLevel=1\"]\n"
                        + "nodes = [{ name = n, config = \""
                        + Path.of("example/config.json").toAbsolutePath() + "\", listen = \"" + rig.firstAddress
                        + "\", second = \"" + rig.secondAddress + "\", version = v1 }]\n");
    }

    private Process run(String command, Path settings) throws IOException {
        Process process = new ProcessBuilder(
                        "java", "-Xmx192m", "-jar", JAR.toString(), command, "--settings", settings.toString())
                .redirectErrorStream(true)
                .start();
        processes.add(process);
        Threads.start("lines", () -> {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
                lines.lines().forEach(rig::addLine);
            } catch (IOException | java.io.UncheckedIOException e) {
                rig.addLine("closed: " + e);
            }
        });
        return process;
    }

    @AfterEach
    void tearDown() throws Exception {
        if (store != null) {
            store.close();
        }
        for (int i = 0; i < 2; i++) {
            storedProcess(i)
                    .flatMap(p -> ProcessHandle.of(Long.parseLong(p.getProperty("pid"))))
                    .ifPresent(ProcessHandle::destroyForcibly);
        }
        for (Process each : processes) {
            each.destroyForcibly().waitFor();
        }
    }

    private java.util.Optional<Properties> storedProcess(int address) throws IOException {
        Path file = dir.resolve("run").resolve("n." + address + ".pid");
        if (!Files.exists(file)) {
            return java.util.Optional.empty();
        }
        Properties values = new Properties();
        values.load(Files.newBufferedReader(file));
        return java.util.Optional.of(values);
    }

    private void putOrder(String version, String settings, long number) throws Exception {
        VersionSpec spec = VersionSpec.newBuilder()
                .setId(version)
                .setDigest(ArtifactVerifier.sha256(JAR))
                .setSettings(settings)
                .build();
        Order order = Order.newBuilder()
                .setNode("n")
                .setVersion(version)
                .setNumber(number)
                .build();
        store.write(
                List.of(
                        Store.Write.put("version/" + version, spec.toByteArray()),
                        Store.Write.put("order/n", order.toByteArray())),
                List.of());
    }

    private NodeFigures awaitMetrics(String version) throws Exception {
        long end = System.nanoTime() + 20_000_000_000L;
        for (long since = 0; System.nanoTime() < end; ) {
            Store.Changes changes = store.watch("figures/n", since, Duration.ofSeconds(1));
            since = changes.version();
            for (Store.Entry each : changes.entries()) {
                NodeFigures metrics = NodeFigures.parseFrom(each.value());
                if (metrics.getVersion().equals(version)) {
                    return metrics;
                }
            }
        }
        throw new AssertionError("no metrics under " + version);
    }

    @Test
    void reloadsReplacesAdoptsAndEndsRealNodes() throws Exception {
        Process supervisor = run("supervise", dir.resolve("supervise.conf"));
        int ready = rig.awaitLine(0, "node n ready v1 on " + rig.firstAddress);
        rig.awaitLine(0, "supervisor m fence ");
        rig.awaitLine(0, "figures from n");
        awaitMetrics("v1");
        String pid = storedProcess(0).orElseThrow().getProperty("pid");

        putOrder("v2", "discovery = \"127.0.0.1:2\", settings.ceilings.open_cap = 100", 1);
        ready = rig.awaitLine(ready + 1, "node n ready v2 on " + rig.firstAddress);
        assertEquals(pid, storedProcess(0).orElseThrow().getProperty("pid"), "the same process");
        awaitMetrics("v2");

        putOrder("v3", "settings.profiles = 5", 2);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getPhase().equals("REFUSED"));
        assertEquals("v2 2", state.getVersion() + " " + state.getOrderNumber());
        assertTrue(state.getTrouble().contains("profiles"), state.getTrouble());

        supervisor.destroyForcibly().waitFor();
        assertTrue(ProcessHandle.of(Long.parseLong(pid)).orElseThrow().isAlive(), "the node runs on");
        int killed = rig.lineCount();
        supervisor = run("supervise", dir.resolve("supervise.conf"));
        rig.awaitLine(killed, "supervisor m fence ");
        putOrder("v4", "settings.fleet_size = 2", 3);
        int drains = rig.awaitLine(killed, "node n drains v2");
        assertTrue(rig.awaitLine(killed, "node n ready v4 on " + rig.secondAddress) < drains);
        rig.awaitLine(drains, "node n ended unknown");
        assertEquals(
                0,
                rig.lines.subList(killed, rig.lineCount()).stream()
                        .filter(l -> l.startsWith("node n starts v1") || l.startsWith("node n starts v2"))
                        .count());
        awaitMetrics("v4");

        supervisor.toHandle().destroy(); // Process.destroy would close its output too
        assertTrue(supervisor.waitFor(60, TimeUnit.SECONDS));
        assertEquals(143, supervisor.exitValue());
        rig.awaitLine(drains, "node n ended 143");
        assertFalse(Files.exists(dir.resolve("run").resolve("n.1.pid")));
        assertEquals("", SupervisorRig.get(rig.secondAddress, "/health/ready"));
        assertTrue(store.get("machine/m").isEmpty(), "the report went with the lease");
    }
}
