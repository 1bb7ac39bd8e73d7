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

/** A stand-in of discovery for one node: watches, changes, and trouble as a scenario says. */
final class Discovery implements AutoCloseable {
    private static final long NOTIFIED_AFTER_US = 6_000_000;
    private static final int MOST_WAIT_MILLIS = 60_000;
    private static final long SILENCE_MILLIS = 20_000;

    private record Change(int index, String server, boolean takes, long atUs) {}

    private final String node;
    private final Servers servers;
    private final History history;
    private final double trouble;
    private final SplittableRandom random;
    private final StandIn first;
    private final StandIn second;
    private final TreeMap<String, Boolean> takes = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<Change> written = new HashSet<>();
    private int index = 1;
    private long reachableSinceUs = History.nowUs();
    private boolean down;
    private boolean over;

    Discovery(String node, Servers servers, History history, Scenario scenario) {
        this.node = node;
        this.servers = servers;
        this.history = history;
        this.trouble = scenario.discoveryTrouble();
        this.random = new SplittableRandom(scenario.seed() + node.hashCode());
        for (int i = 0; i < Servers.COUNT; i++) {
            takes.put("w" + i, true);
        }
        first = new StandIn("discovery", handler());
        second = new StandIn("discovery-2", handler());
    }

    private StandIn.Handler handler() {
        return new StandIn.Handler() {
            @Override
            public void handle(StandIn.Exchange exchange) throws IOException, InterruptedException {
                Discovery.this.handle(exchange);
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

    /** The first address is closed: the node has to be at the second. */
    void closeFirst() {
        first.close();
    }

    /** Servers as a configuration knows them: as they were before any change. */
    synchronized String known() {
        StringBuilder entries = new StringBuilder();
        takes.keySet().forEach(server -> append(entries, server, true));
        return entries.toString();
    }

    /** From now on a server takes nothing new, or takes again. */
    synchronized void change(String server, boolean takesNow) {
        takes.put(server, takesNow);
        index++;
        changes.add(new Change(index, server, takesNow, History.nowUs()));
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

    private void handle(StandIn.Exchange exchange) throws IOException, InterruptedException {
        String since = exchange.request().queryParameter("since");
        int held = since == null ? -1 : Integer.parseInt(since);
        String wait = exchange.request().queryParameter("timeout_ms");
        long endUs = History.nowUs() + 1000L * (wait == null ? 0 : Math.min(MOST_WAIT_MILLIS, Integer.parseInt(wait)));
        String body;
        int told;
        double draw;
        synchronized (this) {
            while (held == index && !over && !down && History.nowUs() < endUs) {
                wait(Math.max(1, (endUs - History.nowUs()) / 1000));
            }
            draw = random.nextDouble();
            told = index;
            boolean whole = held < 0 || held > index;
            body = "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + entries(whole ? 0 : held)
                    + "]}";
        }
        if (draw < trouble / 4) {
            exchange.reply(MessageWriter.response(503, new byte[0], true));
            return;
        }
        if (draw < trouble / 2) {
            exchange.reset();
            return;
        }
        byte[] answer = MessageWriter.response(200, body.getBytes(StandardCharsets.UTF_8), true);
        if (draw < 3 * trouble / 4) {
            byte[] part = new byte[answer.length / 2];
            System.arraycopy(answer, 0, part, 0, part.length);
            exchange.reply(part);
            exchange.reset();
            return;
        }
        if (draw < trouble) {
            Thread.sleep(SILENCE_MILLIS);
            return;
        }
        exchange.reply(answer);
        notice(held, told);
    }

    /** What an answer tells counts as notified once it is written. */
    private synchronized void notice(int held, int told) {
        long now = History.nowUs();
        for (Change change : changes) {
            if (change.index > held && change.index <= told) {
                written.add(change);
                history.add(new History.Notice(node, change.server, change.takes, now));
            }
        }
    }

    /** What was never written to the node counts as notified all the same, some time after it could be. */
    synchronized void noticeAll() {
        for (Change change : changes) {
            if (written.contains(change)) {
                continue;
            }
            long at = Math.max(change.atUs, reachableSinceUs) + NOTIFIED_AFTER_US;
            history.add(new History.Notice(node, change.server, change.takes, at));
        }
    }

    /** All entries, or those that changed since. */
    private String entries(int since) {
        StringBuilder entries = new StringBuilder();
        takes.forEach((server, takesNow) -> {
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
            over = true;
            notifyAll();
        }
        first.close();
        second.close();
    }
}
