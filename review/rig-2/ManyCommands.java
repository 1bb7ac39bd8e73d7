import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Case 6: a client sends many commands with documents of 4 KB at once on one connection. */
final class ManyCommands {
    private static final int NODES = 3;
    private static final int WORKERS = 9;
    private static final int COMMANDS = 30;
    private static final int DOCUMENT_BYTES = 4096;
    private static final long REMAINING_MS = 5000;
    private static final double LATE_MS = 500; // up to so long after its time an answer only earns nothing

    private static final class Command {
        final String id = Clients.freshId();
        double sentAt; // its last byte, the first time
        int status;
        int cut; // how often its connection ended without an answer
    }

    private ManyCommands() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args[0], ManyCommands::run);
    }

    private static int run() throws Exception {
        int[] nodePorts = new int[NODES];
        for (int i = 0; i < NODES; i++) {
            nodePorts[i] = Lab.freePort();
        }
        Workers workers = new Workers(nodePorts, 5000, job -> 60);
        Discovery discovery = new Discovery(workers, NODES);
        for (int i = 0; i < WORKERS; i++) {
            workers.add("s-" + i, 3);
            discovery.set("s-" + i, "active", 0);
        }
        List<Process> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(Lab.startNode("n" + i, nodePorts[i], discovery.ports[i], Settings.dala(NODES, ""), Map.of()));
        }
        for (int i = 0; i < NODES; i++) {
            Lab.awaitReady(nodes.get(i), nodePorts[i]);
            new Clients(nodePorts[i]).steady(10, "steppe-aid");
        }
        Thread.sleep(3000);
        int lost = 0;
        int served = 0;
        int refusedOrFailed = 0;
        for (int round = 0; round < 5; round++) {
            List<Command> commands = new ArrayList<>();
            for (int i = 0; i < COMMANDS; i++) {
                commands.add(new Command());
            }
            if (Lab.TROUBLE) {
                // What was cut is sent once more on a new connection, as after a close that crosses an unread request.
                atOnce(nodePorts[0], commands);
                List<Command> again = commands.stream().filter(c -> c.status == 0).toList();
                if (!again.isEmpty()) {
                    atOnce(nodePorts[0], again);
                }
            } else {
                oneByOne(nodePorts[0], commands);
            }
            for (Command command : commands) {
                served += command.status == 200 ? 1 : 0;
                refusedOrFailed += command.status != 200 && command.status != 0 ? 1 : 0;
                if (command.status == 0) {
                    lost++;
                    long attempts = workers.arrivals.stream().filter(a -> a.id().equals(command.id)).count();
                    Lab.log("BROKEN " + command.id + " got no answer; connections that ended under it: " + command.cut
                            + "; attempts at workers: " + attempts);
                }
            }
        }
        Lab.log("of " + 5 * COMMANDS + " commands " + served + " were served, " + refusedOrFailed
                + " refused or failed, " + lost + " got no answer on two connections");
        return lost > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static String text(Command command) {
        double leftMs = command.sentAt == 0 ? REMAINING_MS : command.sentAt + REMAINING_MS - Lab.now();
        return Clients.request("verify", "steppe-aid", command.id, Math.max(1, (long) leftMs), "")
                .replace("Content-Length: 10\r\n\r\na document", "Content-Length: " + DOCUMENT_BYTES + "\r\n\r\n"
                        + "d".repeat(DOCUMENT_BYTES));
    }

    private static void atOnce(int port, List<Command> commands) throws Exception {
        StringBuilder all = new StringBuilder();
        commands.forEach(c -> all.append(text(c)));
        try (Lab.Http http = new Lab.Http(port)) {
            http.socket.setSoTimeout((int) (REMAINING_MS + LATE_MS));
            Lab.log("sends " + commands.size() + " commands, " + all.length() + " bytes, at once on one connection");
            http.send(all.toString());
            commands.forEach(c -> c.sentAt = c.sentAt == 0 ? Lab.now() : c.sentAt);
            Lab.log("all bytes are written");
            for (Command command : commands) {
                Lab.Message answer = http.receiveOrEnd();
                if (answer == null) {
                    Lab.log("the node has ended the connection in order (not by a reset), " + commands.stream()
                            .filter(c -> c.status == 0).count() + " commands without an answer");
                    break;
                }
                command.status = answer.status();
                Lab.log("answered " + command.id + " " + command.status + (answer.closes() ? ", Connection: close" : ""));
            }
        } catch (IOException e) {
            Lab.log("the connection of the commands ended: " + e);
        }
        commands.forEach(c -> c.cut += c.status == 0 ? 1 : 0);
    }

    private static void oneByOne(int port, List<Command> commands) throws IOException {
        try (Lab.Http http = new Lab.Http(port)) {
            http.socket.setSoTimeout((int) (REMAINING_MS + LATE_MS));
            for (Command command : commands) {
                http.send(text(command));
                command.sentAt = Lab.now();
                command.status = http.receive().status();
                Lab.log("answered " + command.id + " " + command.status);
            }
        }
    }
}
