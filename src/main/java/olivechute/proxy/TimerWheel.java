package olivechute.proxy;

import java.util.ArrayList;
import java.util.List;
import org.tinylog.Logger;

/**
 * Timers with the resolution of a tick, on a hashed wheel. Times are microseconds on one clock. Not safe for several
 * threads.
 */
final class TimerWheel {
    private static final int SLOT_COUNT = 1024;

    /** A timer; once cancelled it does not fire. */
    final class Timer {
        private final long dueTick;
        private Runnable task;

        private Timer(long dueTick, Runnable task) {
            this.dueTick = dueTick;
            this.task = task;
        }

        /** Leaves its slot at once: an empty slot wakes nobody. */
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

    /** Fires at the first tick at or after {@code dueUs}, never within this call. */
    Timer schedule(long dueUs, Runnable task) {
        long dueTick = Math.max(currentTick + 1, (dueUs + tickUs - 1) / tickUs);
        Timer timer = new Timer(dueTick, task);
        slot(dueTick).add(timer);
        return timer;
    }

    private List<Timer> slot(long tickNumber) {
        return slots.get((int) (tickNumber % SLOT_COUNT));
    }

    /** Runs what is due. */
    void fireUntil(long nowUs) {
        while (currentTick < nowUs / tickUs) {
            currentTick++;
            List<Timer> slot = slot(currentTick);
            if (!slot.isEmpty()) {
                fireDue(slot);
            }
        }
    }

    private void fireDue(List<Timer> slot) {
        List<Timer> due = new ArrayList<>();
        slot.removeIf(timer -> {
            if (timer.dueTick <= currentTick) {
                due.add(timer);
            }
            return timer.dueTick <= currentTick;
        });
        for (Timer timer : due) {
            Runnable task = timer.task;
            if (task != null) { // a timer that fired before it may have cancelled it
                timer.task = null;
                runTask(task);
            }
        }
    }

    /** One faulty timer must not take those along that are due with it: others are deadlines of requests. */
    private static void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "timer failed");
        }
    }

    /** How long until the next tick that holds a timer, at most one revolution of the wheel. */
    long timeToNextTimerUs(long nowUs) {
        for (int i = 1; i < SLOT_COUNT; i++) {
            if (!slot(currentTick + i).isEmpty()) {
                return Math.max(0, (currentTick + i) * tickUs - nowUs);
            }
        }
        return SLOT_COUNT * tickUs;
    }
}
