package olivechute.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import olivechute.error.ErrorCode;
import olivechute.error.SupervisionException;
import olivechute.rollout.NodePhase;
import olivechute.supervisor.NodeEvent.Adopted;
import olivechute.supervisor.NodeEvent.Exited;
import olivechute.supervisor.NodeEvent.OrderReceived;
import olivechute.supervisor.NodeEvent.Ready;
import olivechute.supervisor.NodeEvent.Reloaded;
import olivechute.supervisor.NodeEvent.StartFailed;
import olivechute.supervisor.NodeEvent.Stop;

/**
 * Decides what to do for one node; does no I/O. A node has one or two addresses with at most one process each. If an
 * address is free, the new version starts there, and the old process drains only once the new one is ready; otherwise
 * the old process ends first. Called on the supervisor's thread. Times are milliseconds since the epoch.
 */
final class NodeStateMachine {
    private final String node;
    private final NodeTimeouts timeouts;
    private final RandomGenerator random;
    private final List<NodeSlot> slots = new ArrayList<>();
    private final List<NodeAction> actions = new ArrayList<>();
    private final long minOrderNumber;
    private LaunchSpec target;
    private boolean rejected;
    private boolean reloadTimedOut; // the reload to the target timed out: a new process must be started
    private boolean targetWasReady; // the target has been ready on this node before
    private boolean stopping;
    private int consecutiveFailures;
    private int crashes;
    private long retryAtMs;
    private long lastRunId;
    private long lastEventMs;
    private String lastError = "";
    private NodeReport report;

    /**
     * {@code minOrderNumber}: number of the last order that an earlier supervisor accepted; orders with a lower number
     * are ignored.
     */
    NodeStateMachine(
            String node, List<String> addresses, NodeTimeouts timeouts, long minOrderNumber, RandomGenerator random) {
        this.node = node;
        this.timeouts = timeouts;
        this.minOrderNumber = minOrderNumber;
        this.random = random;
        for (String address : addresses) {
            slots.add(new NodeSlot(slots.size(), address));
        }
        report = new NodeReport("", NodePhase.DOWN, 0, 0, 0, "");
    }

    /** Returns the actions that follow from an event, in order. */
    List<NodeAction> handle(NodeEvent event, long nowMs) {
        actions.clear();
        if (event instanceof OrderReceived e) {
            handleOrder(e);
        } else if (event instanceof Adopted e) {
            NodeSlot slot = slots.get(e.addressIndex());
            occupy(slot, e.launch(), NodeSlot.State.ADOPTED, nowMs);
            actions.add(new NodeAction.Adopt(slot.runId, slot.index, e.launch()));
        } else if (event instanceof Stop) {
            stopping = true;
        } else if (event instanceof Ready e) {
            slotsOfRun(e.runId()).forEach(slot -> markReady(slot, nowMs));
        } else if (event instanceof Reloaded e) {
            slotsOfRun(e.runId()).forEach(slot -> handleReloadResult(slot, e.error()));
        } else if (event instanceof StartFailed e) {
            slotsOfRun(e.runId()).forEach(slot -> handleStartFailure(slot, e.error(), nowMs));
        } else if (event instanceof Exited e) {
            slotsOfRun(e.runId()).forEach(slot -> handleExit(slot, e, nowMs));
        }
        handleDeadlines(nowMs);
        reconcile(nowMs);
        lastEventMs = nowMs;
        report = buildReport(nowMs);
        return List.copyOf(actions);
    }

    private List<NodeSlot> slotsOfRun(long runId) {
        return slots.stream().filter(s -> !s.isEmpty() && s.runId == runId).toList();
    }

    private void handleOrder(OrderReceived e) {
        LaunchSpec launch = e.launch();
        if (launch.orderNumber() < minOrderNumber || (target != null && launch.orderNumber() <= target.orderNumber())) {
            return;
        }
        if (target == null || !target.version().equals(launch.version())) {
            crashes = 0;
            targetWasReady = false;
        }
        target = launch;
        rejected = !e.error().isEmpty();
        lastError = e.error();
        reloadTimedOut = false;
        consecutiveFailures = 0;
        retryAtMs = 0;
    }

    private void occupy(NodeSlot slot, LaunchSpec launch, NodeSlot.State state, long nowMs) {
        slot.runId = ++lastRunId;
        slot.launch = launch;
        slot.enter(state, nowMs + timeouts.readyTimeout().toMillis());
    }

