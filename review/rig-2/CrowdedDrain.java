import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Case 6: a sign worker begins to drain while discovery has too many callers. */
final class CrowdedDrain {
    private static final int NODES = 3;
    private static final int WORKERS = 9;
    private static final int OTHER_CALLERS = 60;
    private static final long CALL_MS = 1000;
    private static final double TOLD_AT_THE_LATEST_MS = 6000;
    private static final double GRACE_MS = 500 + 50; // rules.drain_grace, and the 50 ms of the rules on sockets

    private CrowdedDrain() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args[0], CrowdedDrain::run);
    }

    private static int run() throws Exception {
        int[] nodePorts = new int[NODES];
        for (int i = 0; i < NODES; i++) {
            nodePorts[i] = Lab.freePort();
        }
        Workers workers = new Workers(nodePorts, 5000, job -> 250);
        Discovery discovery = new Discovery(workers, NODES);
        for (int i = 0; i < WORKERS; i++) {
            workers.add("s-" + i, 3);
            discovery.set("s-" + i, "active", 0);
        }
        List<Process> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(Lab.startNode("n" + i, nodePorts[i], discovery.ports[i], Settings.dala(NODES, ""),
                    Map.of("OLIVECHUTE_LOG_LEVEL", "debug")));
        }
        List<Clients> clients = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Lab.awaitReady(nodes.get(i), nodePorts[i]);
            clients.add(new Clients(nodePorts[i]));
            clients.get(i).steady(15, "steppe-aid");
        }
        double start = Lab.now() + 4000;
        Lab.sleepUntil(start);
        discovery.noteTold(discovery.version() + 1);
        if (Lab.TROUBLE) {
            discovery.crowd(OTHER_CALLERS, CALL_MS);
        }
        Lab.sleepUntil(start + 3500); // by now every watch that was handled before has ended
        int handledBefore = discovery.othersHandled();
        double changedAt = Lab.now();
        discovery.set("s-0", "leaving", 0);
        Lab.sleepUntil(start + 16_000);
        int handledMeanwhile = discovery.othersHandled() - handledBefore;
        discovery.calm();
        Lab.sleepUntil(start + 20_000);
        clients.forEach(c -> c.ended = true);
        Thread.sleep(1500);

        Lab.log("discovery answered " + handledMeanwhile + " other callers after the change");
        if (Lab.TROUBLE && handledMeanwhile == 0) {
            return Lab.COULD_NOT_RUN;
        }
        long before = workers.arrivals.stream().filter(a -> a.worker().equals("s-0") && a.at() < changedAt).count();
        if (before < NODES) {
            Lab.log("s-0 got too few requests before the change: " + before);
            return Lab.COULD_NOT_RUN;
        }
        int late = 0;
        for (int i = 0; i < NODES; i++) {
            double answered = discovery.toldAt(i);
            double told = Math.min(answered == 0 ? Double.MAX_VALUE : answered, changedAt + TOLD_AT_THE_LATEST_MS);
            int node = i;
            int count = 0;
            for (Workers.Arrival a : workers.arrivals) {
                if (a.node() == node && a.worker().equals("s-0") && a.at() > told + GRACE_MS) {
                    count++;
                    Lab.log(String.format("BROKEN n%d sent %s to s-0 %.0f ms after it was told", i, a.id(), a.at() - told));
                }
            }
            Lab.log(String.format(
                    "n%d counts as told %.0f ms after the change (answered: %s); sent to s-0 after the grace: %d",
                    i, told - changedAt, answered == 0 ? "never" : String.format("%.0f ms", answered - changedAt), count));
            late += count;
        }
        return late > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
