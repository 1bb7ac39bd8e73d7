import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node that speaks TLS to its two sign workers gets new rules by SIGHUP, under which the document of one of them is no
 * longer that of its name. From then on that worker must get no job, and no client an answer that it made.
 */
public final class RuleChange {
    private static final String TRUST_DOMAIN = "dev.example";
    private static final int GAP_MS = 100;
    private static final int RUN_MS = 100;
    private static final int SLOTS = 4;
    private static final int START_MS = 30_000;
    private static final int JOINED_MS = 3000;
    private static final int MIN_BEFORE = 20;
    private static final int AFTER_MS = 12_000;
    /** From the SIGHUP on: how long the rules may take until they hold, although the page says "at once". */
    private static final long GRACE_NANOS = 2_000_000_000L;

    static final String CONFIGURATION = """
            {"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:1",
             "limits":{"sockets":1024,"memory_mb":192},
             "settings":{"az":"almaty-1","fleet_size":1,"discovery":"subscribe","service_type":"jobs",
              "kinds":["k2-10"],"localities":["almaty-1","astana-1"],
              "accounts":[{"name":"steppe-aid","share":0.6,"quota_per_s":60},{"name":"aral-water","share":0.4,"quota_per_s":40}],
              "ceilings":{"cancel":true,"conn_idle":5.0,"dial_timeout":0.25,"max_retry_after":2.0,"open_cap":400,
               "parallel_tries":false,"probes":false,"retry_after":false,"try_limit":3},
              "clients":{"marks_retry":true},
              "domain":{"class_kind":[-1,-1],"class_priority":[0,1],"class_stretch":[1.75,2.5],"report_x0":"free slots",
               "tells_start":true,"progress":1.0,"queue_order":"fifo"},
              "profiles":[
               {"name":"verify","credit":2,"deadline":5,"goal_time":0.15,"late_share":0.2,"effect":"retryable","group":"all","window":5},
               {"name":"sign","credit":8,"deadline":5,"goal_time":0.15,"late_share":0.2,"effect":"dedup","group":"all","window":7.5}],
              "report":{"fields":["x0"],"via":"inline"},"prices":{"cross_zone":0.02,"handshake":0.04,"waste":0.17,"late_fail":0.02},
              "rules":{"answer_slack":0.008,"ask_every":10.0,"drain_grace":0.5,"fall_multiple":3.0,"overload_for":1.0,
               "ramp_time":8.9,"start_capacity":0.3}}}
            """;

    private final Rig rig;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger jobs = new AtomicInteger();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> running = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger sentAfter = new AtomicInteger();
    private final AtomicInteger servedAfter = new AtomicInteger();
    private volatile long changedNanos = Long.MAX_VALUE;
    private volatile boolean ending;
    private int nodePort;

    private RuleChange(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        int status = 2;
        try (Rig rig = new Rig(arguments[0])) {
            try {
                status = new RuleChange(rig).run();
            } catch (Exception e) {
                rig.log("cannot run: " + e);
            }
            rig.log("exit " + status);
        }
        System.exit(status);
    }

