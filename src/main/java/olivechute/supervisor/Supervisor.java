package olivechute.supervisor;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import olivechute.error.FleetException;
import olivechute.error.SupervisionException;
import olivechute.fleet.wire.MachineReport;
import olivechute.fleet.wire.NodeState;
import olivechute.fleet.wire.VersionSpec;
import olivechute.net.Threads;
import olivechute.store.Store;
import olivechute.supervisor.SupervisorSettings.Supervised;
import org.tinylog.Logger;

/**
 * Runs the nodes of a machine. One thread decides and acts; others hold the lease, read orders, pass figures on and
 * wait for processes, and post to it what they see.
 */
final class Supervisor implements AutoCloseable {
    private static final int MOST_POSTED = 4096;
    private static final long HOUSEKEEPING = 1000;
    private static final int SENDER_WITHIN = 5000;

    private record Posted(String node, NodeEvent event) {}

    private final SupervisorSettings settings;
    private final Store store;
    private final LaunchSpecFactory launches;
    private final Consumer<String> tell;
    private final SupervisorDirectory folder;
    private final MetricsReceiver intake;
    private final LeaseRenewer lease;
    private final OrderWatcher orders;
    private final MetricsPublisher writer;
    private final Map<String, NodeRunner> runners = new LinkedHashMap<>();
    private final Map<String, NodeReport> views = new ConcurrentHashMap<>();
    private final Map<String, Long> taken = new ConcurrentHashMap<>();
    private final BlockingQueue<Posted> posted = new LinkedBlockingQueue<>(MOST_POSTED);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final LongSupplier clock;
    private Thread leasing;
    private boolean stopping;

    /**
     * {@code own}: the jar of versions that name none. {@code clock}: ms since the epoch. Takes the folder and the
     * address for figures, and faults where it cannot. The store is closed with it.
     */
    Supervisor(
            SupervisorSettings settings,
            Store store,
            String own,
            RandomGenerator random,
            LongSupplier clock,
            Consumer<String> tell)
            throws FleetException {
        this.settings = settings;
        this.store = store;
        this.tell = tell;
        this.clock = clock;
        launches = new LaunchSpecFactory(own);
        folder = new SupervisorDirectory(settings.folder());
        Map<String, Supervised> nodes = new LinkedHashMap<>();
        settings.nodes().forEach(node -> nodes.put(node.name(), node));
        MetricsBuffer book = new MetricsBuffer(nodes.keySet());
        LongSupplier steady = () -> System.nanoTime() / 1_000_000;
        try {
            lease = new LeaseRenewer(settings, store, folder.owner(settings.machine()), this::report, tell, steady);
            intake = new MetricsReceiver(
                    settings.figures(), book, 4 * nodes.size() + 8, SENDER_WITHIN, Threads.connectionThreads(), tell);
        } catch (SupervisionException e) {
            folder.close();
            throw e;
        }
        orders = new OrderWatcher(
                nodes,
                store,
                lease,
                launches,
                settings.storeTimeout().dividedBy(2),
                n -> taken.getOrDefault(n, -1L),
                given -> post(given.node(), given.order()));
        writer = new MetricsPublisher(book, store, lease);
        for (Supervised node : settings.nodes()) {
            runners.put(
                    node.name(),
                    new NodeRunner(
                            node, settings, intake.address(), folder, book, random, e -> post(node.name(), e), tell));
        }
    }

    private void post(String node, NodeEvent event) {
        try {
            posted.put(new Posted(node, event));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts its threads and returns. */
    void start() {
        Threads.start("supervisor", this::run);
    }

    private void run() {
        long begin = clock.getAsLong();
        runners.values().forEach(r -> r.adopt(begin));
        runners.values().forEach(this::publish);
        leasing = Threads.start("lease", lease::run);
        Threads.start("orders", orders::run);
        Threads.start("pass figures", writer::run);
        tell.accept("supervisor " + settings.machine() + " ready");
        long next = begin;
        try {
            while (!(stopping
                    && runners.values().stream().allMatch(r -> r.machine().idle()))) {
                long now = clock.getAsLong();
                long due = runners.values().stream()
                        .mapToLong(r -> r.machine().due())
                        .min()
                        .orElse(Long.MAX_VALUE);
                Posted event = posted.poll(Math.max(0, Math.min(due, next) - now), TimeUnit.MILLISECONDS);
                now = clock.getAsLong();
                if (event != null) {
                    handle(event, now);
                }
                if (now >= next) {
                    next = now + HOUSEKEEPING;
                    runners.values().forEach(NodeRunner::rotate);
                    beginAlone(now - begin, now);
                }
                for (NodeRunner runner : runners.values()) {
                    if (now >= runner.machine().due()) {
                        put(runner, new NodeEvent.Tick(), now);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended.countDown();
        }
    }

    private void handle(Posted event, long now) {
        if (event.node() == null) {
            stopping = true;
            runners.values().forEach(r -> put(r, event.event(), now));
            return;
        }
        if (event.event() instanceof NodeEvent.Ordered && (stopping || lease.held() == null)) {
            return; // read before the lease ran out: it is read again under the next one
        }
        NodeRunner runner = runners.get(event.node());
        put(runner, event.event(), now);
        if (event.event() instanceof NodeEvent.Ended e) {
            runner.ended(e.run());
        }
    }

    /** Without a store, nodes start as they were last ordered, or under the version that they begin with. */
    private void beginAlone(long waited, long now) {
        if (waited < settings.lease().toMillis() || lease.others() || stopping) {
            return;
        }
        for (NodeRunner runner : runners.values()) {
            if (runner.machine().target() == null) {
                Logger.warn(
                        "node {}: begins without a word of the store",
                        runner.node().name());
                put(
                        runner,
                        runner.last()
                                .map(l -> new NodeEvent.Ordered(l, ""))
                                .orElseGet(() -> launches.ordered(
                                        runner.node(),
                                        VersionSpec.newBuilder()
                                                .setId(runner.node().version())
                                                .build(),
                                        0)),
                        now);
            }
        }
    }

    private void put(NodeRunner runner, NodeEvent event, long now) {
        runner.on(event, now);
        publish(runner);
    }

    private void publish(NodeRunner runner) {
        String name = runner.node().name();
        if (runner.machine().target() != null) {
            taken.put(name, runner.machine().target().order());
        }
        NodeReport view = runner.machine().view();
        if (!view.equals(views.put(name, view))) {
            lease.changed();
        }
    }

    private MachineReport report() {
        MachineReport.Builder report =
                MachineReport.newBuilder().setMachine(settings.machine()).setAtMs(clock.getAsLong());
        views.forEach((node, view) -> report.addNodes(NodeState.newBuilder()
                .setNode(node)
                .setZone(settings.zone())
                .setVersion(view.version())
                .setPhase(view.phase().name())
                .setSinceMs(view.since())
                .setOrderNumber(view.order())
                .setCrashes(view.crashes())
                .setTrouble(view.trouble())));
        return report.build();
    }

    /** Ends its nodes in good order, lets the lease go and returns; what does not end in time is killed. */
    @Override
    public void close() throws InterruptedException {
        post(null, new NodeEvent.Stop());
        ended.await();
        letGo();
    }

    private void letGo() throws InterruptedException {
        orders.close();
        writer.close();
        lease.close();
        intake.close();
        leasing.join(2 * settings.storeTimeout().toMillis());
        store.close();
        folder.close();
    }
}
