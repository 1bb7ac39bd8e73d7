package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one endpoint on this node: its entry in the endpoint list, the attempts in flight, and the statistics and
 * exclusions derived from earlier attempts. Used on the event loop only.
 */
final class Endpoint {
    final EndpointKindStats kindStats;
    /** Random number drawn once per endpoint; the endpoints of lowest rank form this node's working set. */
    final double rank;
    /** Whether the endpoint is in this node's zone; also true if its zone is {@code null}. */
    final boolean inLocalZone;

    EndpointInfo info;
    EndpointHealth health = EndpointHealth.HEALTHY;
    /**
     * Whether the endpoint is missing from the list without having been listed as draining; set only if
     * {@link ServiceRules#keepsUnlistedEndpoints()}.
     */
    boolean unlisted;
    /** Instances of each tenant, by tenant index; the weights that {@link ShareController} maintains. */
    int[] tenantInstances = new int[0];

    final List<Attempt> attempts = new ArrayList<>();
    final InFlightHistory inFlightHistory = new InFlightHistory();
    final ConnectionCount connectionCount = new ConnectionCount();
    final LoadReportState loadReportState = new LoadReportState();
    final StartWait startWait = new StartWait();
    final LatencyStats latencyStats;
    final ConcurrencyWindow concurrencyWindow = new ConcurrencyWindow();
    final OutlierState outlierState = new OutlierState();
    final ClassExclusion classExclusion;
    final SlowStartSends slowStartSends = new SlowStartSends();
    /** Time of the last probe, in microseconds. */
    long lastProbedAtUs = Long.MIN_VALUE / 2;

    private double memoryInFlight;

    Endpoint(EndpointInfo info, EndpointKindStats kindStats, double rank, boolean inLocalZone, int classCount) {
        this.info = info;
        this.kindStats = kindStats;
        this.rank = rank;
        this.inLocalZone = inLocalZone;
        this.latencyStats = new LatencyStats(kindStats.relativeRunTime);
        this.classExclusion = new ClassExclusion(classCount);
    }

    String name() {
        return info.name();
    }

    boolean active() {
        return info.state() == EndpointState.ACTIVE;
    }

    void markRemoved() {
        info = new EndpointInfo(
                info.name(),
                info.zone(),
                info.kind(),
                info.cell(),
                EndpointState.REMOVED,
                info.weight(),
                info.startedAtUs());
    }

    /** Handles a restart of the endpoint's process: clears recent observations and keeps the long-term running time. */
    void onRestart() {
        concurrencyWindow.clear();
        latencyStats.clear();
        startWait.clear();
        connectionCount.onIdleClosed(0);
        classExclusion.clear();
        outlierState.clear();
        loadReportState.clear();
    }

    void onSend(long nowUs, Attempt attempt, ServiceRules rules) {
        if (slowStartCapacity(nowUs - rules.overloadWindowUs(), rules) < 1) {
            slowStartSends.onSend(nowUs, attempt.request);
        }
        loadReportState.onSend(nowUs);
        attempts.add(attempt);
        connectionCount.onSend(nowUs, attempts.size());
        inFlightHistory.add(nowUs, attempt.request.slots);
        memoryInFlight += attempt.request.memory;
    }

    void onAttemptEnd(long nowUs, Attempt attempt) {
        attempts.remove(attempt);
        inFlightHistory.add(nowUs, -attempt.request.slots);
        memoryInFlight = attempts.isEmpty() ? 0 : memoryInFlight - attempt.request.memory;
    }

    /** Returns the fraction of its capacity that the slow start rules guarantee at this time, from 0 to 1. */
    double slowStartCapacity(long nowUs, ServiceRules rules) {
        long startedAtUs = Math.max(info.startedAtUs(), outlierState.assumedStartUs);
        if (startedAtUs <= 0 || nowUs - startedAtUs >= rules.slowStartDurationUs()) {
            return 1;
        }
        double rampedUs = (1 - rules.slowStartCapacity()) * Math.max(0, nowUs - startedAtUs);
        return rules.slowStartCapacity() + rampedUs / rules.slowStartDurationUs();
    }

    boolean inSlowStart(long nowUs, ServiceRules rules) {
        return slowStartCapacity(nowUs, rules) < 1;
    }

    boolean hasIdleConnection() {
        return connectionCount.hasIdle(attempts.size());
    }

    double memoryInFlight() {
        return memoryInFlight;
    }

    /** Returns the slots of this node's requests that are known to run. */
    int runningSlots() {
        int running = 0;
        for (int i = 0; i < attempts.size(); i++) {
            running += attempts.get(i).started() ? attempts.get(i).request.slots : 0;
        }
        return running;
    }
}
