import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, processes of the program by the command `run` of the deploy file, free ports, and
 * small HTTP messages. All times are milliseconds since the start of the case.
 */
final class Lab {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static Path folder;
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final Random RANDOM = new Random();

    private Lab() {}

    /** A case: returns one of the three exit codes. */
    interface Case {
        int run() throws Exception;
    }

    /** Runs a case with a record, ends all processes and exits. */
    static void main(String recordFile, Case body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("olivechute-case");
        Runtime.getRuntime().addShutdownHook(new Thread(Lab::end));
        log("disruption: " + (TROUBLE ? "yes" : "no"));
        int code = COULD_NOT_RUN;
        try {
            code = body.run();
        } catch (Throwable e) {
            log("could not run: " + e);
        }
        log("exit " + code + (code == HELD ? ": the rule held" : code == BROKEN ? ": the rule was broken" : ": could not run"));
        System.out.println("exit " + code);
        System.exit(code);
    }

    private static void end() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        try {
            for (Process process : PROCESSES) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        } catch (IOException | InterruptedException e) {
            // the folder is temporary
        }
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void log(String line) {
        record.println(String.format(Locale.ROOT, "%9.1f %s", now(), line));
    }

    static void sleepUntil(double ms) throws InterruptedException {
        long left = (long) (ms - now());
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    static Thread thread(String name, Case task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // a connection ended, or the case did
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A free port below those that the system gives to connections, one of which could take it before its user does. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + RANDOM.nextInt(18_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (BindException taken) {
                // another one
            }
        }
        throw new IOException("no free port");
    }

    static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress("127.0.0.1", port), 512);
        return socket;
    }

    /** Starts a node by the command of the deploy file, without waiting for it. */
    static Process startNode(String name, int port, int discoveryPort, String configuration, Map<String, String> more)
            throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        Path config = Files.writeString(folder.resolve(name + ".json"), configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().putAll(Map.of(
                "LB_NAME", name,
                "LB_LISTEN", "127.0.0.1:" + port,
                "LB_DISCOVERY", "127.0.0.1:" + discoveryPort,
                "LB_CONFIG", config.toString(),
                "TMPDIR", Files.createDirectories(folder.resolve(name + ".tmp")).toString()));
        builder.environment().putAll(more);
        File log = folder.resolve(name + ".log").toFile();
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
        PROCESSES.add(process);
        log("node " + name + " starts at port " + port + ", process " + process.pid());
        return process;
    }

    /** Waits until a node answers its readiness check with 200. */
    static void awaitReady(Process process, int port) throws Exception {
        for (double end = now() + 30_000; now() < end; Thread.sleep(50)) {
            if (!process.isAlive()) {
                throw new IOException("the node ended with " + process.exitValue());
            }
            try (Http http = new Http(port)) {
                http.send("GET /health/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
                if (http.receive().status() == 200) {
                    log("node at port " + port + " is ready");
                    return;
                }
            } catch (IOException notYet) {
                // asked again
            }
        }
        throw new IOException("no node was ready in time");
    }

    /** Copies what a node logged into the record, as far as a line contains one of these texts. */
    static void copyLog(String name, String... texts) throws IOException {
        for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
            for (String text : texts) {
                if (line.contains(text)) {
                    log("log of " + name + ": " + line.strip());
                    break;
                }
            }
        }
    }

    /** A message: its start line, its fields in lower case, its body, and when its first and last byte were read. */
    record Message(String start, Map<String, String> fields, byte[] body, double firstByteAt, double lastByteAt) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(fields.get("connection"));
        }
    }

    /** One connection, as a client or as a server. */
    static final class Http implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Http(int port) throws IOException {
            this(connect(port));
        }

        Http(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        private static Socket connect(int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            return socket;
        }

        synchronized void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Reads a message; null if the connection ended before it began. */
        Message receiveOrEnd() throws IOException {
            int first = in.read();
            if (first < 0) {
                return null;
            }
            double firstByteAt = now();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            for (int b = first; ; b = in.read()) {
                if (b < 0) {
                    throw new EOFException("ended in a head");
                }
                head.write(b);
                if (b == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                    break;
                }
            }
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
            Map<String, String> fields = new LinkedHashMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                fields.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
            return new Message(lines[0], fields, body, firstByteAt, now());
        }

        Message receive() throws IOException {
            Message message = receiveOrEnd();
            if (message == null) {
                throw new EOFException("ended without a message");
            }
            return message;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed all the same
            }
        }
    }

    static String response(int status, String body) {
        return "HTTP/1.1 " + status + " Status\r\n"
                + (status == 204 ? "" : "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n")
                + "\r\n" + (status == 204 ? "" : body);
    }
}