    private int run() throws Exception {
        Path trust = rig.folder.resolve("trust");
        rig.command("issuer", "--dir", trust.toString(), "--path", "/node", "--path", "/sign-worker/s-1",
                "--path", "/sign-worker/s-2");
        Rig.Discovery discovery = new Rig.Discovery();
        nodePort = Rig.freePort();
        Map<String, String> addresses = new ConcurrentHashMap<>();
        for (String worker : new String[] {"s-1", "s-2"}) {
            ServerSocket listener = Http.serve(
                    Tls.listener(Tls.context(trust.resolve("sign-worker-" + worker))),
                    (request, connection) -> onRequest(worker, request, connection));
            addresses.put(worker, "127.0.0.1:" + listener.getLocalPort());
            runs.put(worker, new AtomicInteger());
            running.put(worker, new AtomicInteger());
        }
        discovery.put("s-1", "almaty-1", "k2-10", addresses.get("s-1"), "active", 0);
        Path settings = rig.folder.resolve("olivechute.conf");
        String everyWorker = "{ host = \"s-*\", id = \"spiffe://" + TRUST_DOMAIN + "/sign-worker/{host}\" }";
        Files.writeString(settings, settings(trust, everyWorker));
        Process node = rig.node("n0", nodePort, discovery.port(),
                CONFIGURATION.replace("\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"127.0.0.1:" + discovery.port() + "\""),
                Map.of("OLIVECHUTE_SETTINGS", settings.toString()));
        Http.daemon(this::runClient);
        for (int waited = 0; runs.get("s-1").get() < MIN_BEFORE; waited += 100) {
            if (waited >= START_MS) {
                rig.log("cannot run: the only worker got too few jobs");
                return 2;
            }
            Thread.sleep(100);
        }
        discovery.put("s-2", "astana-1", "k2-10", addresses.get("s-2"), "active", 0);
        rig.log("s-2 joins");
        Thread.sleep(JOINED_MS);
        rig.log("before the change s-1 got " + runs.get("s-1") + " jobs, s-2 " + runs.get("s-2"));
        if (Rig.TROUBLE) {
            Files.writeString(settings, settings(trust,
                    "{ host = \"s-1\", id = \"spiffe://" + TRUST_DOMAIN + "/sign-worker/s-1-renewed\" }, " + everyWorker));
            rig.signal(node, "HUP");
            changedNanos = System.nanoTime();
            if (!rig.awaitLog("n0", "configuration read again")) {
                rig.log("cannot run: the node has not read its settings again");
                return 2;
            }
            rig.log("the node has read its settings again: s-1 must be /sign-worker/s-1-renewed, and is not");
        }
        int before = runs.get("s-1").get();
        Thread.sleep(AFTER_MS);
        ending = true;
        rig.logOf("n0");
        rig.log("answers: " + answers);
        for (Map.Entry<String, AtomicInteger> worker : runs.entrySet()) {
            rig.log(worker.getKey() + " got " + worker.getValue() + " jobs in all");
        }
        rig.log("s-1 got " + (runs.get("s-1").get() - before) + " jobs since the change, " + sentAfter + " of them later than "
                + GRACE_NANOS / 1_000_000 + " ms after the SIGHUP; clients got " + servedAfter + " answers of these");
        return sentAfter.get() > 0 ? 1 : 0;
    }

    private static String settings(Path trust, String hosts) {
        return "identity {\n  enabled = true\n  trust_domain = \"" + TRUST_DOMAIN + "\"\n  source { folder = \""
                + trust.resolve("node") + "\" }\n  upstream = true\n  hosts = [ " + hosts + " ]\n}\n";
    }

    /** A worker takes each job, tells its start, and 100 ms later its end and its free slots. */
    private void onRequest(String worker, Http.Message request, Socket connection) throws IOException {
        if (!request.start().startsWith("POST ")) {
            Http.answer(connection, 204, "");
            return;
        }
        String id = request.field("x-txn");
        boolean late = System.nanoTime() - changedNanos > GRACE_NANOS;
        runs.get(worker).incrementAndGet();
        if (worker.equals("s-1") && late) {
            sentAfter.incrementAndGet();
        }
        rig.log(worker + " gets " + id + (worker.equals("s-1") && late ? ", which the rules forbid" : ""));
        Http.answer(connection, 202, "");
        tell(worker, id, "\"state\":\"started\"");
        String result = "signed by " + worker + (late ? " after the change" : "");
        AtomicInteger busy = running.get(worker);
        busy.incrementAndGet();
        timer.schedule(() -> {
            int free = Math.max(0, SLOTS - busy.decrementAndGet());
            tell(worker, id, "\"state\":\"done\",\"result\":\"" + result + "\",\"load\":{\"x0\":" + free + "}");
        }, RUN_MS, TimeUnit.MILLISECONDS);
    }

    private void tell(String worker, String id, String rest) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + worker + "\"," + rest + "}";
        try (Socket socket = new Socket("127.0.0.1", nodePort)) {
            socket.setTcpNoDelay(true);
            Http.write(socket, "POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            Http.read(socket.getInputStream());
        } catch (IOException e) {
            rig.log(worker + " told " + body + " and got no answer: " + e.getMessage());
        }
    }

    private void runClient() {
        try (Rig.Client client = new Rig.Client(nodePort)) {
            while (!ending) {
                int job = jobs.incrementAndGet();
                boolean sign = job % 5 == 0;
                String id = String.format("%016x", 0x4900000L + job);
                try {
                    Http.Message answer = client.send(sign ? "/sign" : "/verify", id,
                            job % 2 == 0 ? "steppe-aid" : "aral-water", 5000, sign ? "key" + id : null, "document " + job);
                    String text = answer == null ? "none" : answer.status() + " " + answer.body().strip();
                    answers.computeIfAbsent(text, k -> new AtomicInteger()).incrementAndGet();
                    if (text.equals("200 signed by s-1 after the change")) {
                        servedAfter.incrementAndGet();
                    }
                    rig.log("the client got for " + id + ": " + text);
                } catch (IOException e) {
                    rig.log("the client got no answer for " + id + ": " + e);
                    client.close();
                }
                Thread.sleep(GAP_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