    private void markReady(NodeSlot slot, long nowMs) {
        if (slot.isDraining() || slot.state == NodeSlot.State.READY) {
            return;
        }
        slot.enter(NodeSlot.State.READY, Long.MAX_VALUE);
        slot.readySinceMs = nowMs;
        announceReady(slot);
    }

    private void announceReady(NodeSlot slot) {
        if (isTarget(slot)) {
            targetWasReady = true;
            rejected = false;
            lastError = "";
        }
        announce("ready " + slot.launch.version() + " on " + slot.address);
    }

    private boolean isTarget(NodeSlot slot) {
        return target != null && slot.launch.version().equals(target.version());
    }

    private void handleReloadResult(NodeSlot slot, String error) {
        LaunchSpec reloadTarget = slot.reloadTarget;
        if (reloadTarget == null) {
            return;
        }
        slot.reloadTarget = null;
        slot.deadlineMs = Long.MAX_VALUE;
        if (error.isEmpty()) {
            slot.launch = reloadTarget;
            announceReady(slot);
        } else if (target.version().equals(reloadTarget.version())) {
            reject(new SupervisionException(
                    ErrorCode.SETTINGS_REFUSED, node + " under " + reloadTarget.version() + ": " + error));
        }
        actions.add(new NodeAction.RecordLaunch(slot.runId, slot.launch));
    }

    private void handleStartFailure(NodeSlot slot, String error, long nowMs) {
        boolean concernsTarget = isTarget(slot) && !slot.isDraining();
        slot.enter(NodeSlot.State.EMPTY, Long.MAX_VALUE);
        if (concernsTarget && targetWasReady) {
            recordFailure(error, nowMs);
        } else if (concernsTarget) {
            rejected = true;
            lastError = error;
        }
    }

    private void handleExit(NodeSlot slot, Exited e, long nowMs) {
        announce("ended " + (e.exitStatus() == null ? "unknown" : e.exitStatus()));
        boolean exitRequested = slot.isDraining();
        boolean wasStarting = slot.isStarting();
        boolean wasStable = slot.state == NodeSlot.State.READY
                && nowMs - slot.readySinceMs >= timeouts.maxBackoff().toMillis();
        slot.enter(NodeSlot.State.EMPTY, Long.MAX_VALUE);
        if (exitRequested) {
            return;
        }
        String details = node + " under " + slot.launch.version() + ", status " + e.exitStatus() + ": " + e.lastLine();
        if (!isTarget(slot)) {
            lastError = new SupervisionException(ErrorCode.NODE_CRASHED, details).getMessage();
        } else if (wasStarting && !targetWasReady && StartFailureClassifier.isPermanent(e.exitStatus(), e.lastLine())) {
            reject(new SupervisionException(ErrorCode.SETTINGS_REFUSED, details));
        } else {
            consecutiveFailures = wasStable ? 0 : consecutiveFailures;
            recordFailure(new SupervisionException(ErrorCode.NODE_CRASHED, details).getMessage(), nowMs);
        }
    }

    private void reject(SupervisionException error) {
        rejected = true;
        lastError = error.getMessage();
    }

    private void recordFailure(String error, long nowMs) {
        crashes++;
        consecutiveFailures++;
        lastError = error;
        retryAtMs = nowMs + timeouts.backoffMillis(consecutiveFailures, random);
    }

    private void handleDeadlines(long nowMs) {
        for (NodeSlot slot : slots) {
            if (nowMs < slot.deadlineMs) {
                continue;
            }
            if (slot.isDraining()) {
                slot.killed = true;
                slot.deadlineMs = Long.MAX_VALUE;
                actions.add(new NodeAction.Kill(slot.runId));
            } else if (slot.reloadTarget != null) {
                reloadTimedOut |= isTargetOrder(slot.reloadTarget);
                slot.reloadTarget = null;
                slot.deadlineMs = Long.MAX_VALUE;
            } else {
                boolean concernsTarget = isTarget(slot);
                drain(slot, nowMs);
                if (concernsTarget) {
                    recordFailure(
                            new SupervisionException(
                                            ErrorCode.NODE_NOT_READY,
                                            node + " under " + slot.launch.version() + " within "
                                                    + timeouts.readyTimeout().toMillis() + " ms")
                                    .getMessage(),
                            nowMs);
                }
            }
        }
    }

    private boolean isTargetOrder(LaunchSpec launch) {
        return target != null && target.orderNumber() == launch.orderNumber();
    }

    private void drain(NodeSlot slot, long nowMs) {
        slot.enter(NodeSlot.State.DRAINING, nowMs + timeouts.drainTimeout().toMillis());
        announce("drains " + slot.launch.version());
        actions.add(new NodeAction.Drain(slot.runId));
    }

