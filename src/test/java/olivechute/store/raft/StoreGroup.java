package olivechute.store.raft;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import olivechute.rig.Ports;
import olivechute.store.ReplicaAddress;

/**
 * Runs replicas as processes of the built jar, on free loopback ports with a data directory each, and waits for lines
 * of their output.
 */
final class StoreGroup implements AutoCloseable {
    static final long TIMEOUT_MS = 30_000;

    /** A line of output; the lines of all processes are kept in the order in which they arrived. */
    private record OutputLine(int replica, int run, String text) {}

    final List<ReplicaAddress> replicas = new ArrayList<>();
    private final Path directory = Files.createTempDirectory("store");
    private final Process[] processes;
    private final int[] runs;
    private final List<OutputLine> lines = new ArrayList<>();
    private final String extraSettings;

    /** Creates a group; {@code extraSettings} is added to the settings that define the group. */
    StoreGroup(int count, String extraSettings) throws IOException {
        this.extraSettings = extraSettings;
        processes = new Process[count];
        runs = new int[count];
        for (int i = 0; i < count; i++) {
            replicas.add(new ReplicaAddress("r" + i, Ports.hostAndPort(Ports.free())));
        }
    }

    static StoreGroup startGroup(int count, String extraSettings) throws IOException, InterruptedException {
        StoreGroup group = new StoreGroup(count, extraSettings);
        for (int i = 0; i < count; i++) {
            group.start(i);
        }
        return group;
    }

    Path dataDirectory(int replica) {
        return directory.resolve("r" + replica);
    }

    void start(int replica) throws IOException {
        start(replica, dataDirectory(replica), "r" + replica);
    }

    /** Starts a replica with the given data directory and id, which may be those of another replica. */
    void start(int replica, Path dataDirectory, String id) throws IOException {
        StringBuilder text = new StringBuilder(
                "id = " + id + "\nfolder = \"" + dataDirectory + "\"\n" + extraSettings + "\nreplicas = [\n");
        replicas.forEach(r -> text.append("  { id = ")
                .append(r.id())
                .append(", address = \"")
                .append(r.address())
                .append("\" }\n"));
        Path settings = Files.writeString(directory.resolve("r" + replica + ".conf"), text.append("]\n"));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-XX:MaxDirectMemorySize=64m",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-jar",
                        "target/olivechute.jar",
                        "store",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
        int run = ++runs[replica];
        processes[replica] = process;
        Thread reader = new Thread(() -> readOutput(replica, run, process));
        reader.setDaemon(true);
        reader.start();
    }

    private void readOutput(int replica, int run, Process process) {
        try (BufferedReader reader = process.inputReader()) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    lines.add(new OutputLine(replica, run, line));
                    lines.notifyAll();
                }
            }
        } catch (IOException e) {
            // the process has ended
        }
    }

    long pid(int replica) {
        return processes[replica].pid();
    }

    /** Kills the replica with SIGKILL. */
    void kill(int replica) throws InterruptedException {
        processes[replica].destroyForcibly().waitFor();
    }

    int awaitExit(int replica) throws InterruptedException {
        if (!processes[replica].waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("replica " + replica + " did not end; output: " + output());
        }
        return processes[replica].exitValue();
    }

    /** Returns the number of output lines so far, as the position to search from. */
    int lineCount() {
        synchronized (lines) {
            return lines.size();
        }
    }

    private OutputLine awaitMatch(int fromLine, String description, Predicate<OutputLine> matcher)
            throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        synchronized (lines) {
            while (true) {
                for (int i = fromLine; i < lines.size(); i++) {
                    if (matcher.test(lines.get(i))) {
                        return lines.get(i);
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new AssertionError("no output line " + description + " in time; output: " + output());
                }
                lines.wait(left);
            }
        }
    }

    /** Waits for an output line of a replica's present run that contains a text. */
    void awaitLine(int fromLine, int replica, String text) throws InterruptedException {
        int run = runs[replica];
        awaitMatch(
                fromLine,
                "'" + text + "' of r" + replica,
                line -> line.replica == replica && line.run == run && line.text.contains(text));
    }

    /** Waits until a running replica is leader; returns its number. */
    int awaitLeader(int fromLine) throws InterruptedException {
        return awaitMatch(
                        fromLine,
                        "of a leader",
                        line -> line.text.contains(" leads term ")
                                && line.run == runs[line.replica]
                                && processes[line.replica].isAlive())
                .replica;
    }

    RatisStore client(Duration timeout) {
        return RatisStore.connect(replicas, timeout);
    }

    String output() {
        synchronized (lines) {
            StringBuilder all = new StringBuilder();
            lines.forEach(line -> all.append("\nr")
                    .append(line.replica)
                    .append('#')
                    .append(line.run)
                    .append(": ")
                    .append(line.text));
            return all.toString();
        }
    }

    static void deleteRecursively(Path directory) throws IOException {
        if (Files.exists(directory)) {
            try (Stream<Path> all = Files.walk(directory)) {
                for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Process each : processes) {
            if (each != null) {
                each.destroyForcibly().onExit().join();
            }
        }
        deleteRecursively(directory);
    }
}
