package olivechute.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.VersionSpec;
import olivechute.store.MemoryStore;
import olivechute.store.Store;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a supervisor with an in-memory store and processes of a fake node. */
@Timeout(120)
class SupervisorTest {
    @TempDir
    private Path dir;

    private SupervisorRig rig;
    private Store store;
    private Supervisor supervisor;

    @BeforeEach
    void setUp() throws IOException {
        rig = new SupervisorRig(dir);
        store = new MemoryStore(System::currentTimeMillis);
    }

    @AfterEach
    void tearDown() throws Exception {
        if (supervisor != null) {
            supervisor.close();
        }
    }

    private void start(boolean twoAddresses, String extraSettings) throws FleetException {
        SupervisorSettings settings = SupervisorSettings.parse(rig.settings(twoAddresses, extraSettings));
        supervisor = new Supervisor(
                settings, store, settings.programJar(), new Random(1), System::currentTimeMillis, rig::addLine);
        supervisor.start();
    }

    @Test
    void withTwoAddressesTheNewVersionStartsBeforeTheOldOneDrains() throws Exception {
        start(true, "");
        rig.awaitLine(0, "supervisor m fence ");
        rig.awaitLine(0, "node n ready v1 on " + rig.firstAddress);
        SupervisorRig.putVersion(store, "v2", "settings.mode = other");
        SupervisorRig.putOrder(store, "v2", 1);
        int starts = rig.awaitLine(0, "node n starts v2");
        int ready = rig.awaitLine(starts, "node n ready v2 on " + rig.secondAddress);
        int drains = rig.awaitLine(starts, "node n drains v1");
        int ended = rig.awaitLine(starts, "node n ended 143");
        assertTrue(ready < drains && drains < ended);
        NodeState state = SupervisorRig.awaitReport(
                store, s -> s.getVersion().equals("v2") && s.getPhase().equals("READY"));
        assertEquals("1 z 0", state.getOrderNumber() + " " + state.getZone() + " " + state.getCrashes());
        assertTrue(SupervisorRig.get(rig.secondAddress, "/health/ready").startsWith("v2 "));
        assertEquals("", SupervisorRig.get(rig.firstAddress, "/health/ready"));
    }

