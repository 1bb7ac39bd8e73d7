package olivechute.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;
import olivechute.net.Threads;

/** Stubs of sign workers, with one listener for each node and server, that misbehave as the scenario says. */
@SuppressWarnings("FutureReturnValueIgnored") // the history records the outcome of each attempt
final class SoakServers implements AutoCloseable {
    static final int COUNT = 4;

    private static final int STATUS_TRIES = 10;
    private static final int STATUS_PAUSE_MILLIS = 60;
    private static final int STATUS_TIMEOUT_MILLIS = 1000;
    private static final int SHORT_DEADLINE_US = 50_000;
    private static final byte[] ACCEPTED = MessageWriter.response(202, new byte[0], true);
    private static final byte[] CANCELLED = MessageWriter.response(204, null, true);
    private static final byte[] FAILED = MessageWriter.response(500, new byte[0], true);
    private static final byte[] REJECTED = MessageWriter.response(503, new byte[0], true, "X-Turned-Away", "1");

    private enum Behaviour {
        SERVE,
        SERVE_AND_CLOSE,
        SERVE_BEFORE_ACCEPTING,
        ANSWER_TWICE,
        FAIL,
        FAIL_LATER,
        REJECT,
        RETURN_LATER,
        LOSE_LATER,
        RESET,
        STAY_SILENT,
        ACCEPT_AND_HANG
    }

