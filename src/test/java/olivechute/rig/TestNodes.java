package olivechute.rig;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The environment of nodes n0, n1 and so on: discovery, workers, clients and a configuration file for each node, all
 * recording into one ledger; where no supervisor runs the nodes, also the node processes.
 */
public final class TestNodes implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final int WORKERS = 3;
    private static final int MIN_JOB_MILLIS = 5;
    private static final int MAX_JOB_MILLIS = 25;
    private static final String CONFIG = """
        {"name":"NAME","listen":"LISTEN","discovery":"DISCOVERY","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":{"index":1,"snapshot":true,"endpoints":[KNOWN]},
         "settings":{
          "accounts":[{"name":"acme","quota_per_s":1000,"share":1.0}],"az":"a",
          "ceilings":{"conn_idle":5.0,"dial_timeout":0.25,"max_retry_after":2.0,"try_limit":3,"retry_after":false},
          "clients":{"marks_retry":true},"discovery":"subscribe","fleet_size":SIZE,"kinds":["k"],
          "domain":{"class_stretch":[1.75,2.5],"report_x0":"free slots","tells_start":true},
          "report":{"fields":["x0"],"via":"inline"},
          "rules":{"ask_every":10.0,"drain_grace":0.5,"fall_multiple":3.0,"overload_for":1.0,"ramp_time":8.9,"start_capacity":0.3},
          "profiles":[
           {"name":"verify","credit":2,"deadline":5,"goal_time":0.15,"effect":"retryable","group":"all","window":5},
           {"name":"sign","credit":8,"deadline":5,"goal_time":0.15,"effect":"dedup","group":"all","window":7.5}]}}
        """;

    private final TestDirectory folder = new TestDirectory("nodes");
    private final EventLedger ledger = new EventLedger();
    private final WorkerStubs workers;
    private final DiscoveryStub discovery;
    private final LoadClients clients;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<String, Path> configs = new LinkedHashMap<>();
    private final Map<String, TestProcess> programs = new LinkedHashMap<>();

    /** Creates the environment of this many nodes; starts none of them. */
    public TestNodes(int count, long seed) {
        workers = new WorkerStubs(ledger, WORKERS, MIN_JOB_MILLIS, MAX_JOB_MILLIS, seed);
        discovery = new DiscoveryStub(workers, "a");
        clients = new LoadClients(ledger, seed);
        for (int i = 0; i < count; i++) {
            String node = "n" + i;
            InetSocketAddress listen = Ports.free();
            workers.addNode(node);
            workers.setNodeAddress(node, listen);
            addresses.put(node, listen);
            configs.put(
                    node,
                    folder.write(
                            node + ".json",
                            CONFIG.replace("NAME", node)
                                    .replace("LISTEN", Ports.hostAndPort(listen))
                                    .replace("DISCOVERY", discovery.addNode(node))
                                    .replace("SIZE", String.valueOf(count))
                                    .replace("KNOWN", workers.entries(node, "a"))));
        }
    }

    /** Makes the clients probe all nodes and send jobs to those that are ready. */
    public TestNodes connectClients() {
        addresses.forEach(clients::addNode);
        return this;
    }

    public List<String> names() {
        return List.copyOf(addresses.keySet());
    }

    public EventLedger ledger() {
        return ledger;
    }

    public LoadClients clients() {
        return clients;
    }

    /** Returns the node's configuration file, for {@code LB_CONFIG}. */
    public Path config(String node) {
        return configs.get(node);
    }

    public InetSocketAddress address(String node) {
        return addresses.get(node);
    }

    /** Starts this node from a jar without a supervisor and waits until it listens. */
    public TestProcess start(String node, Path jar) {
        TestProcess program = launch(node, jar);
        program.awaitLine(node + " listens on ", START_TIMEOUT);
        return program;
    }

    /** Starts this node from a jar without waiting. */
    public TestProcess launch(String node, Path jar) {
        TestProcess program = TestProcess.start(ProcessSpec.jar(node, jar, "serve")
                .withEnvironment("LB_CONFIG", config(node).toString()));
        programs.put(node, program);
        return program;
    }

    public TestProcess program(String node) {
        return programs.get(node);
    }

    /** Stops the load and returns all violations. */
    public List<FleetInvariants.Violation> stopAndCheck(int maxUnavailable) {
        clients.stop();
        return FleetInvariants.check(ledger, maxUnavailable);
    }

    @Override
    public void close() {
        clients.close();
        new ArrayList<>(programs.values()).forEach(TestProcess::close);
        workers.close();
        discovery.close();
        folder.close();
    }
}
