package olivechute.supervisor;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import sun.misc.Signal;

/**
 * A fake node that runs as a process: it answers {@code /health/ready} and exits on SIGTERM. Words in its configuration
 * make it reject its settings ({@code "refuse"}), never become ready ({@code "never"}), crash on start
 * ({@code "break"}) or ignore SIGTERM ({@code "stay"}). {@code GET /break} makes it crash.
 */
public final class StandInNode {
    private StandInNode() {}

    public static void main(String[] args) throws IOException {
        String config = Files.readString(Path.of(System.getenv("LB_CONFIG")));
        if (config.contains("\"refuse\"")) {
            System.err.println("settings.profiles: missing, must be a list");
            System.exit(1);
        }
        if (config.contains("\"break\"")) {
            System.err.println("cannot go on");
            Runtime.getRuntime().halt(3);
        }
        if (config.contains("\"stay\"")) {
            Signal.handle(new Signal("TERM"), signal -> System.out.println("stays"));
        }
        Signal.handle(new Signal("HUP"), signal -> reload());
        String[] listen = System.getenv("LB_LISTEN").split(":");
        try (ServerSocket listener =
                new ServerSocket(Integer.parseInt(listen[1]), 50, InetAddress.getByName(listen[0]))) {
            System.out.println(System.getenv("LB_NAME") + " listens");
            while (true) {
                try (Socket socket = listener.accept()) {
                    String request = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                    if (request.startsWith("GET /break")) {
                        Runtime.getRuntime().halt(3);
                    }
                    socket.getOutputStream()
                            .write((config.contains("\"never\"")
                                            ? "HTTP/1.1 503 No\r\n\r\n"
                                            : "HTTP/1.1 200 OK\r\n\r\n" + System.getenv("OLIVECHUTE_VERSION") + " "
                                                    + ProcessHandle.current().pid())
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            }
        }
    }

    private static void reload() {
        try {
            String config = Files.readString(Path.of(System.getenv("LB_CONFIG")));
            System.out.println(
                    config.contains("\"discovery\":\"bad\"")
                            ? "ERROR configuration not changed: discovery: must be ADDRESS:PORT"
                            : "INFO configuration read again");
        } catch (IOException e) {
            System.out.println("configuration not changed: " + e);
        }
    }
}
