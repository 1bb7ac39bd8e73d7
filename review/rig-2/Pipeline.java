import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case 7: a client sends many commands at once on one connection. */
final class Pipeline {
    private static final int NODES = 3;
    private static final int WORKERS = 9;
    private static final int COMMANDS = 30;
    private static final long REMAINING_MS = 5000;
    private static final double LATE_MS = 500; // up to so long after its time an answer only earns nothing
    private static final double SOCKETS_MS = 50;
    private static final double TOLD_SLACK_MS = 150;

    private Pipeline() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args[0], Pipeline::run);
    }

    private static int run() throws Exception {
        int[] nodePorts = new int[NODES];
        for (int i = 0; i < NODES; i++) {
            nodePorts[i] = Lab.freePort();
        }
        Workers workers = new Workers(nodePorts, 5000, job -> 300);
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
        Thread.sleep(4000);
        Map<String, double[]> calls = new LinkedHashMap<>(); // when sent, when answered, status
        if (Lab.TROUBLE) {
            StringBuilder commands = new StringBuilder();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < COMMANDS; i++) {
                ids.add(Clients.freshId());
                commands.append(Clients.request("verify", "steppe-aid", ids.get(i), REMAINING_MS, ""));
            }
            try (Lab.Http http = new Lab.Http(nodePorts[0])) {
                http.socket.setSoTimeout(30_000);
                http.send(commands.toString());
                double sentAt = Lab.now();
                ids.forEach(id -> calls.put(id, new double[] {sentAt, 0, 0}));
                Lab.log("sent " + COMMANDS + " commands at once on one connection");
                for (String id : ids) {
                    answer(id, http, calls);
                }
            } catch (IOException e) {
                Lab.log("the connection of the commands ended: " + e);
            }
        } else {
            // The same commands, each on the connection once the one before is answered, as clients do.
            try (Lab.Http http = new Lab.Http(nodePorts[0])) {
                http.socket.setSoTimeout(30_000);
                for (int i = 0; i < COMMANDS; i++) {
                    String id = Clients.freshId();
                    http.send(Clients.request("verify", "steppe-aid", id, REMAINING_MS, ""));
                    calls.put(id, new double[] {Lab.now(), 0, 0});
                    answer(id, http, calls);
                }
            }
        }
        int late = 0;
        int served = 0;
        int told = 0;
        for (Map.Entry<String, double[]> call : calls.entrySet()) {
            double[] times = call.getValue();
            served += times[2] == 200 ? 1 : 0;
            // An answer that never came is not counted here: the client sends it again on a new connection.
            if (times[1] > times[0] + REMAINING_MS + LATE_MS + SOCKETS_MS) {
                late++;
                Lab.log(String.format(
                        "BROKEN %s answered %.0f after %.0f ms, %d ms were its time",
                        call.getKey(), times[2], times[1] - times[0], REMAINING_MS));
            }
            for (Workers.Arrival a : workers.arrivals) {
                if (a.id().equals(call.getKey())) {
                    double leftMs = times[0] + REMAINING_MS - a.at();
                    double toldMs = a.remaining().endsWith("u")
                            ? Long.parseLong(a.remaining().replace("u", "")) / 1000.0
                            : Long.parseLong(a.remaining().replace("m", ""));
                    if (toldMs > Math.max(0, leftMs) + TOLD_SLACK_MS) {
                        told++;
                        Lab.log(String.format(
                                "attempt of %s tells %.0f ms, %.0f ms were left to the client", a.id(), toldMs, leftMs));
                    }
                }
            }
        }
        Lab.log("of " + calls.size() + " commands " + served + " were served; late by over half a second: " + late
                + "; attempts that told more time than was left: " + told);
        return late > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static void answer(String id, Lab.Http http, Map<String, double[]> calls) throws IOException {
        Lab.Message answer = http.receive();
        calls.get(id)[1] = Lab.now();
        calls.get(id)[2] = answer.status();
        Lab.log("answered " + id + " " + answer.status());
    }
}
