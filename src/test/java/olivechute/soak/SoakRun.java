package olivechute.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import olivechute.rig.Ports;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestDirectory;
import olivechute.rig.TestProcess;

/**
 * A run of one seed: two nodes with their clients, servers and discovery, the faults of the scenario, and the check of
 * the invariants.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the history records the effects of scheduled tasks
final class SoakRun implements AutoCloseable {
    /** The scenario and results of one run. */
    record Report(
            SoakScenario scenario, List<SoakInvariants.Violation> violations, String summary, List<String> logs) {}

    private static final String CONFIG = """
        {"name":"NAME","listen":"LISTEN","discovery":"DISCOVERY","limits":{"cores":1.0,"memory_mb":192,"sockets":SOCKETS},
         "known":{"index":1,"snapshot":true,"endpoints":[KNOWN]},
         "settings":{
          "accounts":[{"name":"acme","quota_per_s":1000,"share":1.0}],"az":"a",
          "ceilings":{"conn_idle":5.0,"dial_timeout":0.25,"max_retry_after":2.0,"try_limit":3,"retry_after":false},
          "clients":{"marks_retry":true},"discovery":"subscribe","fleet_size":2,"kinds":["k"],
          "domain":{"class_stretch":[1.75,2.5,1],"report_x0":"free slots","tells_start":false},
          "report":{"fields":["x0"],"via":"inline"},
          "rules":{"ask_every":10.0,"drain_grace":0.5,"fall_multiple":3.0,"overload_for":1.0,"ramp_time":8.9,"start_capacity":0.3},
          "profiles":[
           {"name":"verify","credit":2,"deadline":DEADLINE,"goal_time":0.15,"effect":"retryable","group":"all","window":5},
           {"name":"sign","credit":8,"deadline":DEADLINE,"goal_time":0.15,"effect":"dedup","group":"all","window":7.5},
           {"name":"pay","credit":8,"deadline":DEADLINE,"goal_time":0.15,"effect":"fragile","group":"all"}]}}
        """;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int SOCKETS = 1024;
    private static final int SOCKETS_IN_A_CROWD = 160;
    private static final long WARM_UP_MILLIS = 700;
    private static final long FIRST_DISCOVERY_ENDS_MILLIS = 1500; // after the node was told of the second address
    private static final long READY_WITHIN_MILLIS = 30_000;
    private static final byte[] READINESS_REQUEST =
            "GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final SoakScenario scenario;
    private final SplittableRandom random;
    private final TestDirectory folder = new TestDirectory("soak");
    private final History history = new History();
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, FaultShim> shims = new LinkedHashMap<>();
    private final Map<String, SoakDiscovery> discoveries = new LinkedHashMap<>();
    private final Map<String, TestProcess> programs = new LinkedHashMap<>();
    private final Map<String, Long> startedUs = new LinkedHashMap<>();
    private final Map<String, Boolean> moved = new LinkedHashMap<>();
    private final List<SoakInvariants.Violation> crashes = new ArrayList<>();
    private final List<Thread> scriptThreads = new ArrayList<>();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, SoakRun::daemon);
    private final SoakServers servers;
    private final SoakClients clients;
    private long beganUs;

    SoakRun(long seed) {
        scenario = SoakScenario.of(seed);
        random = new SplittableRandom(seed + 7);
        for (String node : List.of("n0", "n1")) {
            addresses.put(node, Ports.free());
            shims.put(node, new FaultShim(folder, node, seed));
            moved.put(node, false);
        }
        servers = new SoakServers(history, scenario, addresses);
        addresses.keySet().forEach(node -> discoveries.put(node, new SoakDiscovery(node, servers, history, scenario)));
        clients = new SoakClients(history, scenario, addresses);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "soak-clock");
        thread.setDaemon(true);
        return thread;
    }

    private String writeConfig(String node) {
        SoakDiscovery discovery = discoveries.get(node);
        String text = CONFIG.replace("NAME", node)
                .replace("LISTEN", Ports.hostAndPort(addresses.get(node)))
                .replace("DISCOVERY", discovery.address(moved.get(node)))
                .replace("SOCKETS", String.valueOf(scenario.crowd() ? SOCKETS_IN_A_CROWD : SOCKETS))
                .replace("KNOWN", discovery.known())
                .replace("DEADLINE", String.valueOf(scenario.deadlineMillis() / 1000.0));
        return folder.write(node + ".json", text).toString();
    }

    private void start(String node) throws InterruptedException {
        ProcessSpec spec = ProcessSpec.jar(node, ProcessSpec.JAR, "serve")
                .withEnvironment("LB_CONFIG", writeConfig(node))
                .withEnvironment("OLIVECHUTE_LOG_LEVEL", "debug");
        startedUs.put(node, History.nowUs());
        TestProcess before = programs.get(node);
        if (before == null) {
            programs.put(node, TestProcess.start(shims.get(node).preloadedInto(spec)));
        } else {
            before.restart(shims.get(node).preloadedInto(spec));
        }
        long readyUs = awaitReady(node);
        history.add(new History.Incarnation(node, startedUs.get(node), NEVER, NEVER, NEVER, true, readyUs));
        clients.acceptingNodes(node, true);
    }

    private long awaitReady(String node) throws InterruptedException {
        long endUs = History.nowUs() + 1000 * READY_WITHIN_MILLIS;
        while (History.nowUs() < endUs && programs.get(node).isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(addresses.get(node), 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(READINESS_REQUEST);
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return History.nowUs();
                }
            } catch (IOException notYet) {
                Thread.sleep(20);
            }
        }
        return History.nowUs();
    }

    private void schedule(long millis, Runnable task) {
        scheduler.schedule(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    private void script(String name, Script script) {
        Thread thread = new Thread(
                () -> {
                    try {
                        script.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (RuntimeException e) {
                        synchronized (crashes) {
                            crashes.add(new SoakInvariants.Violation("the run itself failed", name + ": " + e));
                        }
                    }
                },
                name);
        thread.setDaemon(true);
        scriptThreads.add(thread);
        thread.start();
    }

    private interface Script {
        void run() throws InterruptedException;
    }

    Report play() throws InterruptedException {
        start("n0");
        start("n1");
        clients.start();
        Thread.sleep(WARM_UP_MILLIS);
        beganUs = History.nowUs();
        shims.values().forEach(shim -> scenario.rates().forEach(shim::rate));
        scheduleFaults();
        script("restart", () -> restartAsPlanned("n0"));
        if (scenario.configurationMoves()) {
            script("move", () -> moveDiscovery("n1"));
        }
        if (scenario.killedOutright()) {
            script("kill", () -> killOutright("n1"));
        }
        sleepUntil(scenario.durationMillis());
        for (Thread thread : scriptThreads) {
            thread.join();
        }
        shims.values().forEach(FaultShim::clearFaults);
        servers.hang(false);
        clients.finish();
        discoveries.values().forEach(SoakDiscovery::recordMissingNotices);
        programs.forEach(this::recordCrash);
        return report();
    }

    private void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - (History.nowUs() - beganUs) / 1000));
    }

    private void scheduleFaults() {
        long stepAt = random.nextLong(500, 4500);
        schedule(stepAt, () -> shims.values().forEach(s -> s.clockOffset(Duration.ofMillis(scenario.clockStep()))));
        String server = "w" + random.nextInt(SoakServers.COUNT);
        schedule(scenario.drainAt(), () -> discoveries.values().forEach(d -> d.change(server, false)));
        schedule(scenario.drainAt() + 3000, () -> discoveries.values().forEach(d -> d.change(server, true)));
        if (scenario.discoveryFails()) {
            schedule(scenario.discoveryDownAt(), () -> discoveries.values().forEach(d -> d.down(true)));
            long until = scenario.discoveryDownAt() + scenario.discoveryDownFor();
            schedule(until, () -> discoveries.values().forEach(d -> d.down(false)));
        }
        if (scenario.serversHangAtTheEnd()) {
            schedule(scenario.termAt() - 200, () -> servers.hang(true));
            schedule(scenario.termAt() + scenario.killDelayMillis(), () -> servers.hang(false));
        }
    }

    private void restartAsPlanned(String node) throws InterruptedException {
        sleepUntil(scenario.termAt());
        TestProcess program = programs.get(node);
        recordCrash(node, program);
        long termUs = History.nowUs();
        program.terminate();
        schedule(random.nextLong(200, 400), () -> clients.acceptingNodes(node, false));
        if (scenario.signalsInSeries()) {
            for (String signal : List.of("HUP", "TERM", "USR2", "INT", "TERM")) {
                Thread.sleep(random.nextInt(150));
                program.signal(signal);
            }
        }
        Thread.sleep(Math.max(0, scenario.killDelayMillis() - (History.nowUs() - termUs) / 1000));
        boolean ended = !program.isAlive();
        long killFromUs = History.nowUs();
        clients.acceptingNodes(node, false);
        program.kill();
        clients.onKilled(node);
        long startUs = startedUs.get(node);
        history.add(new History.Incarnation(
                node, startUs, termUs, ended ? NEVER : killFromUs, ended ? NEVER : History.nowUs(), true, startUs));
        start(node);
    }

    private void killOutright(String node) throws InterruptedException {
        sleepUntil(1000 + random.nextInt(6000));
        TestProcess program = programs.get(node);
        recordCrash(node, program);
        clients.acceptingNodes(node, false);
        long killFromUs = History.nowUs();
        program.kill();
        clients.onKilled(node);
        long startUs = startedUs.get(node);
        history.add(new History.Incarnation(node, startUs, NEVER, killFromUs, History.nowUs(), false, startUs));
        start(node);
    }

    /** Moves discovery by a new configuration; the old address is closed some time later. */
    private void moveDiscovery(String node) throws InterruptedException {
        sleepUntil(500 + random.nextInt(5000));
        moved.put(node, true);
        writeConfig(node);
        programs.get(node).signal("HUP");
        Thread.sleep(FIRST_DISCOVERY_ENDS_MILLIS);
        discoveries.get(node).closeFirst();
    }

    private void recordCrash(String node, TestProcess program) {
        if (!program.isAlive()) {
            synchronized (crashes) {
                crashes.add(new SoakInvariants.Violation("crash", node + " has ended by itself"));
            }
        }
    }

    private Report report() {
        List<SoakInvariants.Violation> violations = new ArrayList<>(crashes);
        violations.addAll(SoakInvariants.check(history, shims));
        Map<String, Integer> endings = new TreeMap<>();
        for (History.ClientRequest request : history.requests()) {
            String ending = request.ending() == History.Ending.ANSWERED
                    ? String.valueOf(request.status())
                    : request.ending().name();
            endings.merge(ending, 1, Integer::sum);
        }
        Map<FaultShim.Fault, Integer> faults = new EnumMap<>(FaultShim.Fault.class);
        shims.values().forEach(shim -> shim.injected().forEach((f, n) -> faults.merge(f, n, Integer::sum)));
        List<String> logs = new ArrayList<>();
        programs.values().forEach(program -> logs.addAll(program.lines()));
        String summary = "seed " + scenario.seed() + ": " + history.requests().size() + " requests " + endings + ", "
                + history.attempts().size() + " attempts, faults " + faults + ", " + violations.size() + " violations";
        return new Report(scenario, violations, summary, logs);
    }

    @Override
    public void close() {
        clients.close();
        scheduler.shutdownNow();
        programs.values().forEach(TestProcess::close);
        discoveries.values().forEach(SoakDiscovery::close);
        servers.close();
        folder.close();
    }
}
