package olivechute.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The share controller against numbers worked by hand. */
class ShareControllerTest {
    private final List<TenantQueue> tenants = new ArrayList<>();
    private final List<Endpoint> endpoints = new ArrayList<>();

    private ShareController shares(int start, double floor, int endpointCount, double... targets) {
        ShareController shares = new ShareController(start, 0.02, floor);
        for (int i = 0; i < targets.length; i++) {
            TenantQueue tenant = new TenantQueue(new Tenant("t" + i, targets[i], 1), i, 0);
            tenants.add(tenant);
            shares.addTenant(tenant);
        }
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(endpoint("w" + i));
        }
        shares.setEndpoints(endpoints);
        return shares;
    }

    private static Endpoint endpoint(String name) {
        EndpointInfo info = new EndpointInfo(name, "z", "k", 0, EndpointState.ACTIVE, 1, 0);
        return new Endpoint(info, new EndpointKindStats(), 0, true, 0);
    }

    private void use(double... slotSeconds) {
        for (int i = 0; i < slotSeconds.length; i++) {
            tenants.get(i).slotUsage.intervalSlotTimeUs = slotSeconds[i];
        }
    }

    @Test
    void sharesAreARunningMeanAndIdleIntervalsDoNotCount() {
        ShareController shares = shares(4, 0, 1, 0.5, 0.5);
        use(3, 1);
        shares.onInterval();
        assertEquals(0.75, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 1
        use(0, 0);
        shares.onInterval();
        assertEquals(0.75, tenants.get(0).slotUsage.averageShare, 1e-12); // idle: k stays 1
        use(1, 3);
        shares.onInterval();
        assertEquals(0.5, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 2: 0.25/2 + 0.75/2
        use(0, 5);
        shares.onInterval();
        assertEquals(1.0 / 3, tenants.get(0).slotUsage.averageShare, 1e-12); // k = 3: 0/3 + 2/3 * 0.5
    }

    @Test
    void theAverageKeepsMovingWithAFloor() {
        ShareController shares = shares(4, 0.25, 1, 0.5, 0.5);
        for (int i = 0; i < 50; i++) {
            use(1, 1);
            shares.onInterval();
        }
        use(1, 0);
        shares.onInterval();
        assertEquals(0.625, tenants.get(0).slotUsage.averageShare, 1e-12); // 1/4 * 1 + 3/4 * 0.5
    }

    @Test
    void tenantsInsideTheBandRest() {
        ShareController shares = shares(4, 0, 2, 0.5, 0.5);
        use(0.519, 0.481);
        shares.onInterval();
        assertArrayEquals(new int[] {4, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, shares.unassignedInstances());
    }

    @Test
    void deactivationEarnsTheCreditThatActivationSpendsMostHurtFirst() {
        ShareController shares = shares(3, 0, 2, 0.2, 0.3, 0.5);
        use(6, 2, 2); // 0.6 / 0.2 / 0.2: t2 is hurt most
        shares.onInterval();
        assertArrayEquals(new int[] {2, 3, 4}, endpoints.get(0).tenantInstances);
        assertArrayEquals(new int[] {2, 3, 4}, endpoints.get(1).tenantInstances);
        assertEquals(0, shares.unassignedInstances());
    }

    @Test
    void lastInstancesStayAndCreditIsCarriedOver() {
        ShareController shares = shares(2, 0, 1, 0.1, 0.1, 0.8);
        use(4, 4, 2); // two tenants above, one hurt
        shares.onInterval();
        assertArrayEquals(new int[] {1, 1, 3}, endpoints.get(0).tenantInstances);
        assertEquals(1, shares.unassignedInstances()); // two earned, one spent
        use(4, 4, 2);
        shares.onInterval();
        assertArrayEquals(new int[] {1, 1, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, shares.unassignedInstances());
        use(4, 4, 2);
        shares.onInterval();
        assertArrayEquals(new int[] {1, 1, 4}, endpoints.get(0).tenantInstances);
        assertEquals(0, shares.unassignedInstances());
    }

    @Test
    void countsAndCreditAreConservedOverLongRandomRuns() {
        ShareController shares = shares(10, 0.05, 7, 0.43, 0.14, 0.14, 0.14, 0.15);
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            use(
                    random.nextDouble() * 4,
                    random.nextDouble(),
                    random.nextDouble(),
                    random.nextDouble(),
                    random.nextInt(3) == 0 ? 0 : 1);
            shares.onInterval();
            int sum = shares.unassignedInstances();
            for (Endpoint endpoint : endpoints) {
                for (int c : endpoint.tenantInstances) {
                    assertTrue(c >= 1);
                    sum += c;
                }
            }
            assertTrue(shares.unassignedInstances() >= 0);
            assertEquals(10 * 7 * 5, sum);
        }
    }

    @Test
    void newcomersStartAtTheStartingCount() {
        ShareController shares = shares(3, 0, 1, 0.2, 0.8);
        use(8, 2);
        shares.onInterval();
        Endpoint added = endpoint("new");
        endpoints.add(added);
        shares.setEndpoints(endpoints);
        assertArrayEquals(new int[] {3, 3}, added.tenantInstances);
        assertArrayEquals(new int[] {2, 4}, endpoints.get(0).tenantInstances);
    }
}