    @Test
    void withOneAddressTheOldVersionEndsFirstAndRejectedSettingsAreReported() throws Exception {
        start(false, "");
        rig.awaitLine(0, "node n ready v1");
        SupervisorRig.putVersion(store, "v2", "settings.mode = refuse");
        SupervisorRig.putOrder(store, "v2", 1);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getPhase().equals("REFUSED"));
        assertEquals("", state.getVersion());
        assertTrue(state.getTrouble().contains("settings.profiles: missing"), state.getTrouble());
        assertEquals(1, rig.count("node n starts v2"));
        SupervisorRig.putVersion(store, "v1", "");
        SupervisorRig.putOrder(store, "v1", 2);
        SupervisorRig.awaitReport(
                store, s -> s.getPhase().equals("READY") && s.getVersion().equals("v1") && s.getOrderNumber() == 2);
        assertTrue(SupervisorRig.get(rig.firstAddress, "/health/ready").startsWith("v1 "));
    }

    @Test
    void restartsAndCountsCrashedProcesses() throws Exception {
        start(true, "backoff.least = 20ms");
        int ready = rig.awaitLine(0, "node n ready v1");
        SupervisorRig.get(rig.firstAddress, "/break");
        int ended = rig.awaitLine(ready, "node n ended 3");
        rig.awaitLine(ended, "node n ready v1");
        SupervisorRig.putVersion(store, "v2", "settings.mode = break");
        SupervisorRig.putOrder(store, "v2", 1);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getCrashes() >= 3);
        assertEquals("v1", state.getVersion());
        assertTrue(state.getTrouble().contains("cannot go on"), state.getTrouble());
        SupervisorRig.putVersion(store, "v1", "");
        SupervisorRig.putOrder(store, "v1", 2);
        SupervisorRig.awaitReport(
                store, s -> s.getPhase().equals("READY") && s.getOrderNumber() == 2 && s.getCrashes() == 0);
    }

    @Test
    void aVersionThatIsNeverReadyLeavesTheOldOneServing() throws Exception {
        start(true, "ready_within = 2s, backoff.least = 20ms");
        rig.awaitLine(0, "node n ready v1");
        SupervisorRig.putVersion(store, "v2", "settings.mode = never");
        SupervisorRig.putOrder(store, "v2", 1);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getCrashes() >= 1);
        assertTrue(state.getTrouble().startsWith("NODE_NOT_READY"), state.getTrouble());
        assertTrue(SupervisorRig.get(rig.firstAddress, "/health/ready").startsWith("v1 "));
        assertEquals(0, rig.count("node n drains v1"));
    }

    @Test
    void killsAProcessThatDoesNotDrainInTime() throws Exception {
        SupervisorRig.putVersion(store, "v1", "settings.mode = stay");
        start(false, "drain_within = 500ms");
        rig.awaitLine(0, "node n ready v1");
        SupervisorRig.putVersion(store, "v2", "");
        SupervisorRig.putOrder(store, "v2", 1);
        rig.awaitLine(0, "node n ended 137");
        rig.awaitLine(0, "node n ready v2");
    }

    @Test
    void reloadableSettingsChangeWithoutARestart() throws Exception {
        start(true, "");
        int ready = rig.awaitLine(0, "node n ready v1");
        String before = SupervisorRig.get(rig.firstAddress, "/health/ready");
        SupervisorRig.putVersion(store, "v2", "discovery = \"127.0.0.1:2\", settings.ceilings.open_cap = 7");
        SupervisorRig.putOrder(store, "v2", 1);
        int again = rig.awaitLine(ready + 1, "node n ready v2 on " + rig.firstAddress);
        assertEquals(before, SupervisorRig.get(rig.firstAddress, "/health/ready"));
        SupervisorRig.putVersion(store, "v3", "discovery = bad");
        SupervisorRig.putOrder(store, "v3", 2);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getPhase().equals("REFUSED"));
        assertEquals("v2 2", state.getVersion() + " " + state.getOrderNumber());
        assertTrue(state.getTrouble().contains("discovery: must be"), state.getTrouble());
        assertTrue(
                Files.readString(dir.resolve("run").resolve("n-0.json")).contains("127.0.0.1:2"),
                "the configuration file is restored");
        SupervisorRig.putVersion(store, "v4", "settings.mode = other");
        SupervisorRig.putOrder(store, "v4", 3);
        rig.awaitLine(again, "node n starts v4");
        rig.awaitLine(again, "node n ready v4 on " + rig.secondAddress);
    }

    @Test
    void anUnverifiedProgramLeavesTheRunningProcess() throws Exception {
        start(false, "");
        rig.awaitLine(0, "node n ready v1");
        VersionSpec spec = VersionSpec.newBuilder()
                .setId("v2")
                .setProgram(rig.jar.toString())
                .setDigest("00")
                .build();
        store.write(List.of(Store.Write.put("version/v2", spec.toByteArray())), List.of());
        SupervisorRig.putOrder(store, "v2", 1);
        NodeState state = SupervisorRig.awaitReport(store, s -> s.getPhase().equals("REFUSED"));
        assertTrue(state.getTrouble().startsWith("PROGRAM_MISSING"), state.getTrouble());
        assertEquals("v1", state.getVersion());
        spec = spec.toBuilder()
                .setId("v3")
                .setDigest(ArtifactVerifier.sha256(rig.jar))
                .setSettings("settings.mode = other")
                .build();
        store.write(List.of(Store.Write.put("version/v3", spec.toByteArray())), List.of());
        SupervisorRig.putOrder(store, "v3", 2);
        rig.awaitLine(0, "node n ready v3");
    }

    @Test
    void reacquiresAnExpiredLeaseAndWaitsWhileAnotherHoldsIt() throws Exception {
        start(false, "");
        rig.awaitLine(0, "node n ready v1");
        int fence = rig.awaitLine(0, "supervisor m fence ");
        Store.Entry owner = store.get("machine/m").orElseThrow();
        long session =
                olivechute.fleet.wire.MachineReport.parseFrom(owner.value()).getFence();
        store.release(new Store.Lease("machine/m", "", session, Duration.ofSeconds(2)));
        int said = rig.awaitLine(fence + 1, "supervisor m fence ");
        assertNotEquals(rig.lines.get(fence), rig.lines.get(said));
        SupervisorRig.awaitReport(store, s -> s.getPhase().equals("READY"));
        long next = Long.parseLong(rig.lines.get(said).replaceFirst(".* ", ""));
        Store.Lease other = takeOver(next);
        said = rig.awaitLine(said, "supervisor m: LEASE_HELD");
        SupervisorRig.putVersion(store, "v2", "settings.mode = other");
        SupervisorRig.putOrder(store, "v2", 1);
        SupervisorRig.get(rig.firstAddress, "/break");
        rig.awaitLine(said, "node n ready v1");
        assertEquals(0, rig.count("node n starts v2"), "carries out no order while another holds the lease");
        store.release(other);
        rig.awaitLine(said, "node n ready v2");
    }

    /** Releases the supervisor's lease and acquires it before the supervisor does. */
    private Store.Lease takeOver(long session) throws StoreException {
        Store.Lease lease = new Store.Lease("machine/m", "", session, Duration.ofSeconds(2));
        for (int i = 0; i < 1000; i++) {
            store.release(lease);
            try {
                return store.acquire("machine/m", "another", Duration.ofMinutes(1));
            } catch (StoreException e) {
                assertEquals(ErrorCode.LEASE_HELD, e.code());
                lease = new Store.Lease(
                        "machine/m",
                        "",
                        Long.parseLong(rig.lines.get(rig.lineCount() - 1).replaceFirst(".* ", "")),
                        lease.ttl());
            }
        }
        throw new AssertionError("the supervisor always acquired the lease first");
    }

    @Test
    void startsAndRestartsNodesWithoutAStore() throws Exception {
        store.close();
        start(
                false,
                "backoff.least = 20ms, store { lease = 500ms, replicas = [{ id = a, address = \"127.0.0.1:1\" }] }");
        int ready = rig.awaitLine(0, "node n ready v1");
        SupervisorRig.get(rig.firstAddress, "/break");
        rig.awaitLine(ready + 1, "node n ready v1");
        supervisor.close();
        supervisor = null;
        assertEquals("", SupervisorRig.get(rig.firstAddress, "/health/ready"));
        assertFalse(Files.exists(dir.resolve("run").resolve("n.0.pid")));
    }

    @Test
    void aDirectoryBelongsToOneSupervisor() throws Exception {
        start(false, "");
        rig.awaitLine(0, "node n ready v1");
        FleetException error = assertThrows(
                FleetException.class,
                () -> new Supervisor(
                        SupervisorSettings.parse(rig.settings(false, "")),
                        store,
                        "x",
                        new Random(1),
                        System::currentTimeMillis,
                        rig::addLine));
        assertEquals(ErrorCode.DATA_IN_USE, error.code());
    }
}
