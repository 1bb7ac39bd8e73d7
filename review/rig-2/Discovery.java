import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery, with an address for each node so that it knows who asks. It handles calls one after another; one that has
 * waited its turn for 3 s gets 503. A watch that is handled waits for a change without occupying discovery. While
 * {@link #crowd} is on, other callers stand in the queue too: each calls again as soon as its call has ended.
 */
final class Discovery {
    private static final long CALL_TIMEOUT_MS = 3000;

    private static final class Turn {
        final double since = Lab.now();
        final boolean other;
        boolean handled;
        boolean refused;

        Turn(boolean other) {
            this.other = other;
        }
    }

    private final Workers workers;
    final int[] ports;
    private final ArrayDeque<Turn> queue = new ArrayDeque<>();
    private final Map<String, String> states = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final Map<String, Long> sinceMs = new LinkedHashMap<>();
    private long version = 1;
    private double[] toldAt;
    private long toldVersion = Long.MAX_VALUE;
    private int othersHandled;
    private volatile long serviceMs = 2;

    Discovery(Workers workers, int nodes) throws IOException {
        this.workers = workers;
        this.ports = new int[nodes];
        this.toldAt = new double[nodes];
        for (int node = 0; node < nodes; node++) {
            ServerSocket listener = Lab.listen(0);
            ports[node] = listener.getLocalPort();
            int caller = node;
            Lab.thread("discovery", () -> {
                while (true) {
                    Socket accepted = listener.accept();
                    Lab.thread("discovery call", () -> serve(caller, accepted));
                }
            });
        }
        Lab.thread("discovery turns", this::handleInTurn);
    }

    /** Lists a worker with a state from now on; returns the version. */
    synchronized long set(String worker, String state, long startedMs) {
        if (states.put(worker, state) != null || version > 1) {
            version++;
        }
        sinceMs.put(worker, startedMs);
        changedAt.put(worker, version);
        Lab.log("discovery: " + worker + " is " + state + ", version " + version);
        notifyAll();
        return version;
    }

    /** When each node was written an answer with this version or a later one; 0 for not yet. Set before the change. */
    synchronized void noteTold(long ofVersion) {
        toldVersion = ofVersion;
    }

    synchronized double toldAt(int node) {
        return toldAt[node];
    }

    synchronized long version() {
        return version;
    }

    synchronized int othersHandled() {
        return othersHandled;
    }

    /** So many other callers from now on, each call taking discovery this long. */
    synchronized void crowd(int callers, long eachMs) {
        serviceMs = eachMs;
        Lab.log("discovery: " + callers + " other callers, " + eachMs + " ms a call");
        for (int i = 0; i < callers; i++) {
            queue.add(new Turn(true));
        }
        notifyAll();
    }

    /** The other callers are gone. */
    synchronized void calm() {
        serviceMs = 2;
        queue.removeIf(turn -> turn.other);
        Lab.log("discovery: the other callers are gone");
        notifyAll();
    }

    private int handleInTurn() throws InterruptedException {
        while (true) {
            long workMs;
            synchronized (this) {
                List<Turn> again = new ArrayList<>();
                while (!queue.isEmpty() && Lab.now() - queue.peek().since >= CALL_TIMEOUT_MS) {
                    Turn late = queue.poll();
                    late.refused = true;
                    again.add(late);
                }
                again.forEach(this::callAgain);
                notifyAll();
                if (queue.isEmpty()) {
                    wait(20);
                    continue;
                }
                workMs = serviceMs;
            }
            Thread.sleep(workMs);
            synchronized (this) {
                Turn next = queue.poll();
                if (next != null) {
                    next.handled = true;
                    othersHandled += next.other ? 1 : 0;
                    callAgain(next);
                    notifyAll();
                }
            }
        }
    }

    private void callAgain(Turn turn) {
        if (turn.other) {
            queue.add(new Turn(true));
        }
    }

    /** Waits for a call's turn; false if it waited too long. */
    private synchronized boolean awaitTurn() throws InterruptedException {
        Turn turn = new Turn(false);
        queue.add(turn);
        notifyAll();
        while (!turn.handled && !turn.refused) {
            if (Lab.now() - turn.since >= CALL_TIMEOUT_MS) {
                queue.remove(turn);
                return false;
            }
            wait(10);
        }
        return turn.handled;
    }

    private int serve(int caller, Socket accepted) throws Exception {
        try (Lab.Http http = new Lab.Http(accepted)) {
            for (Lab.Message call = http.receiveOrEnd(); call != null; call = http.receiveOrEnd()) {
                String target = call.target();
                long since = parameter(target, "since", -1);
                long waitMs = Math.min(60_000, parameter(target, "timeout_ms", 0));
                if (!awaitTurn()) {
                    Lab.log("discovery: 503 to n" + caller + ", it waited too long, " + target);
                    http.send(Lab.response(503, ""));
                    continue;
                }
                String body;
                long answered;
                synchronized (this) {
                    for (double end = Lab.now() + waitMs; since >= version && Lab.now() < end; ) {
                        wait(Math.max(1, (long) (end - Lab.now())));
                    }
                    body = list(caller, since);
                    answered = version;
                }
                http.send(Lab.response(200, body));
                synchronized (this) {
                    if (answered >= toldVersion && toldAt[caller] == 0) {
                        toldAt[caller] = Lab.now();
                        Lab.log("discovery: n" + caller + " is told version " + answered);
                    }
                }
            }
        }
        return 0;
    }

    private String list(int node, long since) {
        StringBuilder to = new StringBuilder();
        states.forEach((worker, state) -> {
            if (changedAt.get(worker) > since && !(since < 0 && state.equals("left"))) {
                to.append(to.length() == 0 ? "" : ",")
                        .append("{\"name\":\"" + worker + "\",\"address\":\"127.0.0.1:"
                                + workers.workers.get(worker).ports[node] + "\",\"zone\":\"almaty-1\",\"type\":\"k3-16\","
                                + "\"group\":0,\"status\":\"" + state + "\",\"weight\":1.0,\"since_ms\":"
                                + sinceMs.get(worker) + "}");
            }
        });
        return "{\"index\":" + version + ",\"snapshot\":" + (since < 0) + ",\"endpoints\":[" + to + "]}";
    }

    private static long parameter(String target, String name, long otherwise) {
        int at = target.indexOf(name + "=");
        return at < 0 ? otherwise : Long.parseLong(target.substring(at + name.length() + 1).split("&")[0]);
    }
}
