package olivechute.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Specification of a process: {@code command}, which is appended to {@code prefix} if that is not empty (a command that
 * replaces itself by its arguments, such as {@link TestDirectory#fileLimit}); {@code environment} is added to that of
 * the tests; {@code directory}, which may be null, is cleared by {@link TestProcess#restartEmpty}.
 */
public record ProcessSpec(
        String name,
        List<String> prefix,
        List<String> command,
        Map<String, String> environment,
        TestDirectory directory) {
    /** The jar made by the build. */
    public static final Path JAR = Path.of("target", "olivechute.jar").toAbsolutePath();

    /** JVM flags of a node, as the build wrote them for this kind of machine; the deploy file uses them too. */
    static final Path FLAG_FILE = JAR.resolveSibling("node.flags");

    /** Flags of the virtual machine of a node. */
    static final List<String> FLAGS = List.of("-Xmx64m", "-XX:+UseSerialGC", "@" + FLAG_FILE, "-Xshare:auto");

    public ProcessSpec {
        prefix = List.copyOf(prefix);
        command = List.copyOf(command);
        environment = Map.copyOf(environment);
    }

    /** Specifies a system command. */
    public static ProcessSpec command(String name, String... command) {
        return new ProcessSpec(name, List.of(), List.of(command), Map.of(), null);
    }

    /** Specifies a command of the given jar, in a small virtual machine as used for a node. */
    public static ProcessSpec jar(String name, Path jar, String... args) {
        return java(name, FLAGS, jar, args);
    }

    /** Specifies a command of the given jar that uses the store. */
    public static ProcessSpec fleetCommand(String name, Path jar, String... args) {
        return java(
                name,
                List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:-UsePerfData", "-XX:TieredStopAtLevel=1"),
                jar,
                args);
    }

    private static ProcessSpec java(String name, List<String> flags, Path jar, String... args) {
        List<String> command = new ArrayList<>();
        command.add(java());
        command.addAll(flags);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(List.of(args));
        return new ProcessSpec(name, List.of(), command, Map.of(), null);
    }

    /** Returns the path of the java executable that runs the tests. */
    public static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Returns a copy with an environment variable added. */
    public ProcessSpec withEnvironment(String variable, String value) {
        Map<String, String> more = new HashMap<>(environment);
        more.put(variable, value);
        return new ProcessSpec(name, prefix, command, more, directory);
    }

    /** Returns a copy with this prefix. */
    public ProcessSpec withPrefix(List<String> before) {
        return new ProcessSpec(name, before, command, environment, directory);
    }

    /** Returns a copy with this directory. */
    public ProcessSpec withDirectory(TestDirectory own) {
        return new ProcessSpec(name, prefix, command, environment, own);
    }

    List<String> fullCommand() {
        List<String> whole = new ArrayList<>(prefix);
        whole.addAll(command);
        return whole;
    }
}
