package olivechute.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the share controller against values calculated by hand. */
class ShareControllerTest {
    private final List<TenantQueue> tenants = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();

    private ShareController newController(
            int initialInstances, double leastIntervalWeight, int endpointCount, double... targetShares) {
        ShareController controller = new ShareController(initialInstances, 0.02, leastIntervalWeight);
        for (int i = 0; i < targetShares.length; i++) {
            TenantQueue tenant = new TenantQueue(new Tenant("t" + i, targetShares[i], 1), i, 0);
            tenants.add(tenant);
            controller.addTenant(tenant);
        }
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(endpoint("w" + i));
        }
        controller.setEndpoints(endpoints);
        return controller;
    }

    private static Endpoint endpoint(String name) {
        EndpointInfo info = new EndpointInfo(name, "z", "k", 0, EndpointState.ACTIVE, 1, 0);
        return new Endpoint(info, new EndpointKindStats(), 0, true, 0);
    }

    private void setUsage(double... slotTimes) {
        for (int i = 0; i < slotTimes.length; i++) {
            tenants.get(i).slotUsage.intervalSlotTimeUs = slotTimes[i];
        }
    }

    @Test
    void averageShareIsARunningMeanThatIgnoresIdleIntervals() {
        ShareController controller = newController(4, 0, 1, 0.5, 0.5);
        setUsage(3, 1);
        controller.onInterval();
        assertEquals(0.75, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 1
        setUsage(0, 0);
        controller.onInterval();
        assertEquals(0.75, tenants.get(0).slotUsage.averageShare, 1e-12); // idle: k stays 1
        setUsage(1, 3);
        controller.onInterval();
        assertEquals(0.5, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 2: 0.25/2 + 0.75/2
        setUsage(0, 5);
        controller.onInterval();
        assertEquals(1.0 / 3, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 3: 0/3 + 2/3 * 0.5
    }

    @Test
    void leastIntervalWeightKeepsTheAverageMoving() {
        ShareController controller = newController(4, 0.25, 1, 0.5, 0.5);
        for (int i = 0; i < 50; i++) {
            setUsage(1, 1);
            controller.onInterval();
        }
        setUsage(1, 0);
        controller.onInterval();
        assertEquals(0.625, tenants.get(0).slotUsage.averageShare, 1e-12); // 1/4 * 1 + 3/4 * 0.5
    }

    @Test
    void tenantsWithinToleranceKeepTheirInstances() {
        ShareController controller = newController(4, 0, 2, 0.5, 0.5);
        setUsage(0.519, 0.481);
        controller.onInterval();
        assertArrayEquals(new int[] {4, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, controller.unassignedInstances());
    }

    @Test
    void creditOfDeactivationsGoesToTheTenantFurthestBelowTarget() {
        ShareController controller = newController(3, 0, 2, 0.2, 0.3, 0.5);
        setUsage(6, 2, 2); // 0.6 / 0.2 / 0.2: t2 is furthest below its target
        controller.onInterval();
        assertArrayEquals(new int[] {2, 3, 4}, endpoints.get(0).tenantInstances);
        assertArrayEquals(new int[] {2, 3, 4}, endpoints.get(1).tenantInstances);
        assertEquals(0, controller.unassignedInstances());
    }

    @Test
    void lastInstanceIsKeptAndUnspentCreditIsCarriedOver() {
        ShareController controller = newController(2, 0, 1, 0.1, 0.1, 0.8);
        setUsage(4, 4, 2); // two tenants above their targets, one below
        controller.onInterval();
        assertArrayEquals(new int[] {1, 1, 3}, endpoints.get(0).tenantInstances);
        assertEquals(1, controller.unassignedInstances()); // two credits earned, one spent
        setUsage(4, 4, 2);
        controller.onInterval();
        assertArrayEquals(new int[] {1, 1, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, controller.unassignedInstances());
        setUsage(4, 4, 2);
        controller.onInterval();
        assertArrayEquals(new int[] {1, 1, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, controller.unassignedInstances());
    }

    @Test
    void sumOfInstancesAndCreditIsConservedOverRandomIntervals() {
        ShareController controller = newController(10, 0.05, 7, 0.43, 0.14, 0.14, 0.14, 0.15);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            setUsage(
                    random.nextDouble() * 4,
                    random.nextDouble(),
                    random.nextDouble(),
                    random.nextDouble(),
                    random.nextInt(3) == 0 ? 0 : 1);
            controller.onInterval();
            int sum = controller.unassignedInstances();
            for (Endpoint endpoint : endpoints) {
                for (int count : endpoint.tenantInstances) {
                    assertTrue(count >= 1);
                    sum += count;
                }
            }
            assertTrue(controller.unassignedInstances() >= 0);
            assertEquals(10 * 7 * 5, sum);
        }
    }

    @Test
    void newEndpointStartsWithTheInitialInstances() {
        ShareController controller = newController(3, 0, 1, 0.2, 0.8);
        setUsage(8, 2);
        controller.onInterval();
        Endpoint added = endpoint("new");
        endpoints.add(added);
        controller.setEndpoints(endpoints);
        assertArrayEquals(new int[] {3, 3}, added.tenantInstances);
        assertArrayEquals(new int[] {2, 4}, endpoints.get(0).tenantInstances);
    }
}
