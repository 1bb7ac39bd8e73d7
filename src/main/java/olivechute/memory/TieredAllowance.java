package olivechute.memory;

import java.util.function.Supplier;
import olivechute.memory.MemoryBudget.Tier;

/** The allowance of one connection: reserves from the node's budget in the tier that the peer has at that time. */
public final class TieredAllowance implements MemoryAllowance {
    private final MemoryBudget budget;
    private final Supplier<Tier> tier;
    private final long maxWaitMillis;
    private boolean mayWait = true;

    /**
     * Creates an allowance.
     *
     * @param tier the tier of the next reservation; called by the thread that reserves
     * @param maxWaitMillis how long a reservation may wait until memory is available
     */
    public TieredAllowance(MemoryBudget budget, Supplier<Tier> tier, long maxWaitMillis) {
        this.budget = budget;
        this.tier = tier;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Sets whether reservations may wait from now on; called by the thread that reserves. */
    public void setMayWait(boolean allowed) {
        mayWait = allowed;
    }

    @Override
    public boolean tryReserve(int bytes) {
        Tier currentTier = tier.get();
        if (bytes <= 0 || budget.tryReserve(bytes, currentTier)) {
            return true;
        }
        if (maxWaitMillis == 0 || !mayWait) {
            return false;
        }
        try {
            return budget.reserve(bytes, currentTier, maxWaitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void add(int bytes) {
        if (bytes > 0) {
            budget.add(bytes);
        }
    }

    @Override
    public void release(int bytes) {
        if (bytes > 0) {
            budget.release(bytes);
        }
    }
}
