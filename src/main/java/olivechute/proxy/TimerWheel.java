package olivechute.proxy;

import java.util.ArrayList;
import java.util.List;
import olivechute.memory.FailureLog;

/**
 * Timers with a resolution of one tick, in a hashed timer wheel. Times are microseconds on one clock. Not thread-safe;
 * used on the event loop.
 */
final class TimerWheel {
    private static final int SLOT_COUNT = 1024;

    /** A scheduled task; it does not run once it is cancelled. */
    final class Timer {
        private final long dueTick;
        private Runnable task;

        private Timer(long dueTick, Runnable task) {
            this.dueTick = dueTick;
            this.task = task;
        }

        /** Cancels the timer and removes it from its slot, so that an empty slot causes no wakeup. */
        void cancel() {
            if (task != null) {
                task = null;
                slot(dueTick).remove(this);
            }
        }
    }

    private final long tickUs;
    private final List<List<Timer>> slots = new ArrayList<>();
    private long currentTick;

    TimerWheel(long tickUs, long nowUs) {
        this.tickUs = tickUs;
        this.currentTick = nowUs / tickUs;
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots.add(new ArrayList<>(2));
        }
    }

    /** Schedules a task for the first tick at or after {@code dueUs}; it never runs within this call. */
    Timer schedule(long dueUs, Runnable task) {
        long dueTick = Math.max(currentTick + 1, (dueUs + tickUs - 1) / tickUs);
        Timer timer = new Timer(dueTick, task);
        slot(dueTick).add(timer);
        return timer;
    }

    private List<Timer> slot(long tickNumber) {
        return slots.get((int) (tickNumber % SLOT_COUNT));
    }

    /** Runs all tasks that are due at {@code nowUs}. */
    void fireUntil(long nowUs) {
        while (currentTick < nowUs / tickUs) {
            currentTick++;
            fireDue(slot(currentTick));
        }
    }

    /**
     * Runs the tasks of a slot that are due, in order. Allocates nothing, so that no timer is lost if there is no
     * memory. A task may cancel other timers of the slot and add some that are due later, so the search starts anew
     * after each.
     */
    private void fireDue(List<Timer> slot) {
        for (int i = indexOfDue(slot); i >= 0; i = indexOfDue(slot)) {
            Timer timer = slot.remove(i);
            Runnable task = timer.task;
            timer.task = null;
            runTask(task);
        }
    }

    private int indexOfDue(List<Timer> slot) {
        for (int i = 0; i < slot.size(); i++) {
            if (slot.get(i).dueTick <= currentTick) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Runs a task and logs its failure: it must not prevent the other timers of the same tick, which include request
     * deadlines.
     */
    private static void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            FailureLog.log(e, "timer task failed");
        }
    }

    /** Returns the microseconds until the next tick that holds a timer, at most one revolution of the wheel. */
    long timeToNextTimerUs(long nowUs) {
        for (int i = 1; i < SLOT_COUNT; i++) {
            if (!slot(currentTick + i).isEmpty()) {
                return Math.max(0, (currentTick + i) * tickUs - nowUs);
            }
        }
        return SLOT_COUNT * tickUs;
    }
}
