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
import olivechute.supervisor.SupervisorSettings.ManagedNode;
import org.tinylog.Logger;

/**
 * Runs the nodes of one machine. One thread decides and acts; other threads renew the lease, read orders, publish
 * metrics and wait for processes, and post events to it.
 */
final class Supervisor implements AutoCloseable {
    private static final int EVENT_QUEUE_CAPACITY = 4096;
    private static final long HOUSEKEEPING_INTERVAL_MS = 1000;
    private static final int METRICS_MESSAGE_TIMEOUT_MS = 5000;

    /** {@code node}: null for all nodes. */
    private record QueuedEvent(String node, NodeEvent event) {}

    private final SupervisorSettings settings;
    private final Store store;
    private final LaunchSpecFactory launchSpecFactory;
    private final Consumer<String> output;
    private final SupervisorDirectory directory;
    private final MetricsReceiver metricsReceiver;
    private final LeaseRenewer leaseRenewer;
    private final OrderWatcher orderWatcher;
    private final MetricsPublisher metricsPublisher;
    private final Map<String, NodeRunner> runners = new LinkedHashMap<>();
    private final Map<String, NodeReport> reports = new ConcurrentHashMap<>();
    private final Map<String, Long> currentOrderNumbers = new ConcurrentHashMap<>();
    private final BlockingQueue<QueuedEvent> events = new LinkedBlockingQueue<>(EVENT_QUEUE_CAPACITY);
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final LongSupplier clock;
    private Thread leaseThread;
    private boolean stopping;

    /**
     * {@code defaultJar}: the jar for versions that name no program; {@code clock}: milliseconds since the epoch. Locks
     * the directory and opens the metrics address; throws if either fails. {@link #close} closes the store too.
     */
    Supervisor(
            SupervisorSettings settings,
            Store store,
            String defaultJar,
            RandomGenerator random,
            LongSupplier clock,
            Consumer<String> output)
            throws FleetException {
        this.settings = settings;
        this.store = store;
        this.output = output;
        this.clock = clock;
        launchSpecFactory = new LaunchSpecFactory(defaultJar);
        directory = new SupervisorDirectory(settings.directory());
        Map<String, ManagedNode> nodes = new LinkedHashMap<>();
        settings.nodes().forEach(node -> nodes.put(node.name(), node));
        MetricsBuffer metricsBuffer = new MetricsBuffer(nodes.keySet());
        LongSupplier monotonicClock = () -> System.nanoTime() / 1_000_000;
        try {
            leaseRenewer = new LeaseRenewer(
                    settings,
                    store,
                    directory.leaseOwner(settings.machine()),
                    this::buildMachineReport,
                    output,
                    monotonicClock);
            metricsReceiver = new MetricsReceiver(
                    settings.metricsAddress(),
                    metricsBuffer,
                    4 * nodes.size() + 8,
                    METRICS_MESSAGE_TIMEOUT_MS,
                    Threads.connectionThreads(),
                    output);
        } catch (SupervisionException e) {
            directory.close();
            throw e;
        }
        orderWatcher = new OrderWatcher(
                nodes,
                store,
                leaseRenewer,
                launchSpecFactory,
                settings.storeTimeout().dividedBy(2),
                n -> currentOrderNumbers.getOrDefault(n, -1L),
                nodeOrder -> post(nodeOrder.node(), nodeOrder.order()));
        metricsPublisher = new MetricsPublisher(metricsBuffer, store, leaseRenewer);
        for (ManagedNode node : settings.nodes()) {
            runners.put(
                    node.name(),
                    new NodeRunner(
                            node,
                            settings,
                            metricsReceiver.address(),
                            directory,
                            metricsBuffer,
                            random,
                            e -> post(node.name(), e),
                            output));
        }
    }

