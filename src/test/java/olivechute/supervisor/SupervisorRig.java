package olivechute.supervisor;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.Order;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rig.Ports;
import olivechute.store.Store;

/** Provides a machine's directory, the jar of the fake node, free addresses, and waits that fail on timeout. */
@SuppressWarnings("LiteProtoToString") // printed only when a check fails
final class SupervisorRig {
    static final String BASE_CONFIG = "{\"name\":\"x\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"mode\":\"well\"}}";
    private static final long TIMEOUT_MS = 20_000;

    final Path dir;
    final Path jar;
    final String firstAddress;
    final String secondAddress;
    final List<String> lines = new ArrayList<>();

    SupervisorRig(Path dir) throws IOException {
        this.dir = dir;
        jar = jar(dir.resolve("stand-in.jar"));
        Files.writeString(dir.resolve("base.json"), BASE_CONFIG);
        firstAddress = Ports.hostAndPort(Ports.free());
        secondAddress = Ports.hostAndPort(Ports.free());
    }

    private static Path jar(Path file) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, StandInNode.class.getName());
        String name = StandInNode.class.getName().replace('.', '/') + ".class";
        try (OutputStream out = Files.newOutputStream(file);
                JarOutputStream jar = new JarOutputStream(out, manifest);
                InputStream in = StandInNode.class.getResourceAsStream("StandInNode.class")) {
            jar.putNextEntry(new JarEntry(name));
            in.transferTo(jar);
        }
        return file;
    }

    /** Returns settings with the fake node as the program and one node n, at one address or two. */
    String settings(boolean twoAddresses, String extra) {
        return "machine = m, zone = z, folder = \"" + dir.resolve("run") + "\", figures = \"127.0.0.1:0\"\n"
                + "store { replicas = [{ id = a, address = \"127.0.0.1:1\" }], lease = 2s }\n"
                + "program { jar = \"" + jar + "\", java = [java, -Xmx32m, \"-XX:TieredStopAtLevel=1\"] }\n"
                + "nodes = [{ name = n, config = \"" + dir.resolve("base.json") + "\", listen = \"" + firstAddress
                + "\""
                + (twoAddresses ? ", second = \"" + secondAddress + "\"" : "") + ", version = v1 }]\n" + extra;
    }

    void addLine(String line) {
        synchronized (lines) {
            lines.add(line);
            lines.notifyAll();
        }
    }

    /** Waits for a line with this prefix, the first after so many lines; returns its index. */
    int awaitLine(int after, String prefix) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        synchronized (lines) {
            while (true) {
                for (int i = after; i < lines.size(); i++) {
                    if (lines.get(i).startsWith(prefix)) {
                        return i;
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new AssertionError("no line '" + prefix + "' after " + after + " in " + lines);
                }
                lines.wait(left);
            }
        }
    }

    int lineCount() {
        synchronized (lines) {
            return lines.size();
        }
    }

    /** Returns the number of lines so far with this prefix. */
    long count(String prefix) {
        synchronized (lines) {
            return lines.stream().filter(l -> l.startsWith(prefix)).count();
        }
    }

    static void putVersion(Store store, String id, String settings) throws Exception {
        VersionSpec spec =
                VersionSpec.newBuilder().setId(id).setSettings(settings).build();
        store.write(List.of(Store.Write.put("version/" + id, spec.toByteArray())), List.of());
    }

    static void putOrder(Store store, String version, long number) throws Exception {
        Order order = Order.newBuilder()
                .setNode("n")
                .setVersion(version)
                .setNumber(number)
                .build();
        store.write(List.of(Store.Write.put("order/n", order.toByteArray())), List.of());
    }

    /** Waits for a report of the node that meets the condition. */
    static NodeState awaitReport(Store store, Predicate<NodeState> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        long since = 0;
        NodeState state = NodeState.getDefaultInstance();
        do {
            Optional<Store.Entry> entry = store.get("machine/m");
            if (entry.isPresent()) {
                state = MachineReport.parseFrom(entry.get().value()).getNodes(0);
                if (condition.test(state)) {
                    return state;
                }
                since = entry.get().version();
            }
            store.watch("machine/m", since, Duration.ofSeconds(1));
        } while (System.nanoTime() < end);
        throw new AssertionError("condition not met in time, last state: " + state);
    }

    /** Returns the body that an address answers, as VERSION PID for the fake node; empty if nothing answers. */
    static String get(String address, String path) throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setSoTimeout((int) TIMEOUT_MS);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                    .replaceFirst("(?s).*\r\n\r\n", "");
        } catch (java.net.SocketException e) {
            return "";
        }
    }
}
