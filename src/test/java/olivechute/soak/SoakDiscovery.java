package olivechute.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import olivechute.http.MessageWriter;

/** A stub of discovery for one node: watches, endpoint changes, and faults as the scenario says. Thread-safe. */
final class SoakDiscovery implements AutoCloseable {
    private static final long ASSUMED_NOTIFIED_AFTER_US = 6_000_000;
    private static final int MAX_WAIT_MILLIS = 60_000;
    private static final long SILENCE_MILLIS = 20_000;

    private record EndpointChange(int index, String server, boolean takes, long atUs) {}

    private final String node;
    private final SoakServers servers;
    private final History history;
    private final double faultRate;
    private final SplittableRandom random;
    private final SoakListener first;
    private final SoakListener second;
    private final TreeMap<String, Boolean> activeByServer = new TreeMap<>();
    private final List<EndpointChange> changes = new ArrayList<>();
    private final Set<EndpointChange> written = new HashSet<>();
    private int index = 1;
    private long reachableSinceUs = History.nowUs();
    private boolean down;
    private boolean stopped;

    SoakDiscovery(String node, SoakServers servers, History history, SoakScenario scenario) {
        this.node = node;
        this.servers = servers;
        this.history = history;
        this.faultRate = scenario.discoveryFaultRate();
        this.random = new SplittableRandom(scenario.seed() + node.hashCode());
        for (int i = 0; i < SoakServers.COUNT; i++) {
            activeByServer.put("w" + i, true);
        }
        first = new SoakListener("discovery", handler());
        second = new SoakListener("discovery-2", handler());
    }

    private SoakListener.Handler handler() {
        return new SoakListener.Handler() {
            @Override
            public void handle(SoakListener.Exchange exchange) throws IOException, InterruptedException {
                SoakDiscovery.this.handle(exchange);
            }

            @Override
            public boolean accepts() {
                return !isDown();
            }
        };
    }

    private synchronized boolean isDown() {
        return down;
    }

    String address(boolean moved) {
        return moved ? second.text() : first.text();
    }

    /** Closes the first address: the node must use the second one by now. */
    void closeFirst() {
        first.close();
    }

    /** Returns the endpoint entries of the initial configuration, before any change. */
    synchronized String known() {
        StringBuilder entries = new StringBuilder();
        activeByServer.keySet().forEach(server -> append(entries, server, true));
        return entries.toString();
    }

    /** Sets whether a server accepts new requests or drains. */
    synchronized void change(String server, boolean takesNow) {
        activeByServer.put(server, takesNow);
        index++;
        changes.add(new EndpointChange(index, server, takesNow, History.nowUs()));
        notifyAll();
    }

    synchronized void down(boolean now) {
        down = now;
        if (now) {
            first.resetAll();
            second.resetAll();
        } else {
            reachableSinceUs = History.nowUs();
        }
        notifyAll();
    }

    private void handle(SoakListener.Exchange exchange) throws IOException, InterruptedException {
        String since = exchange.request().queryParameter("since");
        int heldIndex = since == null ? -1 : Integer.parseInt(since);
        String wait = exchange.request().queryParameter("timeout_ms");
        long endUs = History.nowUs() + 1000L * (wait == null ? 0 : Math.min(MAX_WAIT_MILLIS, Integer.parseInt(wait)));
        String body;
        int sentIndex;
        double draw;
        synchronized (this) {
            while (heldIndex == index && !stopped && !down && History.nowUs() < endUs) {
                wait(Math.max(1, (endUs - History.nowUs()) / 1000));
            }
            draw = random.nextDouble();
            sentIndex = index;
            boolean snapshot = heldIndex < 0 || heldIndex > index;
            body = "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                    + entries(snapshot ? 0 : heldIndex) + "]}";
        }
        // Each of four faults takes a quarter of the fault rate.
        if (draw < faultRate / 4) {
            exchange.reply(MessageWriter.response(503, new byte[0], true));
            return;
        }
        if (draw < faultRate / 2) {
            exchange.reset();
            return;
        }
        byte[] answer = MessageWriter.response(200, body.getBytes(StandardCharsets.UTF_8), true);
        if (draw < 3 * faultRate / 4) {
            byte[] part = new byte[answer.length / 2];
            System.arraycopy(answer, 0, part, 0, part.length);
            exchange.reply(part);
            exchange.reset();
            return;
        }
        if (draw < faultRate) {
            Thread.sleep(SILENCE_MILLIS);
            return;
        }
        exchange.reply(answer);
        recordNotices(heldIndex, sentIndex);
    }

    /** Records changes as notified once the response that contains them was written. */
    private synchronized void recordNotices(int heldIndex, int sentIndex) {
        long now = History.nowUs();
        for (EndpointChange change : changes) {
            if (change.index > heldIndex && change.index <= sentIndex) {
                written.add(change);
                history.add(new History.Notice(node, change.server, change.takes, now));
            }
        }
    }

    /** Records changes that were never written to the node as notified some time after it could have received them. */
    synchronized void recordMissingNotices() {
        for (EndpointChange change : changes) {
            if (written.contains(change)) {
                continue;
            }
            long at = Math.max(change.atUs, reachableSinceUs) + ASSUMED_NOTIFIED_AFTER_US;
            history.add(new History.Notice(node, change.server, change.takes, at));
        }
    }

    /** Returns all entries, or those that changed since. */
    private String entries(int since) {
        StringBuilder entries = new StringBuilder();
        activeByServer.forEach((server, takesNow) -> {
            boolean changed = since == 0 || changes.stream().anyMatch(c -> c.index > since && c.server.equals(server));
            if (changed) {
                append(entries, server, takesNow);
            }
        });
        return entries.toString();
    }

    private void append(StringBuilder entries, String server, boolean takesNow) {
        entries.append(entries.length() == 0 ? "" : ",")
                .append("\n  {\"name\":\"")
                .append(server)
                .append("\",\"address\":\"")
                .append(servers.address(node, server))
                .append("\",\"zone\":\"a\",\"type\":\"k\",\"group\":0,\"status\":\"")
                .append(takesNow ? "active" : "leaving")
                .append("\",\"weight\":1.0,\"since_ms\":0}");
    }

    @Override
    public void close() {
        synchronized (this) {
            stopped = true;
            notifyAll();
        }
        first.close();
        second.close();
    }
}
