package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests processes, machines and directories of the test harness with small shell scripts. */
@Timeout(30)
class TestProcessTest {
    private static final Duration SOON = Duration.ofSeconds(10);
    private static final Duration MOMENT = Duration.ofMillis(200);
    /** Script that starts a child process and writes a line repeatedly. */
    private static final String REPEATING_SCRIPT = "sleep 1000 & echo child $!; echo ready $$; i=0; "
            + "while :; do i=$((i+1)); echo beat $i; sleep 0.05; done";

    private static ProcessSpec shell(String script) {
        return ProcessSpec.command("shell", "/bin/sh", "-c", script);
    }

    @Test
    void awaitsALineAndItsParts() {
        try (TestProcess p = TestProcess.start(shell("echo one; echo version 7; exec sleep 1000"))) {
            assertEquals("7", p.awaitLine("^version (\\d+)$", SOON).group(1));
            assertEquals(List.of("one", "version 7"), p.lines());
            long mark = p.mark();
            assertThrows(TestSetupException.class, () -> p.awaitLine("version", mark, MOMENT));
        }
    }

    @Test
    void aWaitEndsWithTheProcessAndShowsItsLastLines() {
        try (TestProcess p = TestProcess.start(shell("echo last words; exit 3"))) {
            TestSetupException fault =
                    assertThrows(TestSetupException.class, () -> p.awaitLine("never", Duration.ofMinutes(5)));
            assertTrue(fault.getMessage().contains("last words"), fault.getMessage());
            assertEquals(3, p.awaitExit(SOON));
        }
    }

    @Test
    void keepsTheLastLinesOnly() {
        try (TestProcess p = TestProcess.start(shell("i=0; while [ $i -lt 6000 ]; do echo $i; i=$((i+1)); done"))) {
            p.awaitLine("^5999$", SOON);
            assertEquals(4096, p.lines().size());
            assertEquals(6000, p.mark());
        }
    }

    @Test
    void pausesResumesAndKills() {
        try (TestProcess p = TestProcess.start(shell(REPEATING_SCRIPT))) {
            p.awaitLine("^beat 2", SOON);
            p.pause();
            assertThrows(
                    TestSetupException.class,
                    () -> p.awaitLine("beat", p.mark() + 1, MOMENT)); // one line may still be in transit
            long mark = p.mark();
            p.resume();
            p.awaitLine("beat", mark, SOON);
            p.kill();
            assertFalse(p.isAlive());
            assertEquals(137, p.awaitExit(SOON));
        }
    }

    @Test
    void closeKillsDescendants() {
        ProcessHandle child;
        try (TestProcess p = TestProcess.start(shell(REPEATING_SCRIPT))) {
            long pid = Long.parseLong(p.awaitLine("^child (\\d+)", SOON).group(1));
            child = p.children().stream()
                    .filter(c -> c.pid() == pid)
                    .findFirst()
                    .orElseThrow();
            p.kill();
            assertTrue(child.isAlive());
        }
        assertFalse(child.isAlive());
    }

    @Test
    void restartsWithItsFolderEmptied() {
        try (TestDirectory folder = new TestDirectory("disk")) {
            String script = "ls " + folder.path() + " | wc -l | sed 's/^/files /'; touch " + folder.resolve("x")
                    + "; echo up; exec sleep 1000";
            try (TestProcess p = TestProcess.start(shell(script).withDirectory(folder))) {
                p.awaitLine("^files 0", SOON);
                p.awaitLine("^up", SOON);
                p.kill();
                p.restart();
                p.awaitLine("^files 1", SOON);
                p.awaitLine("^up", SOON);
                p.kill();
                p.restartEmpty();
                p.awaitLine("^files 0", SOON);
            }
        }
    }

    @Test
    void machineIsKilledWithAllDescendants() {
        try (TestMachine machine = new TestMachine("m")) {
            TestProcess a = machine.add(TestProcess.start(shell(REPEATING_SCRIPT)));
            TestProcess b = machine.add(TestProcess.start(shell(REPEATING_SCRIPT)));
            a.awaitLine("^ready", SOON);
            b.awaitLine("^ready", SOON);
            List<ProcessHandle> children = a.children();
            machine.pause();
            assertThrows(TestSetupException.class, () -> a.awaitLine("beat", a.mark() + 1, MOMENT));
            machine.resume();
            b.awaitLine("beat", b.mark(), SOON);
            machine.kill();
            assertFalse(a.isAlive()
                    || b.isAlive()
                    || children.isEmpty()
                    || children.stream().anyMatch(ProcessHandle::isAlive));
        }
    }

    @Test
    void injectsDirectoryFaults() throws IOException {
        try (TestDirectory folder = new TestDirectory("disk")) {
            assertThrows(IOException.class, () -> Files.writeString(folder.createFullFile("log"), "x"));
            Path file = folder.write("data", "abcdef");
            TestDirectory.flipByte(file, -1);
            assertEquals('f', ~Files.readAllBytes(file)[5] & 0xff);
            TestDirectory.truncate(file, 4);
            assertEquals("ab", Files.readString(file));
            Path big = folder.resolve("big");
            try (TestProcess p = TestProcess.start(
                    shell("dd if=/dev/zero of=" + big + " bs=1024 count=64 2>/dev/null; echo status $?")
                            .withPrefix(TestDirectory.fileLimit(8)))) {
                assertEquals("1", p.awaitLine("^status (\\d+)", SOON).group(1));
            }
            assertEquals(4096, Files.size(big));
        }
    }
}
