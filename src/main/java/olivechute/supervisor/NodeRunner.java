package olivechute.supervisor;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import olivechute.config.Address;
import olivechute.error.ErrorCode;
import olivechute.error.SupervisionException;
import olivechute.net.Threads;
import olivechute.supervisor.SupervisorSettings.ManagedNode;
import org.tinylog.Logger;

/**
 * Carries out the actions of one node's {@link NodeStateMachine}: starts, signals and monitors its processes. Runs on
 * the supervisor's thread; its own threads only post events.
 */
@SuppressWarnings({"ReferenceEquality", "FutureReturnValueIgnored"
}) // logs and targets are compared by identity; a failed task is logged by the code that it runs
final class NodeRunner {
    private static final long MAX_LOG_BYTES = 16 * 1024 * 1024;
    private static final long POLL_INTERVAL_MS = 50;
    /** Line in the log of a node that applied its changed configuration. */
    private static final String RELOADED_MESSAGE = "configuration read again";
    /** Start of the line in the log of a node that rejected its changed configuration; the error follows. */
    private static final String RELOAD_FAILED_PREFIX = "configuration not changed: ";

    private final ManagedNode node;
    private final SupervisorSettings settings;
    private final String metricsAddress;
    private final SupervisorDirectory directory;
    private final MetricsBuffer metricsBuffer;
    private final Consumer<NodeEvent> eventSink;
    private final Consumer<String> output;
    private final NodeStateMachine stateMachine;
    private final LaunchSpec storedLaunch; // null if no earlier supervisor accepted an order
    private final List<NodeLog> logs = new ArrayList<>();
    private final Map<Long, NodeProcess> processes = new HashMap<>();
    private final Map<Integer, NodeProcess> adoptable = new HashMap<>();
    private final ArrayDeque<NodeEvent> pendingEvents = new ArrayDeque<>();

    NodeRunner(
            ManagedNode node,
            SupervisorSettings settings,
            String metricsAddress,
            SupervisorDirectory directory,
            MetricsBuffer metricsBuffer,
            RandomGenerator random,
            Consumer<NodeEvent> eventSink,
            Consumer<String> output) {
        this.node = node;
        this.settings = settings;
        this.metricsAddress = metricsAddress;
        this.directory = directory;
        this.metricsBuffer = metricsBuffer;
        this.eventSink = eventSink;
        this.output = output;
        storedLaunch = directory
                .load(directory.file(node.name() + ".order"))
                .flatMap(SupervisorStateFile::parseLaunch)
                .orElse(null);
        stateMachine = new NodeStateMachine(
                node.name(),
                node.addresses(),
                settings.timeouts(),
                storedLaunch == null ? 0 : storedLaunch.orderNumber(),
                random);
        for (int i = 0; i < node.addresses().size(); i++) {
            logs.add(new NodeLog(directory.file(node.name() + "." + i + ".log"), MAX_LOG_BYTES));
        }
    }

    NodeStateMachine stateMachine() {
        return stateMachine;
    }

    ManagedNode node() {
        return node;
    }

    /** Returns the launch of the last order that an earlier supervisor accepted for this node. */
    Optional<LaunchSpec> storedLaunch() {
        return Optional.ofNullable(storedLaunch);
    }

    /**
     * Adopts the processes that an earlier supervisor left running. A process at an address that is no longer the
     * node's is terminated.
     */
    void adopt(long nowMs) {
        for (int i = 0; i < node.addresses().size(); i++) {
            NodeLog log = logs.get(i);
            SupervisorStateFile.ProcessRecord stored = directory
                    .load(pidFile(i))
                    .flatMap(SupervisorStateFile::parseProcess)
                    .orElse(null);
            NodeProcess process =
                    stored == null ? null : NodeProcess.find(stored, log).orElse(null);
            if (process != null && stored.address().equals(node.addresses().get(i))) {
                adoptable.put(i, process);
                handle(new NodeEvent.Adopted(i, stored.launch()), nowMs);
            } else if (process != null) {
                Logger.warn(
                        "node {} runs at {}, which is no longer one of its addresses: terminating it",
                        node.name(),
                        stored.address());
                process.handle().destroy();
            }
        }
    }

    private Path pidFile(int addressIndex) {
        return directory.file(node.name() + "." + addressIndex + ".pid");
    }

    /** Passes an event to the state machine, stores a new target, and executes the resulting actions. */
    void handle(NodeEvent event, long nowMs) {
        pendingEvents.add(event);
        while (!pendingEvents.isEmpty()) {
            LaunchSpec previousTarget = stateMachine.target();
            List<NodeAction> actions = stateMachine.handle(pendingEvents.poll(), nowMs);
            if (stateMachine.target() != previousTarget) {
                save(directory.file(node.name() + ".order"), SupervisorStateFile.toProperties(stateMachine.target()));
            }
            actions.forEach(this::execute);
        }
    }

    private void execute(NodeAction action) {
        if (action instanceof NodeAction.PrintLine a) {
            output.accept(a.line());
        } else if (action instanceof NodeAction.Start a) {
            start(a);
        } else if (action instanceof NodeAction.Adopt a) {
            monitor(a.runId(), a.addressIndex(), adoptable.remove(a.addressIndex()));
        } else if (action instanceof NodeAction.Drain a) {
            Optional.ofNullable(processes.get(a.runId()))
                    .ifPresent(p -> p.handle().destroy());
        } else if (action instanceof NodeAction.Kill a) {
            Optional.ofNullable(processes.get(a.runId()))
                    .ifPresent(p -> p.handle().destroyForcibly());
        } else if (action instanceof NodeAction.Reload a) {
            reload(a.runId(), processes.get(a.runId()), a.launch());
        } else if (action instanceof NodeAction.RecordLaunch a) {
            recordLaunch(processes.get(a.runId()), a.launch());
        }
    }