    private final History history;
    private final SoakScenario scenario;
    private final SplittableRandom random;
    private final Map<String, InetSocketAddress> nodes;
    private final List<SoakListener> listeners = new ArrayList<>();
    private final Map<String, SoakListener> byNodeAndServer = new ConcurrentHashMap<>();
    private final Map<String, History.Attempt> openAttempts = new ConcurrentHashMap<>(); // by server and id
    private final Set<History.Attempt> accepted = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, SoakServers::daemon);
    private volatile boolean hang;

    SoakServers(History history, SoakScenario scenario, Map<String, InetSocketAddress> nodes) {
        this.history = history;
        this.scenario = scenario;
        this.nodes = nodes;
        this.random = new SplittableRandom(scenario.seed() + 1);
        for (String node : nodes.keySet()) {
            for (int i = 0; i < COUNT; i++) {
                String server = "w" + i;
                SoakListener listener = new SoakListener(server, new SoakListener.Handler() {
                    @Override
                    public void handle(SoakListener.Exchange exchange) throws IOException {
                        SoakServers.this.handle(node, server, exchange);
                    }

                    @Override
                    public void onEnd(SoakListener.Exchange last) {
                        SoakServers.this.onEnd(server, last);
                    }
                });
                listeners.add(listener);
                byNodeAndServer.put(node + " " + server, listener);
            }
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "soak-server");
        thread.setDaemon(true);
        return thread;
    }

    String address(String node, String server) {
        return byNodeAndServer.get(node + " " + server).text();
    }

    /** Sets whether most attempts hang, as on servers that hang throughout a shutdown. */
    void hang(boolean now) {
        hang = now;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private Behaviour behaviour() {
        if (hang && draw() < 0.7) {
            return draw() < 0.5 ? Behaviour.STAY_SILENT : Behaviour.ACCEPT_AND_HANG;
        }
        if (draw() >= scenario.serverFaultRate()) {
            return Behaviour.SERVE;
        }
        Behaviour[] all = Behaviour.values();
        return all[(int) (draw() * all.length)];
    }

    private void handle(String node, String server, SoakListener.Exchange exchange) throws IOException {
        HttpRequest request = exchange.request();
        if (request.method().equals("DELETE")) {
            History.Attempt cancelled =
                    openAttempts.get(server + " " + request.path().substring("/jobs/".length()));
            if (cancelled != null) {
                cancelled.end(History.AttemptEnd.GIVEN_UP);
            }
            exchange.reply(CANCELLED);
            return;
        }
        String id = request.headers().get("X-Txn");
        String remaining = request.headers().get("X-Remaining");
        History.Attempt attempt = new History.Attempt(
                id,
                request.path().substring(1),
                node,
                server,
                exchange.beganUs(),
                exchange.completeUs(),
                micros(remaining));
        history.add(attempt);
        openAttempts.put(server + " " + id, attempt);
        if (attempt.remainingUs < SHORT_DEADLINE_US && draw() < 0.5) {
            return; // dropped without a response, as so little time is left
        }
        answer(behaviour(), attempt, exchange);
    }

    /** Parses a remaining time: a number and its unit, u for microseconds or m for milliseconds. */
    private static long micros(String remaining) {
        long number = Long.parseLong(remaining.substring(0, remaining.length() - 1));
        return remaining.endsWith("u") ? number : number * 1000;
    }

    private void answer(Behaviour behaviour, History.Attempt attempt, SoakListener.Exchange exchange)
            throws IOException {
        switch (behaviour) {
            case SERVE -> {
                accept(attempt, exchange);
                scheduleFinish(attempt, History.AttemptEnd.DONE);
            }
            case SERVE_AND_CLOSE -> {
                accept(attempt, exchange);
                scheduleFinish(attempt, History.AttemptEnd.DONE);
                scheduler.schedule(() -> quietlyClose(exchange.socket()), (long) (40 * draw()), TimeUnit.MILLISECONDS);
            }
            case SERVE_BEFORE_ACCEPTING -> {
                scheduleFinish(attempt, History.AttemptEnd.DONE);
                scheduler.schedule(() -> accept(attempt, exchange), (long) (80 * draw()), TimeUnit.MILLISECONDS);
            }
            case ANSWER_TWICE -> {
                accept(attempt, exchange);
                scheduleFinish(attempt, History.AttemptEnd.DONE);
                scheduler.schedule(() -> accept(attempt, exchange), (long) (20 * draw()), TimeUnit.MILLISECONDS);
            }
            case FAIL -> {
                attempt.end(History.AttemptEnd.FAILED);
                exchange.reply(FAILED);
            }
            case REJECT -> {
                attempt.end(History.AttemptEnd.RETURNED);
                exchange.reply(REJECTED);
            }
            case FAIL_LATER, RETURN_LATER, LOSE_LATER -> {
                accept(attempt, exchange);
                scheduleFinish(
                        attempt,
                        behaviour == Behaviour.FAIL_LATER
                                ? History.AttemptEnd.FAILED
                                : behaviour == Behaviour.RETURN_LATER
                                        ? History.AttemptEnd.RETURNED
                                        : History.AttemptEnd.LOST);
            }
            case RESET -> {
                attempt.end(History.AttemptEnd.RESET);
                exchange.reset();
            }
            case ACCEPT_AND_HANG -> accept(attempt, exchange);
            case STAY_SILENT -> {
                return; // no response until the node cancels it
            }
        }
    }

    /** Answers 202, after which an attempt is cancelled by DELETE only. */
    private void accept(History.Attempt attempt, SoakListener.Exchange exchange) {
        accepted.add(attempt);
        try {
            exchange.reply(ACCEPTED);
        } catch (IOException ended) {
            attempt.end(History.AttemptEnd.GIVEN_UP);
        }
    }

    private static void quietlyClose(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    private void scheduleFinish(History.Attempt attempt, History.AttemptEnd end) {
        long durationMillis = (long) (4 + 60 * draw() * draw());
        scheduler.schedule(
                () -> Threads.start("soak-status", () -> finish(attempt, end)), durationMillis, TimeUnit.MILLISECONDS);
    }

    private void finish(History.Attempt attempt, History.AttemptEnd end) {
        if (!attempt.end(end)) {
            return; // cancelled before
        }
        String state =
                switch (end) {
                    case DONE -> "\"done\",\"result\":\"" + attempt.id + "\"";
                    case FAILED -> "\"failed\"";
                    case RETURNED -> "\"returned\"";
                    default -> "\"lost\"";
                };
        String body = "{\"id\":\"" + attempt.id + "\",\"from\":\"" + attempt.server + "\",\"state\":" + state + "}";
        byte[] message = MessageWriter.request("POST", "/_jobs/news", "node", body.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < STATUS_TRIES && !sendEvent(nodes.get(attempt.node), message); i++) {
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(STATUS_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean sendEvent(InetSocketAddress node, byte[] message) {
        try (Socket socket = new Socket()) {
            socket.connect(node, STATUS_TIMEOUT_MILLIS);
            socket.setSoTimeout(STATUS_TIMEOUT_MILLIS);
            socket.getOutputStream().write(message);
            ResponseParser parser = new ResponseParser();
            byte[] buffer = new byte[512];
            for (int n = socket.getInputStream().read(buffer);
                    n >= 0;
                    n = socket.getInputStream().read(buffer)) {
                parser.feed(buffer, 0, n);
                if (parser.isComplete()) {
                    int status = parser.take().status();
                    return status == 200 || status == 204;
                }
            }
            return false;
        } catch (IOException | HttpException e) {
            return false;
        }
    }

    /** Before its 202 an attempt is cancelled by closing its connection. */
    private void onEnd(String server, SoakListener.Exchange last) {
        if (!last.request().method().equals("DELETE")) {
            History.Attempt attempt =
                    openAttempts.get(server + " " + last.request().headers().get("X-Txn"));
            if (attempt != null && attempt.completeUs == last.completeUs()) {
                onConnectionEnd(attempt);
            }
        }
    }

    private void onConnectionEnd(History.Attempt attempt) {
        if (!accepted.contains(attempt)) {
            attempt.end(History.AttemptEnd.GIVEN_UP);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        listeners.forEach(SoakListener::close);
    }
}
