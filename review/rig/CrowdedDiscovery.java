import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One node that asks discovery, and two workers. Discovery has too many callers for a while: the node's calls wait in
 * turn and end in 503 when they have waited too long. Meanwhile one of the workers begins to drain, as discovery tells
 * those whose turn comes.
 */
final class CrowdedDiscovery {
    private static final int CROWDED_MS = 8_000;
    private static final int WAITED_TOO_LONG_MS = 2_000;
    private static final int DRAIN_AFTER_MS = 300;
    /** The latest that a change counts as told; then the grace of the settings, and what the rules add on sockets. */
    private static final int TOLD_AFTER_MS = 6_000;

    private static final int GRACE_MS = 500;
    private static final int SOCKET_SLACK_MS = 50;
    private static final int RUN_MS = 100;
    private static final int DEADLINE_MS = 5000;

    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(8);
    private static final AtomicInteger SENT = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger BROKEN = new AtomicInteger();
    private static final CountDownLatch BEGUN = new CountDownLatch(1);
    private static volatile boolean due;
    private static volatile boolean crowded;
    private static volatile long drainsSinceNanos = Long.MAX_VALUE;

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

    private CrowdedDiscovery() {}

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
        ServerSocket first = Http.serve((request, connection) -> work(rig, calls, "w-1", request, connection));
        ServerSocket second = Http.serve((request, connection) -> work(rig, calls, "w-2", request, connection));
        discovery.put("w-1", "z1", "k", "127.0.0.1:" + first.getLocalPort(), "active", 0);
        discovery.put("w-2", "z1", "k", "127.0.0.1:" + second.getLocalPort(), "active", 0);
        ServerSocket turns = Http.serve((call, connection) -> takeTurn(rig, discovery, call, connection));
        rig.node("n0", port, turns.getLocalPort(), SETTINGS);
        Thread[] clients = new Thread[4];
        long endNanos = System.nanoTime() + (4_000L + 3_000 + CROWDED_MS + 1_000) * 1_000_000;
        for (int i = 0; i < clients.length; i++) {
            int number = i;
            clients[i] = new Thread(() -> client(port, number, endNanos));
            clients[i].start();
        }
        Thread.sleep(4000);
        due = true;
        BEGUN.await();
        Thread.sleep(DRAIN_AFTER_MS);
        discovery.put("w-1", "z1", "k", "127.0.0.1:" + first.getLocalPort(), "leaving", 0);
        drainsSinceNanos = System.nanoTime();
        rig.log("w-1 drains from now on, as discovery has it");
        for (long left = CROWDED_MS - DRAIN_AFTER_MS; left > 0; left -= 1000) {
            rig.log("another caller, whose turn has come, is told: " + ask(discovery));
            Thread.sleep(1000);
        }
        crowded = false;
        rig.log("discovery answers all callers again");
        for (Thread client : clients) {
            client.join();
        }
        rig.logOf("n0");
        rig.log(SENT + " jobs sent, " + ANSWERED + " answered, " + BROKEN + " sent to w-1 later than "
                + (TOLD_AFTER_MS + GRACE_MS + SOCKET_SLACK_MS) + " ms after its drain began");
        if (ANSWERED.get() == 0) {
            return 2;
        }
        return BROKEN.get() > 0 ? 1 : 0;
    }

    /** Answers a call of the node, unless it waits in turn for too long. */
    private static void takeTurn(Rig rig, Rig.Discovery discovery, Http.Message call, Socket node) throws IOException {
        for (int waitedMs = 0; crowded && waitedMs < WAITED_TOO_LONG_MS; waitedMs += 20) {
            Calls.sleep(20);
        }
        if (crowded) {
            rig.log("a call of the node, " + call.second() + ", has waited too long: 503");
            Http.answer(node, 503, "");
            return;
        }
        Matcher watch = Pattern.compile("timeout_ms=(\\d+)").matcher(call.start());
        rig.log("a call of the node, " + call.second());
        try (Socket service = new Socket("127.0.0.1", discovery.port())) {
            Http.write(service, call.start() + "\r\nHost: discovery\r\n\r\n");
            String list = Http.read(service.getInputStream()).body();
            if (due && BEGUN.getCount() > 0) {
                crowded = Rig.TROUBLE;
                rig.log(crowded ? "discovery has too many callers after this answer" : "discovery goes on as before");
                BEGUN.countDown();
            }
            Http.answer(node, 200, list);
            rig.log("the node's call is answered" + (watch.find() ? "" : " with the whole list"));
        }
    }

    private static String ask(Rig.Discovery discovery) throws IOException {
        try (Socket service = new Socket("127.0.0.1", discovery.port())) {
            Http.write(service, "GET /registry/instances HTTP/1.1\r\nHost: discovery\r\n\r\n");
            String list = Http.read(service.getInputStream()).body();
            return list.contains("leaving") ? "w-1 is leaving" : "all are active";
        }
    }

    private static void client(int port, int number, long endNanos) {
        try (Rig.Client client = new Rig.Client(port)) {
            for (int i = 0; System.nanoTime() < endNanos; i++) {
                SENT.incrementAndGet();
                try {
                    if (client.send("/check?user=u", "c" + number + "r" + i, "members", DEADLINE_MS, null, "document")
                            != null) {
                        ANSWERED.incrementAndGet();
                    }
                } catch (IOException e) {
                    return;
                }
                Calls.sleep(50);
            }
        }
    }

    private static void work(Rig rig, Calls calls, String name, Http.Message request, Socket connection)
            throws IOException {
        if (request.start().startsWith("DELETE")) {
            Http.answer(connection, 200, "");
            return;
        }
        String id = request.field("x-txn");
        long drainsForMs = name.equals("w-1") ? (System.nanoTime() - drainsSinceNanos) / 1_000_000 : -1;
        if (drainsSinceNanos != Long.MAX_VALUE && drainsForMs > TOLD_AFTER_MS + GRACE_MS + SOCKET_SLACK_MS) {
            BROKEN.incrementAndGet();
            rig.log("BROKEN: " + id + " is sent to w-1, which drains for " + drainsForMs + " ms");
        } else if (drainsSinceNanos != Long.MAX_VALUE && drainsForMs >= 0) {
            rig.log(id + " is sent to w-1, which drains for " + drainsForMs + " ms");
        }
        Http.answer(connection, 202, "");
        calls.tell(id, name, "\"state\":\"started\"");
        LATER.schedule(
                () -> calls.tell(id, name, "\"state\":\"done\",\"result\":\"result of " + id + "\",\"load\":{\"x0\":3}"),
                RUN_MS,
                TimeUnit.MILLISECONDS);
    }
}