    private void post(String node, NodeEvent event) {
        try {
            events.put(new QueuedEvent(node, event));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts the supervisor's threads and returns. */
    void start() {
        Threads.start("supervisor", this::run);
    }

    private void run() {
        long startMs = clock.getAsLong();
        runners.values().forEach(r -> r.adopt(startMs));
        runners.values().forEach(this::updateReport);
        leaseThread = Threads.start("lease", leaseRenewer::run);
        Threads.start("orders", orderWatcher::run);
        Threads.start("pass figures", metricsPublisher::run);
        output.accept("supervisor " + settings.machine() + " ready");
        long nextHousekeepingMs = startMs;
        try {
            while (!(stopping
                    && runners.values().stream().allMatch(r -> r.stateMachine().isIdle()))) {
                long nowMs = clock.getAsLong();
                long nextTickMs = runners.values().stream()
                        .mapToLong(r -> r.stateMachine().nextTickMs())
                        .min()
                        .orElse(Long.MAX_VALUE);
                QueuedEvent event = events.poll(
                        Math.max(0, Math.min(nextTickMs, nextHousekeepingMs) - nowMs), TimeUnit.MILLISECONDS);
                nowMs = clock.getAsLong();
                if (event != null) {
                    handle(event, nowMs);
                }
                if (nowMs >= nextHousekeepingMs) {
                    nextHousekeepingMs = nowMs + HOUSEKEEPING_INTERVAL_MS;
                    runners.values().forEach(NodeRunner::rotateLogs);
                    startWithoutStore(nowMs - startMs, nowMs);
                }
                for (NodeRunner runner : runners.values()) {
                    if (nowMs >= runner.stateMachine().nextTickMs()) {
                        dispatch(runner, new NodeEvent.Tick(), nowMs);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            terminated.countDown();
        }
    }

    private void handle(QueuedEvent queued, long nowMs) {
        if (queued.node() == null) {
            stopping = true;
            runners.values().forEach(r -> dispatch(r, queued.event(), nowMs));
            return;
        }
        if (queued.event() instanceof NodeEvent.OrderReceived && (stopping || leaseRenewer.validLease() == null)) {
            return; // was read before the lease expired; it is read again under the next lease
        }
        NodeRunner runner = runners.get(queued.node());
        dispatch(runner, queued.event(), nowMs);
        if (queued.event() instanceof NodeEvent.Exited e) {
            runner.removeProcess(e.runId());
        }
    }

    /**
     * Starts the nodes that received no order within one lease TTL, as when the store is down: with the last order that
     * an earlier supervisor accepted, or with their initial version. None is started while another process holds the
     * lease.
     */
    private void startWithoutStore(long waitedMs, long nowMs) {
        if (waitedMs < settings.leaseTtl().toMillis() || leaseRenewer.heldByOther() || stopping) {
            return;
        }
        for (NodeRunner runner : runners.values()) {
            if (runner.stateMachine().target() == null) {
                Logger.warn(
                        "node {}: starting without orders from the store",
                        runner.node().name());
                dispatch(
                        runner,
                        runner.storedLaunch()
                                .map(l -> new NodeEvent.OrderReceived(l, ""))
                                .orElseGet(() -> launchSpecFactory.createOrder(
                                        runner.node(),
                                        VersionSpec.newBuilder()
                                                .setId(runner.node().initialVersion())
                                                .build(),
                                        0)),
                        nowMs);
            }
        }
    }

    private void dispatch(NodeRunner runner, NodeEvent event, long nowMs) {
        runner.handle(event, nowMs);
        updateReport(runner);
    }

    private void updateReport(NodeRunner runner) {
        String name = runner.node().name();
        if (runner.stateMachine().target() != null) {
            currentOrderNumbers.put(name, runner.stateMachine().target().orderNumber());
        }
        NodeReport report = runner.stateMachine().report();
        if (!report.equals(reports.put(name, report))) {
            leaseRenewer.reportChanged();
        }
    }

    private MachineReport buildMachineReport() {
        MachineReport.Builder report =
                MachineReport.newBuilder().setMachine(settings.machine()).setAtMs(clock.getAsLong());
        reports.forEach((node, nodeReport) -> report.addNodes(NodeState.newBuilder()
                .setNode(node)
                .setZone(settings.zone())
                .setVersion(nodeReport.version())
                .setPhase(nodeReport.phase().name())
                .setSinceMs(nodeReport.sinceMs())
                .setOrderNumber(nodeReport.completedOrder())
                .setCrashes(nodeReport.crashes())
                .setTrouble(nodeReport.lastError())));
        return report.build();
    }

    /** Drains the nodes, releases the lease and returns; a process that does not exit in time is killed. */
    @Override
    public void close() throws InterruptedException {
        post(null, new NodeEvent.Stop());
        terminated.await();
        releaseResources();
    }

    private void releaseResources() throws InterruptedException {
        orderWatcher.close();
        metricsPublisher.close();
        leaseRenewer.close();
        metricsReceiver.close();
        leaseThread.join(2 * settings.storeTimeout().toMillis());
        store.close();
        directory.close();
    }
}
