package olivechute.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The measured node in a process of its own. It is queried for its resource usage over standard input and output, see
 * {@link NodeProbe}.
 */
final class NodeProcess implements AutoCloseable {
    private static final String CONFIG = """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"DISCOVERY","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":SOCKETS},
         "known":{"index":1,"snapshot":true,"endpoints":[KNOWN]},
         "settings":{
          "accounts":[{"name":"acme","quota_per_s":100000,"share":0.6},{"name":"bolt","quota_per_s":100000,"share":0.4}],
          "az":"z","discovery":"subscribe","fleet_size":1,"kinds":["k"],"clients":{"marks_retry":true},
          "ceilings":{"conn_idle":600,"dial_timeout":1,"max_retry_after":2.0,"try_limit":3,"retry_after":true},
          "domain":{"class_stretch":[1.75,2.5],"report_x0":"free slots","report_x1":"free memory","tells_start":true},
          "report":{"fields":["x0","err_ps","tps","depth"],"via":"inline"},
          "rules":{"ask_every":10,"drain_grace":0.5,"fall_multiple":3,"overload_for":1,"ramp_time":8.9,
            "start_capacity":0.3},
          "profiles":[
           {"name":"verify","credit":2,"deadline":5,"goal_time":2,"effect":"retryable","group":"all","window":5},
           {"name":"sign","credit":8,"deadline":5,"goal_time":2,"effect":"dedup","group":"all","window":7.5}]}}
        """;

    private final Process process;
    private final BufferedReader stdout;
    private final PrintStream stdin;
    private final Path config;
    private final InetSocketAddress address;

    /** Starts the node of {@code jar}. {@code core} pins it to a core unless negative; {@code settings} may be null. */
    NodeProcess(Path jar, Mode mode, int core, int sockets, String discovery, String known, Path settings)
            throws IOException {
        Path benchmarkJar = ownJar();
        config = Files.createTempFile("cost", ".json");
        Files.writeString(
                config,
                CONFIG.replace("DISCOVERY", discovery)
                        .replace("SOCKETS", String.valueOf(sockets))
                        .replace("KNOWN", known));
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", String.valueOf(core)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(mode.flags());
        command.addAll(List.of("@" + flagFile(benchmarkJar), "-Xshare:auto"));
        if (mode == Mode.COPIES) {
            command.add("-javaagent:" + benchmarkJar);
        }
        command.addAll(List.of("-cp", jar + java.io.File.pathSeparator + benchmarkJar, NodeProbe.class.getName()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .putAll(Map.of("LB_CONFIG", config.toString(), "LB_NAME", "", "LB_LISTEN", "", "LB_DISCOVERY", ""));
        if (settings != null) {
            builder.environment().put("OLIVECHUTE_SETTINGS", settings.toString());
        }
        process = builder.start();
        stdout = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        stdin = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
        String line = await(" listens on ");
        String addressText = line.substring(line.lastIndexOf('/') + 1);
        address = new InetSocketAddress(
                addressText.substring(0, addressText.lastIndexOf(':')),
                Integer.parseInt(addressText.substring(addressText.lastIndexOf(':') + 1)));
    }

    /** Returns the jar that this program runs from. */
    static Path ownJar() throws IOException {
        String path = System.getProperty("java.class.path");
        if (!path.endsWith(".jar")) {
            throw new IOException("cost: runs from the built jar only, as java -jar target/olivechute.jar cost");
        }
        return Path.of(path).toAbsolutePath();
    }

    /**
     * Returns the JVM flags that the build wrote for this kind of machine, beside the jar; the deploy file uses them
     * too.
     */
    private static Path flagFile(Path jar) throws IOException {
        Path flags = jar.resolveSibling("node.flags");
        boolean x86 = System.getProperty("os.arch").equals("amd64");
        if (!Files.isRegularFile(flags) || Files.readString(flags).contains("StackShadowPages") != x86) {
            throw new IOException(flags + " is missing or of another kind of machine: remove target and build again");
        }
        return flags;
    }

    private String await(String part) throws IOException {
        StringBuilder seen = new StringBuilder();
        for (String line = stdout.readLine(); line != null; line = stdout.readLine()) {
            if (line.contains(part)) {
                return line;
            }
            seen.append(line).append('\n');
        }
        throw new IOException("the node exited: " + seen);
    }

    InetSocketAddress address() {
        return address;
    }

    long pid() {
        return process.pid();
    }

    /** Returns the resources used so far; {@code objects} requires a walk through the heap. */
    Usage usage(boolean objects) throws IOException {
        stdin.println("usage");
        String[] fields = await(NodeProbe.ANSWER_PREFIX)
                .substring(NodeProbe.ANSWER_PREFIX.length())
                .split(" ");
        long[] values = new long[9]; // in the order in which NodeProbe prints them
        for (int i = 0; i < values.length; i++) {
            values[i] = Long.parseLong(fields[i]);
        }
        long objectCount = 0;
        if (objects) {
            stdin.println("objects");
            objectCount = Long.parseLong(await(NodeProbe.ANSWER_PREFIX).substring(NodeProbe.ANSWER_PREFIX.length()));
        }
        return new Usage(
                values[0],
                values[1],
                values[2],
                values[3],
                values[4],
                values[5],
                values[6],
                values[7],
                values[8],
                objectCount);
    }

    /**
     * Returns the node's resident memory in KiB, read from outside the process: a query from within would add to it.
     */
    long residentKib() throws IOException {
        return NodeProbe.kernelCounter(Path.of("/proc/" + process.pid() + "/status"), "VmRSS");
    }

    /** Returns the bytes that the node has read so far, read from outside the process. */
    long bytesRead() throws IOException {
        return NodeProbe.kernelCounter(Path.of("/proc/" + process.pid() + "/io"), "rchar");
    }

    /** Returns the node's current number of threads. */
    int threads() throws IOException {
        try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            return (int) tasks.count();
        }
    }

    /** Returns one line for each class, with the instances and bytes ever allocated. */
    List<String> classHistogram() throws IOException {
        stdin.println("classes");
        List<String> lines = new ArrayList<>();
        for (String line = stdout.readLine();
                line != null && !line.startsWith(NodeProbe.ANSWER_PREFIX);
                line = stdout.readLine()) {
            lines.add(line);
        }
        return lines;
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(config);
    }
}
