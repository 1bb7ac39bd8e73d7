package olivechute.loadbalancing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class RetryBudgetTest {
    private static final long S = 1_000_000;
    private final RetryBudget.BucketRate each = new RetryBudget.BucketRate(0.5, 1, 10);
    private final RetryBudget.BucketRate all = new RetryBudget.BucketRate(0.25, 0, 40);

    private RetryBudget budget() {
        List<String> told = new ArrayList<>(List.of("a", "b", "new"));
        IntStream.range(0, 20).forEach(t -> told.add("t" + t));
        return new RetryBudget(told, each, all);
    }

    private static int taken(RetryBudget budget, long now, String tenant, AttemptOutcome outcome) {
        int n = 0;
        while (n < 1000 && budget.tryTake(now, tenant, outcome)) {
            n++;
        }
        return n;
    }

    @Test
    public void aTenantHasAPartOfItsRequestsAndAFewASecond() {
        RetryBudget budget = budget();
        assertEquals(taken(budget, 0, "a", AttemptOutcome.ERROR), 5);
        for (int i = 0; i < 8; i++) {
            budget.onFirstAttempt(0, "a");
        }
        assertEquals(taken(budget, 0, "a", AttemptOutcome.ERROR), 4);
        assertEquals(taken(budget, 3 * S, "a", AttemptOutcome.ERROR), 3);
        assertEquals(taken(budget, 3 * S, "b", AttemptOutcome.ERROR), 5, "another's budget is its own");
    }

    @Test
    public void allTogetherHaveABoundToo() {
        RetryBudget budget = budget();
        int sum = 0;
        for (int t = 0; t < 20; t++) {
            sum += taken(budget, 0, "t" + t, AttemptOutcome.RESET);
        }
        assertEquals(sum, 20);
        assertFalse(budget.tryTake(0, "new", AttemptOutcome.RESET));
    }

    @Test
    public void whatDidNotReachAHostCostsLittleOrNothing() {
        RetryBudget budget = budget();
        assertEquals(taken(budget, 0, "a", AttemptOutcome.CONNECT_FAILED), 10);
        assertTrue(budget.tryTake(0, "a", AttemptOutcome.STALE_CONNECTION));
    }

    /** Clients may call themselves what they like: each name made a budget of its own, without a bound. */
    @Test
    public void tenantsThatWereNotToldShareOne() {
        RetryBudget budget = budget();
        assertEquals(taken(budget, 0, "x1", AttemptOutcome.ERROR), 5);
        assertEquals(taken(budget, 0, "x2", AttemptOutcome.ERROR), 0);
        assertEquals(taken(budget, 0, null, AttemptOutcome.ERROR), 0);
        budget.onFirstAttempt(0, "x3");
        budget.onFirstAttempt(0, "x4");
        assertEquals(taken(budget, 0, "", AttemptOutcome.ERROR), 1);
        assertEquals(taken(budget, 0, "a", AttemptOutcome.ERROR), 5);
    }
}
