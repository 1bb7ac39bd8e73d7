package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Steers each tenant's share of the slot time. Every endpoint carries a number of instances of each tenant, which are
 * weights: requests of a tenant go to an endpoint with a chance in proportion to its instances there, and its queue's
 * turn comes by their total. Twice a second an instance is taken from tenants above their share and given to those
 * below, after the third modification in M. Habib's thesis on provisioning; see docs/design.md.
 */
final class ShareController {
    /** How often {@link #onInterval} is to be called. */
    static final long INTERVAL_US = 500_000;

    private static final int INITIAL_INSTANCES = 10;
    /** A tenant within this distance of its share is left as it is. */
    private static final double SHARE_TOLERANCE = 0.02;
    /** The running mean gives the last interval at least this weight, or it would answer no late change. */
    private static final double MIN_INTERVAL_WEIGHT = 0.05;
    /** A tenant keeps at least one instance wherever it has some. */
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

    /** A tenant that was not known before. */
    void addTenant(TenantQueue tenant) {
        tenants.add(tenant);
        setEndpoints(new ArrayList<>(endpoints));
    }

    /** The endpoints listed now; those that stay keep their instances. */
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

    /** Instances of a tenant on all active endpoints. */
    int totalInstances(TenantQueue tenant) {
        int sum = 0;
        for (Endpoint endpoint : endpoints) {
            sum += endpoint.active() ? endpoint.tenantInstances[tenant.index] : 0;
        }
        return sum;
    }

    /** Instances taken from tenants and not given to others yet. */
    int unassignedInstances() {
        return unassignedInstances;
    }

    /** Moves instances by the slot time that the tenants used since the last call; nothing moves if none was used. */
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
