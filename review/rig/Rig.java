import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs one case: writes the record, starts the project's nodes by `run` of the deploy file, and ends all that it
 * started. The platform's discovery is here too.
 */
final class Rig implements AutoCloseable {
    /** Whether the disruption happens; false if a script was called with TROUBLE=0. */
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble", "1"));

    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    final Path folder;
    private final List<Process> processes = new ArrayList<>();

    Rig(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("olivechute-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        log("trouble: " + (TROUBLE ? "yes" : "no"));
    }

    /** Writes a line to the record, with the milliseconds since the start. */
    synchronized void log(String line) {
        record.printf("%7.1f %s%n", (System.nanoTime() - startedNanos) / 1e6, line);
    }

    /** The command `run` of the deploy file. */
    static String runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        return run.group(1);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    /** Starts a node and returns once it is ready. */
    Process node(String name, int port, int discoveryPort, String configuration) throws Exception {
        return node(name, port, discoveryPort, configuration, Map.of());
    }

    /** Starts a node with further environment variables and returns once it is ready. */
    Process node(String name, int port, int discoveryPort, String configuration, Map<String, String> variables)
            throws Exception {
        return node(name, port, discoveryPort, configuration, variables, () -> status(port) == 200);
    }

    /** Starts a node that is ready once the check says so. */
    Process node(
            String name,
            int port,
            int discoveryPort,
            String configuration,
            Map<String, String> variables,
            BooleanSupplier ready)
            throws Exception {
        Path config = Files.writeString(folder.resolve(name + ".json"), configuration);
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        if (ignoresHangup()) {
            // Passed on to the node, this would keep it from reading its settings again.
            builder.command().addAll(0, List.of("env", "--default-signal=HUP"));
        }
        builder.environment().putAll(Map.of(
                "LB_NAME", name,
                "LB_LISTEN", "127.0.0.1:" + port,
                "LB_DISCOVERY", "127.0.0.1:" + discoveryPort,
                "LB_CONFIG", config.toString(),
                "TMPDIR", temporary.toString()));
        builder.environment().putAll(variables);
        if (System.getenv("NODE_LOG_LEVEL") != null) {
            builder.environment().put("OLIVECHUTE_LOG_LEVEL", System.getenv("NODE_LOG_LEVEL"));
        }
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        processes.add(process);
        log("node " + name + " starts, process " + process.pid());
        for (long end = System.nanoTime() + 30_000_000_000L; System.nanoTime() < end; Thread.sleep(50)) {
            if (!process.isAlive()) {
                throw new IOException("node " + name + " ended: " + Files.readString(log.toPath()));
            }
            if (ready.getAsBoolean()) {
                log("node " + name + " is ready");
                return process;
            }
        }
        throw new IOException("node " + name + " is not ready within 30 s");
    }

    /** Whether this process was started with SIGHUP ignored, as by nohup. */
    private static boolean ignoresHangup() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("SigIgn:")) {
                return (Long.parseUnsignedLong(line.substring(7).strip(), 16) & 1) != 0;
            }
        }
        return false;
    }

    private static int status(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(2000);
            Http.write(socket, "GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Copies a node's log into the record. */
    void logOf(String name) throws IOException {
        for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
            log("log of " + name + ": " + line);
        }
    }

    /** Waits until a line of a node's log holds a text; false if none does within 5 s. */
    boolean awaitLog(String name, String text) throws Exception {
        for (int i = 0; i < 100; i++) {
            if (Files.readString(folder.resolve(name + ".log")).contains(text)) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Runs a command of the project's program to its end. */
    void command(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/olivechute.jar"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("command.log").toFile()).start();
        processes.add(process);
        if (!process.waitFor(30, TimeUnit.SECONDS) || process.exitValue() != 0) {
            throw new IOException(String.join(" ", command) + ": " + Files.readString(folder.resolve("command.log")));
        }
    }

    /** Starts a command of the project's program that goes on until the case ends. */
    Process background(String name, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", "target/olivechute.jar"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve(name + ".log").toFile()).start();
        processes.add(process);
        log(name + " starts, process " + process.pid());
        return process;
    }

    void signal(Process process, String signal) throws Exception {
        log("signal " + signal + " to " + process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    private synchronized void end() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException e) {
                // Nothing is left to remove.
            }
        }
    }

    @Override
    public void close() {
        end();
        record.close();
    }

    /** Discovery: tells the whole list, and changes to those who watch. */
    static final class Discovery {
        private final Map<String, String> entries = new TreeMap<>();
        private final Map<String, Integer> versions = new TreeMap<>();
        private final ServerSocket listener;
        private int index;

        Discovery() throws IOException {
            listener = Http.serve(this::answer);
        }

        int port() {
            return listener.getLocalPort();
        }

        synchronized void put(String name, String zone, String kind, String address, String status, long sinceMs) {
            index++;
            entries.put(name, "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                    + "\",\"type\":\"" + kind + "\",\"group\":0,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}");
            versions.put(name, index);
            notifyAll();
        }

        private void answer(Http.Message request, Socket connection) throws IOException {
            Matcher watch = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+)").matcher(request.start());
            String body;
            synchronized (this) {
                int since = 0;
                if (watch.find()) {
                    since = Integer.parseInt(watch.group(1));
                    long end = System.nanoTime() + 1_000_000L * Long.parseLong(watch.group(2));
                    try {
                        for (long left = 1; since >= index && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
                            wait(left);
                        }
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                List<String> told = new ArrayList<>();
                for (Map.Entry<String, String> entry : entries.entrySet()) {
                    if (versions.get(entry.getKey()) > since) {
                        told.add(entry.getValue());
                    }
                }
                body = "{\"index\":" + index + ",\"snapshot\":" + (since == 0) + ",\"endpoints\":["
                        + String.join(",", told) + "]}";
            }
            Http.answer(connection, 200, body);
        }
    }

    /** A client with one connection. */
    static final class Client implements AutoCloseable {
        /** How long it waits for a late answer before it throws a SocketTimeoutException. */
        private static final int PATIENCE_MS = 1000;

        private final int port;
        private Socket socket;
        private InputStream in;
        private boolean written;

        Client(int port) {
            this.port = port;
        }

        /** Sends a job and returns the answer, or null if the connection ends without one. */
        Http.Message send(String path, String id, String tenant, int remainingMs, String key, String body)
                throws IOException {
            if (socket == null) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(remainingMs + PATIENCE_MS);
            written = false;
            Http.write(socket, "POST " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Org: " + tenant
                    + "\r\nX-Remaining: " + remainingMs + "m\r\n" + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                    + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
            written = true;
            Http.Message answer = Http.read(in);
            if (answer == null || "close".equals(answer.field("connection"))) {
                close();
            }
            return answer;
        }

        /** Whether the last request was written up to its last byte. */
        boolean hasWritten() {
            return written;
        }

        boolean isOpen() {
            return socket != null;
        }

        @Override
        public void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It has ended already.
            }
            socket = null;
        }
    }
}