    private void start(NodeAction.Start start) {
        LaunchSpec launch = start.launch();
        String address = node.addresses().get(start.addressIndex());
        NodeLog log = logs.get(start.addressIndex());
        Path configFile = directory.file(node.name() + "-" + launch.orderNumber() + ".json");
        try {
            ArtifactVerifier.verify(launch.program(), launch.expectedDigest());
            directory.replace(configFile, launch.configJson());
            directory.deleteUnusedConfigs(
                    node.name(),
                    Stream.concat(processes.values().stream().map(NodeProcess::configFile), Stream.of(configFile))
                            .toList());
            log.rotate();
            NodeProcess process = NodeProcess.start(
                    settings.javaCommand(),
                    launch,
                    Map.of(
                            "LB_CONFIG",
                            configFile.toString(),
                            "LB_LISTEN",
                            address,
                            "LB_NAME",
                            node.name(),
                            "OLIVECHUTE_FIGURES",
                            metricsAddress,
                            "OLIVECHUTE_VERSION",
                            launch.version()),
                    log,
                    configFile);
            metricsBuffer.processStarted(node.name());
            save(pidFile(start.addressIndex()), SupervisorStateFile.toProperties(process.toRecord(address, launch)));
            monitor(start.runId(), start.addressIndex(), process);
        } catch (SupervisionException e) {
            pendingEvents.add(new NodeEvent.StartFailed(start.runId(), e.getMessage()));
        } catch (IOException e) {
            pendingEvents.add(new NodeEvent.StartFailed(
                    start.runId(),
                    new SupervisionException(
                                    ErrorCode.NODE_CRASHED,
                                    node.name() + " under " + launch.version() + " cannot be started: " + e)
                            .getMessage()));
        }
    }

    /** Waits on other threads for the process to become ready and to exit. */
    private void monitor(long runId, int addressIndex, NodeProcess process) {
        processes.put(runId, process);
        process.exitStatus()
                .whenComplete((status, fault) -> eventSink.accept(
                        new NodeEvent.Exited(runId, status, process.log().lastLineAfter(process.logOffset()))));
        Threads.start("ready " + node.name(), () -> {
            try {
                do {
                    if (ReadinessProbe.isReady(
                            Address.parse("listen", node.addresses().get(addressIndex)))) {
                        eventSink.accept(new NodeEvent.Ready(runId));
                        return;
                    }
                } while (!process.waitForExit(POLL_INTERVAL_MS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Removes a process that exited, and its pid file. */
    void removeProcess(long runId) {
        NodeProcess removed = processes.remove(runId);
        for (int i = 0; removed != null && i < logs.size(); i++) {
            if (logs.get(i) == removed.log() && processes.values().stream().noneMatch(p -> p.log() == removed.log())) {
                directory.remove(pidFile(i));
            }
        }
    }

    /** Makes the process reload, and waits for the result in its log on another thread. */
    private void reload(long runId, NodeProcess process, LaunchSpec launch) {
        long logOffset = process.log().size();
        try {
            directory.replace(process.configFile(), launch.configJson());
            process.sendHangup();
        } catch (IOException e) {
            pendingEvents.add(new NodeEvent.Reloaded(runId, e.toString()));
            return;
        }
        long maxPolls = settings.timeouts().readyTimeout().toMillis() / POLL_INTERVAL_MS;
        Threads.start("reload " + node.name(), () -> {
            try {
                for (long i = 0; i < maxPolls && !process.waitForExit(POLL_INTERVAL_MS); i++) {
                    for (String line : process.log().linesAfter(logOffset)) {
                        int errorIndex = line.indexOf(RELOAD_FAILED_PREFIX);
                        if (errorIndex >= 0 || line.contains(RELOADED_MESSAGE)) {
                            eventSink.accept(new NodeEvent.Reloaded(
                                    runId,
                                    errorIndex < 0 ? "" : line.substring(errorIndex + RELOAD_FAILED_PREFIX.length())));
                            return;
                        }
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void recordLaunch(NodeProcess process, LaunchSpec launch) {
        try {
            directory.replace(process.configFile(), launch.configJson());
        } catch (IOException e) {
            Logger.warn("node {}: cannot write its configuration file: {}", node.name(), e.toString());
        }
        int addressIndex = logs.indexOf(process.log());
        save(
                pidFile(addressIndex),
                SupervisorStateFile.toProperties(
                        process.toRecord(node.addresses().get(addressIndex), launch)));
        metricsBuffer.versionOverride(node.name(), process.initialLaunch().version(), launch.version());
    }

    private void save(Path file, Properties values) {
        try {
            directory.save(file, values);
        } catch (IOException e) {
            Logger.error(
                    "node {}: cannot write {}, which will be out of date after a restart of the supervisor: {}",
                    node.name(),
                    file,
                    e.toString());
        }
    }

    /** Rotates the logs that exceed the size limit. */
    void rotateLogs() {
        logs.forEach(NodeLog::rotate);
    }
}
