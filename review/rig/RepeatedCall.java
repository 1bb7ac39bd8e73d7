import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node, two workers and jobs of a class that must never run twice. For a moment in each cycle both workers are
 * full and hand jobs back unstarted. The answers to these calls get lost once each, so the workers repeat the calls.
 */
final class RepeatedCall {
    private static final int SECONDS = 6;
    private static final int CYCLE_MS = 800;
    private static final int JOBS_AT_ONCE = 3;
    private static final int FULL_MS = 120;
    private static final int RUN_MS = 500;
    private static final int CALL_RETRY_MS = 300;
    private static final int DEADLINE_MS = 5000;

    private static final ScheduledExecutorService LATER = Executors.newScheduledThreadPool(8);
    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Set<String> LOST = ConcurrentHashMap.newKeySet();

    private static final String SETTINGS = """
            {"name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "settings": {
              "az": "room", "fleet_size": 4, "discovery": "automatic", "kinds": ["box"],
              "accounts": [{"name": "couriers", "share": 1.0, "quota_per_s": 50}],
              "ceilings": {"cancel": true, "conn_idle": 30.0, "dial_timeout": 0.25, "max_retry_after": 2.0,
                           "open_cap": 30000, "parallel_tries": true, "retry_after": true, "try_limit": 3},
              "clients": {"marks_retry": true},
              "domain": {"class_stretch": [2.0], "tells_start": true},
              "profiles": [{"name": "enter", "credit": 8, "deadline": 5, "goal_time": 0.5, "late_share": 0.2,
                            "effect": "fragile", "group": "all", "window": 5}],
              "report": {"fields": [], "via": "off"},
              "rules": {"answer_slack": 0.008, "ask_every": 10.0, "drain_grace": 3.0, "fall_multiple": 4.0,
                        "overload_for": 2.0, "ramp_time": 24.0, "start_capacity": 0.14}}}
            """;

    private RepeatedCall() {}

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
        Calls calls = new Calls(
                rig, port, CALL_RETRY_MS, body -> Rig.TROUBLE && body.contains("returned") && LOST.add(body));
        Rig.Discovery discovery = new Rig.Discovery();
        for (String name : new String[] {"w-1", "w-2"}) {
            ServerSocket worker = Http.serve((request, connection) -> work(rig, calls, name, request, connection));
            discovery.put(name, "room", "box", "127.0.0.1:" + worker.getLocalPort(), "active", 0);
        }
        rig.node("n0", port, discovery.port(), SETTINGS);
        Thread.sleep(CYCLE_MS);

        Map<String, String> answers = new ConcurrentHashMap<>();
        int sent = 0;
        long end = System.currentTimeMillis() + SECONDS * 1000L;
        while (System.currentTimeMillis() < end) {
            // Jobs arrive while the workers are full.
            Thread.sleep(CYCLE_MS - System.currentTimeMillis() % CYCLE_MS + 10);
            for (int i = 0; i < JOBS_AT_ONCE; i++) {
                String id = "job" + ++sent;
                Http.daemon(() -> send(rig, port, id, answers));
            }
        }
        Thread.sleep(DEADLINE_MS + 1000);

        int twice = 0;
        int refused = 0;
        for (Map.Entry<String, AtomicInteger> run : RUNS.entrySet()) {
            String id = run.getKey();
            if (run.getValue().get() > 1) {
                twice++;
                rig.log("BROKEN: " + id + " ran " + run.getValue() + " times");
            }
            if ("503".equals(answers.get(id)) || "429".equals(answers.get(id))) {
                refused++;
                rig.log("BROKEN: " + id + " ran, and its client was told that it was refused");
            }
        }
        rig.log(sent + " jobs sent, " + answers.size() + " answered, " + LOST.size() + " answers to calls lost, " + twice
                + " jobs ran more than once, " + refused + " ran and were refused");
        if (RUNS.isEmpty()) {
            return 2;
        }
        return twice + refused > 0 ? 1 : 0;
    }

    private static void send(Rig rig, int port, String id, Map<String, String> answers) {
        rig.log("client sends " + id);
        try (Rig.Client client = new Rig.Client(port)) {
            Http.Message answer = client.send("/enter?user=u", id, "couriers", DEADLINE_MS, null, "an address");
            answers.put(id, answer == null ? "none" : Integer.toString(answer.status()));
        } catch (IOException e) {
            answers.put(id, e.toString());
        }
        rig.log("client of " + id + " gets " + answers.get(id));
    }

    /** A worker: takes each job, and hands it back unstarted while its room is taken by other nodes' jobs. */
    private static void work(Rig rig, Calls calls, String name, Http.Message request, Socket connection)
            throws IOException {
        if (request.start().startsWith("DELETE")) {
            rig.log(name + " is asked to give up " + request.second());
            Http.answer(connection, 200, "");
            return;
        }
        String id = request.field("x-txn");
        if (id == null) {
            Http.answer(connection, 404, "");
            return;
        }
        boolean full = System.currentTimeMillis() % CYCLE_MS < FULL_MS;
        rig.log(name + " takes " + id + (full ? " and is full" : ""));
        Http.answer(connection, 202, "");
        if (full) {
            LATER.schedule(
                    () -> calls.tell(id, name, "\"state\":\"returned\""), 5, TimeUnit.MILLISECONDS);
            return;
        }
        int run = RUNS.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        rig.log(name + " runs " + id + (run > 1 ? " AGAIN, run " + run : ""));
        calls.tell(id, name, "\"state\":\"started\"");
        LATER.schedule(
                () -> calls.tell(id, name, "\"state\":\"done\",\"result\":\"result of " + id + "\""),
                RUN_MS,
                TimeUnit.MILLISECONDS);
    }
}
