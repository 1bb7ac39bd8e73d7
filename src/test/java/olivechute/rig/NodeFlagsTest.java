package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests the JVM flags of a node that the build wrote for the kind of machine at hand. */
class NodeFlagsTest {
    /** The flags of {@code run} and those that the tests use start a virtual machine. */
    @Test
    void flagsStartAVirtualMachine() throws Exception {
        String run = run();
        String flags = run.substring(run.indexOf(" java ") + " java ".length(), run.indexOf(" -jar "));
        String java = ProcessSpec.java();
        assertStarts("exec '" + java + "' " + flags + " -version");
        assertStarts("exec '" + java + "' '" + String.join("' '", ProcessSpec.FLAGS) + "' -version");
    }

    /** The platform may forbid the command to start another program, so that the path may not depend on one. */
    @Test
    void runUsesTheFlagsThatTheTestsUse() throws IOException {
        Matcher file = Pattern.compile(" @(\\S+) ").matcher(run());
        assertTrue(file.find());
        assertEquals(ProcessSpec.FLAG_FILE, Path.of(file.group(1)).toAbsolutePath());
        assertFalse(run().contains("$(") || run().contains("`"), run());
    }

    @Test
    void onlyX86HasFewerStackPages() throws IOException {
        String flags = Files.readString(ProcessSpec.FLAG_FILE).strip();
        String arch = System.getProperty("os.arch");
        String ownFlag = arch.equals("amd64") ? "-XX:StackShadowPages=10" : "-Dolivechute.machine=" + arch;
        assertEquals("-XX:-UsePerfData -XX:TieredStopAtLevel=1 " + ownFlag, flags);
    }

    @Test
    void flagsOfAnotherMachineAreRefused() throws Exception {
        Process process = new ProcessBuilder(
                        ProcessSpec.java(),
                        "-Dolivechute.machine=elsewhere",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "olivechute.Main",
                        "serve")
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor(), output);
        assertTrue(output.contains("target/node.flags: of another kind of machine (elsewhere"), output);
    }

    private static String run() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(Path.of("deploy", "balancer.toml")));
        assertTrue(run.find());
        return run.group(1);
    }

    private static void assertStarts(String command) throws Exception {
        assertTrue(output(command).contains("build 17"), command);
    }

    private static String output(String command) throws Exception {
        Process process = new ProcessBuilder("/bin/sh", "-c", command)
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        return output;
    }
}
