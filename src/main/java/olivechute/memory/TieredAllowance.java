package olivechute.memory;

import olivechute.memory.MemoryBudget.Tier;

/** The allowance of one connection: reserves from the node's budget in the tier that the peer has at that time. */
public abstract class TieredAllowance implements MemoryAllowance {
    private final MemoryBudget budget;
    private final long maxWaitMillis;
    private boolean mayWait = true;

    /**
     * Creates an allowance.
     *
     * @param maxWaitMillis how long a reservation may wait until memory is available
     */
    protected TieredAllowance(MemoryBudget budget, long maxWaitMillis) {
        this.budget = budget;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Returns the tier of the next reservation; called by the thread that reserves. */
    protected abstract Tier tier();

    /** Sets whether reservations may wait from now on; called by the thread that reserves. */
    public void setMayWait(boolean allowed) {
        mayWait = allowed;
    }

    @Override
    public boolean tryReserve(int bytes) {
        Tier currentTier = tier();
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