    private void announce(String message) {
        actions.add(new NodeAction.PrintLine("node " + node + " " + message));
    }

    private void reconcile(long nowMs) {
        if (stopping) {
            slots.stream().filter(s -> !s.isEmpty() && !s.isDraining()).forEach(s -> drain(s, nowMs));
            return;
        }
        if (target == null) {
            return;
        }
        NodeSlot current = slots.stream()
                .filter(s -> s.runsVersion(target.version()) && s.isReady())
                .findFirst()
                .orElse(slots.stream()
                        .filter(s -> s.runsVersion(target.version()))
                        .findFirst()
                        .orElse(null));
        for (NodeSlot slot : slots) {
            // A starting process is drained at once, a serving one only when its replacement is ready.
            if (slot != current
                    && !slot.isEmpty()
                    && !slot.isDraining()
                    && (slot.isStarting() || (current != null && current.isReady()))) {
                drain(slot, nowMs);
            }
        }
        if (current == null
                && !rejected
                && nowMs >= retryAtMs
                && slots.stream().noneMatch(s -> s.reloadTarget != null)) {
            startTarget(nowMs);
        }
    }

    private void startTarget(long nowMs) {
        NodeSlot serving =
                slots.stream().filter(NodeSlot::isServing).findFirst().orElse(null);
        NodeSlot free = slots.stream().filter(NodeSlot::isEmpty).findFirst().orElse(null);
        if (serving != null && serving.isReady() && !reloadTimedOut && serving.launch.canReloadTo(target)) {
            serving.reloadTarget = target;
            serving.deadlineMs = nowMs + timeouts.readyTimeout().toMillis();
            actions.add(new NodeAction.Reload(serving.runId, target));
        } else if (free != null) {
            occupy(free, target, NodeSlot.State.STARTING, nowMs);
            announce("starts " + target.version());
            actions.add(new NodeAction.Start(free.runId, free.index, target));
        } else if (serving != null && slots.stream().noneMatch(NodeSlot::isDraining)) {
            drain(serving, nowMs);
        }
    }

    /** When the next {@link NodeEvent.Tick} is due; {@link Long#MAX_VALUE} for never. */
    long nextTickMs() {
        boolean waitingForRetry = target != null
                && !rejected
                && !stopping
                && retryAtMs > lastEventMs
                && slots.stream().noneMatch(s -> s.runsVersion(target.version()));
        long nextMs = waitingForRetry ? retryAtMs : Long.MAX_VALUE;
        for (NodeSlot slot : slots) {
            nextMs = Math.min(nextMs, slot.deadlineMs);
        }
        return nextMs;
    }

    private NodeReport buildReport(long nowMs) {
        NodeSlot serving = slots.stream()
                .filter(s -> s.state == NodeSlot.State.READY)
                .reduce((a, b) -> isTarget(b) ? b : a)
                .orElse(slots.stream()
                        .filter(s -> s.state == NodeSlot.State.ADOPTED)
                        .findFirst()
                        .orElse(null));
        NodeSlot draining =
                slots.stream().filter(NodeSlot::isDraining).findFirst().orElse(null);
        boolean targetReady = serving != null && serving.isReady() && isTarget(serving);
        boolean starting = slots.stream().anyMatch(s -> s.isStarting() || s.state == NodeSlot.State.ADOPTED)
                || (serving != null && consecutiveFailures > 0);
        NodePhase phase = targetReady
                ? NodePhase.READY
                : rejected
                        ? NodePhase.REFUSED
                        : starting
                                ? NodePhase.STARTING
                                : serving != null
                                        ? NodePhase.READY
                                        : draining != null ? NodePhase.DRAINING : NodePhase.DOWN;
        String version = serving != null
                ? serving.launch.version()
                : phase == NodePhase.DRAINING ? draining.launch.version() : "";
        long completedOrder = target != null && (targetReady || rejected || crashes > 0)
                ? target.orderNumber()
                : report.completedOrder();
        boolean unchanged = phase == report.phase() && version.equals(report.version());
        return new NodeReport(version, phase, unchanged ? report.sinceMs() : nowMs, completedOrder, crashes, lastError);
    }

    /** Returns the state of the node after the last event. */
    NodeReport report() {
        return report;
    }

    /** Returns what the newest order demands; null before the first order. */
    LaunchSpec target() {
        return target;
    }

    /** Whether the node has no process. */
    boolean isIdle() {
        return slots.stream().allMatch(NodeSlot::isEmpty);
    }
}
