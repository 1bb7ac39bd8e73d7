package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Controls each tenant's share of the slot time. Every endpoint has a number of instances of each tenant, which are
 * weights: a tenant's requests are sent to an endpoint with a probability proportional to its instances there, and the
 * total of its instances sets how often its queue is served. Twice a second instances are taken from tenants above
 * their share and given to those below it, after the third modification in M. Habib's thesis on provisioning; see
 * docs/design.md. Called on the event loop.
 */
final class ShareController {
    /** Interval between calls of {@link #onInterval}. */
    static final long INTERVAL_US = 500_000;

    private static final int INITIAL_INSTANCES = 10;
    /** A tenant whose share deviates by no more than this is not adjusted. */
    private static final double SHARE_TOLERANCE = 0.02;
    /** Minimum weight of the last interval in the running mean; without it late changes would have no effect. */
    private static final double MIN_INTERVAL_WEIGHT = 0.05;
    /** A tenant keeps at least one instance on every endpoint where it has any. */
    private static final int MIN_INSTANCES_TO_TAKE = 2;

    private final List<TenantQueue> tenants = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final int initialInstances;
    private final double shareTolerance;
    private final double minIntervalWeight;
    private long intervalCount;
    private int unassignedInstances;

    ShareController() {
        this(INITIAL_INSTANCES, SHARE_TOLERANCE, MIN_INTERVAL_WEIGHT);
    }

    /** Each tenant starts with {@code initialInstances} on each endpoint. */
    ShareController(int initialInstances, double shareTolerance, double minIntervalWeight) {
        this.initialInstances = initialInstances;
        this.shareTolerance = shareTolerance;
        this.minIntervalWeight = minIntervalWeight;
    }

    /** Adds a tenant that was not known before. */
    void addTenant(TenantQueue tenant) {
        tenants.add(tenant);
        setEndpoints(new ArrayList<>(endpoints));
    }

    /** Sets the endpoints listed now; those that remain keep their instances. */
    void setEndpoints(Iterable<Endpoint> listed) {
        endpoints.clear();
        for (Endpoint endpoint : listed) {
            int knownTenants = endpoint.tenantInstances.length;
            if (knownTenants < tenants.size()) {
                endpoint.tenantInstances = Arrays.copyOf(endpoint.tenantInstances, tenants.size());
                Arrays.fill(endpoint.tenantInstances, knownTenants, tenants.size(), initialInstances);
            }
            endpoints.add(endpoint);
        }
    }

    /** Returns a tenant's instances on all active endpoints. */
    int totalInstances(TenantQueue tenant) {
        int sum = 0;
        for (Endpoint endpoint : endpoints) {
            sum += endpoint.active() ? endpoint.tenantInstances[tenant.index] : 0;
        }
        return sum;
    }

    /** Returns the instances that were taken from tenants and not given to others yet. */
    int unassignedInstances() {
        return unassignedInstances;
    }

    /**
     * Moves instances according to the slot time that the tenants used since the last call; does nothing if none was
     * used.
     */
    void onInterval() {
        double totalSlotTimeUs = 0;
        for (TenantQueue tenant : tenants) {
            totalSlotTimeUs += tenant.slotUsage.intervalSlotTimeUs;
        }
        if (totalSlotTimeUs <= 0) {
            return;
        }
        intervalCount++;
        updateAverages(totalSlotTimeUs);
        List<TenantQueue> belowShare = new ArrayList<>();
        List<TenantQueue> aboveShare = new ArrayList<>();
        for (TenantQueue tenant : tenants) {
            if (tenant.slotUsage.averageShare > tenant.tenant.share() + shareTolerance) {
                aboveShare.add(tenant);
            } else if (tenant.slotUsage.averageShare < tenant.tenant.share() - shareTolerance) {
                belowShare.add(tenant);
            }
        }
        takeInstances(aboveShare, belowShare);
        giveInstances(belowShare);
    }

    private void updateAverages(double totalSlotTimeUs) {
        double weight = Math.max(1.0 / intervalCount, minIntervalWeight);
        for (TenantQueue tenant : tenants) {
            SlotUsage usage = tenant.slotUsage;
            usage.averageShare =
                    weight * usage.intervalSlotTimeUs / totalSlotTimeUs + (1 - weight) * usage.averageShare;
            usage.intervalSlotTimeUs = 0;
        }
    }

    private static double shareExcess(TenantQueue tenant) {
        return tenant.slotUsage.averageShare - tenant.tenant.share();
    }

    private void takeInstances(List<TenantQueue> aboveShare, List<TenantQueue> belowShare) {
        for (Endpoint endpoint : endpoints) {
            if (belowShare.stream().noneMatch(t -> endpoint.tenantInstances[t.index] > 0)) {
                continue;
            }
            for (TenantQueue tenant : aboveShare) {
                if (endpoint.tenantInstances[tenant.index] >= MIN_INSTANCES_TO_TAKE) {
                    endpoint.tenantInstances[tenant.index]--;
                    unassignedInstances++;
                }
            }
        }
    }

    private void giveInstances(List<TenantQueue> belowShare) {
        belowShare.sort(Comparator.comparingDouble(ShareController::shareExcess));
        for (TenantQueue tenant : belowShare) {
            for (Endpoint endpoint : endpoints) {
                if (unassignedInstances > 0 && endpoint.tenantInstances[tenant.index] > 0) {
                    endpoint.tenantInstances[tenant.index]++;
                    unassignedInstances--;
                }
            }
        }
    }
}
