package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import olivechute.error.FleetException;
import olivechute.error.SettingsException;
import olivechute.rollout.RolloutPhase;
import olivechute.store.ReplicaAddress;
import olivechute.store.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line on an in-memory store. */
class RolloutCommandTest {
    private static final Path SETTINGS = Path.of("deploy", "change.conf");

    @TempDir
    private Path folder;

    private final ControllerRig rig = new ControllerRig(6);
    private final StringWriter out = new StringWriter();
    private List<ReplicaAddress> requestedReplicas;

    RolloutCommandTest() throws FleetException {}

    /** The in-memory store, which stays open when the command closes its connection. */
    private Store connect(String region, List<ReplicaAddress> replicas, Duration timeout) {
        requestedReplicas = replicas;
        return new InterceptingStore(rig.store, rig.orderLog) {
            @Override
            public void close() {}
        };
    }

    private int run(Path settings, String... args) {
        out.getBuffer().setLength(0);
        CommandLine line = new CommandLine(new RolloutCommand(this::connect))
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out));
        String[] all = Arrays.copyOf(args, args.length + 2);
        all[args.length] = "--settings";
        all[args.length + 1] = settings.toString();
        return line.execute(all);
    }

    private void assertRun(int status, String holds, String... args) {
        assertEquals(status, run(SETTINGS, args), out.toString());
        assertTrue(out.toString().contains(holds), out.toString());
    }

    private Path jar() throws IOException {
        Path jar = folder.resolve("new.jar");
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        try (OutputStream file = Files.newOutputStream(jar);
                JarOutputStream entries = new JarOutputStream(file, manifest)) {
            entries.finish();
        }
        return jar;
    }

    private String overlay(String text) throws IOException {
        return Files.writeString(folder.resolve("overlay.conf"), text).toString();
    }

    @Test
    void proposesShowsPausesResumesAndStops() throws IOException, FleetException {
        assertRun(0, "phase: PROPOSED", "propose", "--overlay", overlay("a { b = 2 }"), "--id", "v2");
        assertEquals("a", requestedReplicas.get(0).id());
        assertEquals(3, rig.currentChange().getSpec().getStagesCount());
        assertRun(1, "CHANGE_UNDER_WAY: change v2", "propose", "--overlay", overlay("a { b = 3 }"), "--id", "v3");
        assertRun(0, "phase: PAUSED", "pause");
        assertRun(0, "phase: PROPOSED", "resume");
        assertRun(0, "nodes: 6 ready at v1: n1 n2 n3 n4 n5 n6", "show");
        assertRun(0, "phase: STOPPED", "stop");
        rig.round();
        assertRun(0, "reason: stopped by an operator", "show", "--wait", "STOPPED");
        assertRun(1, "phase: STOPPED", "show", "--wait", "DONE");
        assertRun(1, "CHANGE_UNKNOWN: no change is under way", "stop");
    }

    @Test
    void waitsForAPhase() throws Exception {
        assertRun(1, "CHANGE_UNKNOWN: there was no change yet", "show", "--wait", "DONE");
        rig.propose("v2");
        CompletableFuture<Integer> waits = CompletableFuture.supplyAsync(() -> run(SETTINGS, "show", "--wait", "DONE"));
        rig.runUntilEnded();
        assertEquals(0, waits.get());
        assertTrue(out.toString().contains("phase: " + RolloutPhase.DONE), out.toString());
        rig.propose("v3");
        assertEquals(1, run(SETTINGS, "show", "--wait", "DONE", "--within", "0"));
    }

    @Test
    void verifiesTheProgramDigest() throws IOException, FleetException {
        Path jar = jar();
        String digest = "0".repeat(64);
        assertRun(
                1,
                "PROGRAM_MISSING: " + jar + " has the digest ",
                "propose",
                "--program",
                jar.toString(),
                "--digest",
                digest,
                "--id",
                "v2");
        assertRun(
                1,
                "PROGRAM_MISSING: ",
                "propose",
                "--program",
                folder.resolve("none.jar").toString(),
                "--id",
                "v2");
        assertRun(0, "to: v2", "propose", "--program", jar.toString(), "--id", "v2");
        assertEquals(
                64,
                rig.client
                        .fleetState()
                        .versionSpec("v2")
                        .orElseThrow()
                        .getDigest()
                        .length());
    }

    @Test
    void rejectsInvalidArgumentsAndSettings() throws IOException {
        assertRun(2, "--program", "propose", "--id", "v2");
        assertRun(1, "CHANGE_INVALID: ", "propose", "--overlay", overlay("a { b ="), "--id", "v2");
        assertRun(1, "CHANGE_INVALID: ", "base", "--id", "v9");
        assertEquals(2, run(SETTINGS, "shows"));
        Path wrong = Files.writeString(folder.resolve("wrong.conf"), "stages = [{nods = 1}], most_away = 0");
        assertEquals(1, run(wrong, "show"));
        for (String each :
                List.of("SETTINGS_INVALID", "store.replicas", "stages[0].nods", "did you mean nodes?", "most_away")) {
            assertTrue(out.toString().contains(each), out.toString());
        }
        assertEquals(1, run(folder.resolve("none.conf"), "show"));
        assertTrue(out.toString().contains("cannot be read"), out.toString());
    }

    @Test
    void controllerSettingsAreReadFromTheReplicaFile() throws IOException, SettingsException {
        Path file = Files.writeString(
                folder.resolve("store.conf"),
                "id = a, rollout { worth { verify = 2, sign = 0.5 }, late = 0.1, " + "tick = 500ms }");
        ControllerSettings settings = ControllerSettings.load(file, List.of(7L));
        assertEquals(Duration.ofMillis(500), settings.tickInterval());
        assertEquals(2.0, settings.weights().weightByClass().get("verify"));
        assertEquals(0.1, settings.weights().lateFractionByClass().get("sign"));
        assertArrayEquals(new long[] {7}, settings.weights().delayBoundsUs());
        Files.writeString(file, "id = a");
        assertEquals(
                Duration.ofSeconds(1),
                ControllerSettings.load(file, List.of(7L)).tickInterval());
        Files.writeString(file, "rollout { worth { verify = -2 }, lat = 1 }");
        String text = assertThrows(SettingsException.class, () -> ControllerSettings.load(file, List.of()))
                .getMessage();
        assertTrue(text.contains("rollout.worth.verify") && text.contains("did you mean late?"), text);
    }
}
