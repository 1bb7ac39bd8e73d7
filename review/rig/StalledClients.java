import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node, two workers, and a few clients that send documents over connections that they keep. Beside them several
 * hundred clients send half a request, stay until the node ends them, and come again.
 */
final class StalledClients {
    private static final int SECONDS = Integer.getInteger("seconds", 70);
    private static final int STALLED = Integer.getInteger("stalled", 685);
    private static final int CLIENTS = Integer.getInteger("clients", 16);
    private static final int HEAD_BYTES = Integer.getInteger("head", 12 * 1024);
    private static final int DOCUMENT_BYTES = Integer.getInteger("document", 60_000);
    private static final int QUIET_MS = 8000;
    private static final int RUN_MS = 100;
    private static final int DEADLINE_MS = 5000;
    /** A request without an answer is lost half a second after its time. */
    private static final int GRACE_MS = 500;

    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(8);
    private static final Set<String> FORWARDED = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger LOST_AFTER_FORWARD = new AtomicInteger();
    private static final AtomicInteger EXCUSED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    private static volatile boolean stalling = true;
    private static volatile boolean crashed;
    private static volatile boolean over;

    private static final String SETTINGS = """
            {"name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "settings": {
              "az": "z1", "fleet_size": 3, "discovery": "subscribe", "kinds": ["k"],
              "accounts": [{"name": "members", "share": 1.0, "quota_per_s": 100}],
              "ceilings": {"cancel": true, "conn_idle": 5.0, "dial_timeout": 0.25, "max_retry_after": 2.0,
                           "open_cap": 30000, "parallel_tries": false, "try_limit": 3},
              "clients": {"marks_retry": true},
              "domain": {"class_stretch": [1.75], "report_x0": "free slots", "tells_start": true, "progress": 1.0},
              "profiles": [{"name": "check", "credit": 2, "deadline": 5, "goal_time": 0.15, "late_share": 0.2,
                            "effect": "retryable", "group": "all", "window": 5}],
              "report": {"fields": ["x0"], "via": "inline"},
              "rules": {"answer_slack": 0.008, "ask_every": 10.0, "drain_grace": 0.5, "fall_multiple": 3.0,
                        "overload_for": 1.0, "ramp_time": 8.9, "start_capacity": 0.3}}}
            """;

