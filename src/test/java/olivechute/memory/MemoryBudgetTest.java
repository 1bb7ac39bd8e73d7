package olivechute.memory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import olivechute.memory.MemoryBudget.Tier;
import org.testng.annotations.Test;

/** Tests of the budget of the memory that peers make the node hold. */
public class MemoryBudgetTest {
    private static final int MAX_BYTES = 800;
    private static final long LONG_WAIT_MILLIS = 20_000;

    private static MemoryBudget budget() {
        return new MemoryBudget(MAX_BYTES);
    }

    @Test
    public void eachTierIsLimitedToItsPart() {
        MemoryBudget budget = budget();
        assertTrue(budget.tryReserve(500, Tier.NEW_PEER));
        assertFalse(budget.tryReserve(1, Tier.NEW_PEER));
        assertTrue(budget.tryReserve(100, Tier.NEW_ENDPOINT));
        assertFalse(budget.tryReserve(1, Tier.NEW_ENDPOINT));
        assertTrue(budget.tryReserve(100, Tier.KNOWN_PEER));
        assertFalse(budget.tryReserve(1, Tier.KNOWN_PEER));
        assertTrue(budget.tryReserve(100, Tier.KNOWN_ENDPOINT));
        assertFalse(budget.tryReserve(1, Tier.KNOWN_ENDPOINT));
        assertEquals(budget.reservedBytes(), MAX_BYTES);
    }

    @Test
    public void whatHigherTiersHoldCountsForLowerOnes() {
        MemoryBudget budget = budget();
        assertTrue(budget.tryReserve(500, Tier.KNOWN_PEER));
        assertFalse(budget.tryReserve(1, Tier.NEW_PEER));
        budget.release(1);
        assertTrue(budget.tryReserve(1, Tier.NEW_PEER));
    }

    @Test
    public void waitEndsWithoutMemory() throws Exception {
        MemoryBudget budget = budget();
        budget.add(MAX_BYTES);
        assertFalse(budget.reserve(1, Tier.KNOWN_ENDPOINT, 20));
        budget.release(MAX_BYTES);
        assertTrue(budget.reserve(MAX_BYTES, Tier.KNOWN_ENDPOINT, 0));
        assertEquals(budget.reservedBytes(), MAX_BYTES);
    }

    /** A large reservation is not overtaken by small ones of its tier, but by those of a higher tier. */
    @Test(timeOut = 30_000)
    public void waitersOfATierAreServedInOrder() throws Exception {
        MemoryBudget budget = budget();
        budget.add(500);
        CompletableFuture<Boolean> large = reserve(budget, 500);
        awaitWaiter(budget, Tier.NEW_PEER);
        budget.release(200);
        assertFalse(budget.tryReserve(1, Tier.NEW_PEER));
        assertTrue(budget.tryReserve(1, Tier.KNOWN_PEER));
        budget.release(1);
        assertFalse(large.isDone());
        budget.release(300);
        assertTrue(large.get(5, TimeUnit.SECONDS));
        assertEquals(budget.reservedBytes(), 500);
    }

    /** Those behind a waiter that gives up may need less. */
    @Test(timeOut = 30_000)
    public void waiterThatGivesUpDoesNotBlockOthers() throws Exception {
        MemoryBudget budget = budget();
        budget.add(400);
        CompletableFuture<Boolean> large = CompletableFuture.supplyAsync(() -> reserveNow(budget, 400, 300));
        awaitWaiter(budget, Tier.NEW_PEER);
        CompletableFuture<Boolean> small = reserve(budget, 100);
        assertFalse(large.get());
        assertTrue(small.get());
        assertEquals(budget.reservedBytes(), 500);
    }

    private static CompletableFuture<Boolean> reserve(MemoryBudget budget, int bytes) {
        return CompletableFuture.supplyAsync(() -> reserveNow(budget, bytes, LONG_WAIT_MILLIS));
    }

    private static boolean reserveNow(MemoryBudget budget, int bytes, long timeoutMillis) {
        try {
            return budget.reserve(bytes, Tier.NEW_PEER, timeoutMillis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a reservation of the tier waits, which keeps even an empty one from being granted at once. */
    private static void awaitWaiter(MemoryBudget budget, Tier tier) throws InterruptedException {
        while (budget.tryReserve(0, tier)) {
            Thread.sleep(1);
        }
    }

    @Test
    public void reservationIsReleasedOnce() {
        MemoryBudget budget = budget();
        budget.add(10);
        MemoryReservation reservation = MemoryReservation.of(budget::release, 10);
        reservation.release();
        reservation.release();
        assertEquals(budget.reservedBytes(), 0);
    }
}
