package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.List;

/**
 * One endpoint as this node knows it: what the list says of it, what is in flight there, and what was learned of it.
 */
final class Endpoint {
    final EndpointKindStats kindStats;
    /** Drawn once: the endpoints of lowest rank are this node's working set. */
    final double rank;
    /** Whether it is in this node's zone. */
    final boolean inLocalZone;

    EndpointInfo info;
    EndpointHealth health = EndpointHealth.HEALTHY;
    /** Whether the list has lost it without saying that it drains, where only draining binds. */
    boolean unlisted;
    /** Instances of each tenant on it; the weights of the share controller. */
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
    /** When it was last probed, in microseconds. */
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

    /** Its process started anew: recent observations are forgotten; the long-term running time is kept. */
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

    /** The part of its capacity that it has for certain by the rules of slow start, from 0 to 1. */
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

    /** Slots of this node's requests that are known to run. */
    int runningSlots() {
        int running = 0;
        for (int i = 0; i < attempts.size(); i++) {
            running += attempts.get(i).started() ? attempts.get(i).request.slots : 0;
        }
        return running;
    }
}
