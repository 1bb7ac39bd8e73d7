package olivechute.loadbalancing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class RetryBudgetTest {
    private static final long SECOND_US = 1_000_000;
    private final RetryBudget.BucketRate perTenantRate = new RetryBudget.BucketRate(0.5, 1, 10);
    private final RetryBudget.BucketRate totalRate = new RetryBudget.BucketRate(0.25, 0, 40);

    private RetryBudget newBudget() {
        List<String> tenants = new ArrayList<>(List.of("a", "b", "new"));
        IntStream.range(0, 20).forEach(t -> tenants.add("t" + t));
        return new RetryBudget(tenants, perTenantRate, totalRate);
    }

    private static int takeAll(RetryBudget budget, long nowUs, String tenant, AttemptOutcome outcome) {
        int count = 0;
        while (count < 1000 && budget.tryTake(nowUs, tenant, outcome)) {
            count++;
        }
        return count;
    }

    @Test
    public void tenantBudgetGrowsWithFirstAttemptsAndWithTime() {
        RetryBudget budget = newBudget();
        assertEquals(takeAll(budget, 0, "a", AttemptOutcome.ERROR), 5);
        for (int i = 0; i < 8; i++) {
            budget.onFirstAttempt(0, "a");
        }
        assertEquals(takeAll(budget, 0, "a", AttemptOutcome.ERROR), 4);
        assertEquals(takeAll(budget, 3 * SECOND_US, "a", AttemptOutcome.ERROR), 3);
        assertEquals(takeAll(budget, 3 * SECOND_US, "b", AttemptOutcome.ERROR), 5, "each tenant has its own budget");
    }

    @Test
    public void allTenantsTogetherHaveALimit() {
        RetryBudget budget = newBudget();
        int sum = 0;
        for (int t = 0; t < 20; t++) {
            sum += takeAll(budget, 0, "t" + t, AttemptOutcome.RESET);
        }
        assertEquals(sum, 20);
        assertFalse(budget.tryTake(0, "new", AttemptOutcome.RESET));
    }

    @Test
    public void attemptsThatReachedNoEndpointCostLittleOrNothing() {
        RetryBudget budget = newBudget();
        assertEquals(takeAll(budget, 0, "a", AttemptOutcome.CONNECT_FAILED), 10);
        assertTrue(budget.tryTake(0, "a", AttemptOutcome.STALE_CONNECTION));
    }

    /**
     * Clients may send any tenant name. Guards against a separate budget for each unknown name, which left their number
     * unlimited.
     */
    @Test
    public void unconfiguredTenantsShareOneBudget() {
        RetryBudget budget = newBudget();
        assertEquals(takeAll(budget, 0, "x1", AttemptOutcome.ERROR), 5);
        assertEquals(takeAll(budget, 0, "x2", AttemptOutcome.ERROR), 0);
        assertEquals(takeAll(budget, 0, null, AttemptOutcome.ERROR), 0);
        budget.onFirstAttempt(0, "x3");
        budget.onFirstAttempt(0, "x4");
        assertEquals(takeAll(budget, 0, "", AttemptOutcome.ERROR), 1);
        assertEquals(takeAll(budget, 0, "a", AttemptOutcome.ERROR), 5);
    }
}