    private StalledClients() {}

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Rig rig = new Rig(args[0])) {
            exit = run(rig);
            rig.log("exit " + exit);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private static int run(Rig rig) throws Exception {
        int port = Rig.freePort();
        Calls calls = new Calls(rig, port, 100, body -> false);
        Rig.Discovery discovery = new Rig.Discovery();
        for (String name : new String[] {"w-1", "w-2"}) {
            ServerSocket worker = Http.serve((request, connection) -> work(calls, name, request, connection));
            discovery.put(name, "z1", "k", "127.0.0.1:" + worker.getLocalPort(), "active", 0);
        }
        Process node = rig.node("n0", port, discovery.port(), SETTINGS);
        node.onExit().thenAccept(ended -> {
            if (!over) {
                crashed = true;
                rig.log("BROKEN: the node's process has ended by itself, status " + ended.exitValue());
            }
        });
        long endMs = System.currentTimeMillis() + SECONDS * 1000L;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = new Thread(() -> client(rig, port, number, endMs));
            clients[i].start();
        }
        Thread.sleep(2000);
        if (Rig.TROUBLE) {
            rig.log(STALLED + " clients begin to stop in the middle of requests");
            byte[] half = halfRequest().getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < STALLED; i++) {
                Http.daemon(() -> stall(port, half));
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        stalling = false;
        int servedBefore = SERVED.get();
        if (!crashed) {
            Thread.sleep(QUIET_MS);
            client(rig, port, CLIENTS, System.currentTimeMillis() + QUIET_MS / 2);
        }
        over = true;
        rig.log((SERVED.get() - servedBefore) + " requests served after the bad clients had been away for " + QUIET_MS + " ms");
        rig.log(SENT + " requests, " + SERVED + " served, " + REFUSED + " refused, " + FAILED + " failed; " + CUT
                + " connections ended under a request; " + EXCUSED
                + " requests cut on new connections only or before their last byte (not counted), " + LOST + " requests lost, " + LOST_AFTER_FORWARD
                + " of which had gone to a worker");
        rig.logOf("n0");
        if (SERVED.get() == 0) {
            return 2;
        }
        return crashed || LOST.get() > 0 ? 1 : 0;
    }

    private static String halfRequest() {
        StringBuilder head = new StringBuilder("POST /check?user=u HTTP/1.1\r\nHost: backend.local\r\nX-Org: members\r\n"
                + "X-Txn: half\r\nContent-Length: 65536\r\n");
        for (int i = 0; head.length() < HEAD_BYTES; i++) {
            head.append("X-Field-").append(i).append(": ").append("a".repeat(900)).append("\r\n");
        }
        return head + "\r\n" + "b".repeat(60_000);
    }

    /** A client that stops in the middle of a request, waits for its error or close, and comes again. */
    private static void stall(int port, byte[] half) {
        while (stalling) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream().write(half);
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // It was ended.
            }
            Calls.sleep(20);
        }
    }

    /**
     * A usual client. If a connection that it keeps ends without an answer, it sends the request one more time on a new
     * connection, as the end may have crossed the request.
     */
    private static void client(Rig rig, int port, int number, long endMs) {
        String document = "d".repeat(DOCUMENT_BYTES);
        Rig.Client client = new Rig.Client(port);
        for (int i = 0; System.currentTimeMillis() < endMs && !crashed; i++) {
            String id = "c" + number + "r" + i;
            SENT.incrementAndGet();
            long startNanos = System.nanoTime();
            Http.Message answer = null;
            boolean keptAtFirst = client.isOpen();
            boolean late = false;
            boolean taken = false;
            for (int tries = 0; answer == null && !late && tries < 2; tries++) {
                boolean kept = client.isOpen();
                long left = DEADLINE_MS - (System.nanoTime() - startNanos) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                String end = "the connection ended";
                try {
                    answer = client.send("/check?user=u", id, "members", (int) left, null, document);
                } catch (SocketTimeoutException e) {
                    late = true;
                    end = "no answer";
                } catch (IOException e) {
                    end = e.toString();
                }
                taken = client.hasWritten();
                if (answer == null) {
                    if (!late) {
                        CUT.incrementAndGet();
                    }
                    boolean forwarded = FORWARDED.contains(id);
                    rig.log(id + " on a " + (kept ? "kept" : "new") + " connection, try " + (tries + 1) + ": " + end + " "
                            + (System.nanoTime() - startNanos) / 1_000_000 + " ms after the request was begun"
                            + (forwarded ? "; it had gone to a worker" : ""));
                    client.close();
                }
            }
            long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
            if (answer == null && !late && !(keptAtFirst && taken)) {
                EXCUSED.incrementAndGet();
            } else if (answer == null || tookMs > DEADLINE_MS + GRACE_MS) {
                LOST.incrementAndGet();
                if (FORWARDED.contains(id)) {
                    LOST_AFTER_FORWARD.incrementAndGet();
                }
                rig.log("BROKEN: " + id + " is lost, after " + tookMs + " ms");
            } else if (answer.status() == 200) {
                SERVED.incrementAndGet();
            } else if (answer.status() == 429 || answer.status() == 503) {
                REFUSED.incrementAndGet();
            } else {
                FAILED.incrementAndGet();
            }
            Calls.sleep(50);
        }
        client.close();
    }

    private static void work(Calls calls, String name, Http.Message request, Socket connection) throws IOException {
        if (request.start().startsWith("DELETE")) {
            Http.answer(connection, 200, "");
            return;
        }
        String id = request.field("x-txn");
        FORWARDED.add(id);
        Http.answer(connection, 202, "");
        calls.tell(id, name, "\"state\":\"started\"");
        LATER.schedule(
                () -> calls.tell(id, name, "\"state\":\"done\",\"result\":\"result of " + id + "\",\"load\":{\"x0\":3}"),
                RUN_MS,
                TimeUnit.MILLISECONDS);
    }
}
