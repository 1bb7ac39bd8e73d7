package olivechute.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import olivechute.memory.FailureLog;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * Runs events one at a time, without a fixed executor thread. A thread that posts an event runs the queued events
 * itself if no other thread is doing so, which saves waking a thread for each event; the loop's own thread runs timers
 * and the events that posting threads leave to it. "On the event loop" means on the thread that holds the execution
 * lock. Writes that an event causes are deferred until the lock is released, see {@link #defer}.
 */
public final class EventLoop {
    /** Resolution of timers: on an idle machine a due task runs at most this many microseconds late. */
    public static final long TICK_US = 4000;

    private static final int QUEUE_CAPACITY = 4096;
    /**
     * Events that a posting thread runs before it hands over to the loop's own thread, because the peer of its own
     * connection is waiting meanwhile.
     */
    private static final int MAX_EVENTS_PER_POSTER = 4;

    private static final long QUEUE_FULL_RETRY_NANOS = 200_000;
    private static final long FAILURE_PAUSE_NANOS = 1_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long STACK_BYTES = 512 * 1024;

    final MpscAtomicArrayQueue<ProxyEvent> queue = new MpscAtomicArrayQueue<>(QUEUE_CAPACITY);
    private final DelegatingLock executionLock = new DelegatingLock();
    /** Events posted by the lock holder itself, which must never wait for space in the queue that only it empties. */
    private final ArrayDeque<ProxyEvent> postedByLockHolder = new ArrayDeque<>();

    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final long startedAtUs = System.currentTimeMillis() * 1000;
    private final long startedAtNanos = System.nanoTime();
    private final TimerWheel timerWheel = new TimerWheel(TICK_US, now());
    private volatile Thread lockHolder;
    /** Whether a posting thread handed the execution lock over to the loop's own thread. */
    private volatile boolean handedToLoopThread;
    /** When the loop's own thread has to run timers next, in microseconds on the loop's clock. */
    private volatile long wakeAtUs = Long.MIN_VALUE;

    private Thread loopThread;
    private Consumer<ProxyEvent> eventHandler;

    /**
     * Returns microseconds since the Unix epoch as read at the start of the process, advanced by a monotonic clock
     * since.
     */
    public long now() {
        return startedAtUs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO;
    }

    /**
     * Posts an event, and runs it if no other thread is running events. Waits while the queue is full. May be called on
     * any thread.
     */
    public void post(ProxyEvent event) {
        if (Thread.currentThread() == lockHolder) {
            postedByLockHolder.add(event);
            return;
        }
        while (!queue.offer(event)) {
            LockSupport.parkNanos(this, QUEUE_FULL_RETRY_NANOS);
        }
        if (eventHandler != null && executionLock.tryAcquireOrDelegate()) {
            runAsLockHolder(MAX_EVENTS_PER_POSTER);
        }
    }

    /**
     * Defers a task until the execution lock is released; it then runs on the thread that held the lock. Call on the
     * event loop.
     */
    public void defer(Runnable task) {
        deferredTasks.add(task);
    }

    /** Whether the current thread is the loop's own thread; blocking it would delay every timer. */
    public boolean onLoopThread() {
        return Thread.currentThread() == loopThread;
    }

    TimerWheel.Timer scheduleTimer(long dueUs, Runnable task) {
        if (dueUs < wakeAtUs) {
            wakeAtUs = dueUs;
            if (!onLoopThread()) {
                LockSupport.unpark(loopThread);
            }
        }
        return timerWheel.schedule(dueUs, task);
    }

    /** Runs a task on the event loop at {@code dueUs}. Call on the event loop. */
    public void runAt(long dueUs, Runnable task) {
        scheduleTimer(dueUs, task);
    }

    /**
     * Runs a task on the event loop every {@code periodUs} microseconds. Call on the event loop or before it starts.
     */
    public void runPeriodically(long periodUs, Runnable task) {
        timerWheel.schedule(now() + periodUs, () -> {
            runPeriodically(periodUs, task);
            task.run();
        });
    }

    /**
     * Starts the loop's own thread. The handler receives every event except tasks; events that were posted earlier are
     * run from now on.
     */
    public void start(Consumer<ProxyEvent> newEventHandler) {
        this.eventHandler = newEventHandler;
        loopThread = new Thread(null, this::runLoopThread, "loop", STACK_BYTES);
        loopThread.start();
    }

    private void runLoopThread() {
        for (; ; ) {
            try {
                runLoopTurn();
            } catch (RuntimeException | Error e) {
                // Without this thread no timer runs, so no request would be answered at its deadline.
                FailureLog.log(e, "event loop failed, continuing");
            }
        }
    }

    private void runLoopTurn() {
        if (handedToLoopThread) {
            handedToLoopThread = false;
            runAsLockHolder(Integer.MAX_VALUE);
        } else if (now() >= wakeAtUs) {
            if (executionLock.tryAcquireOrDelegate()) {
                runAsLockHolder(Integer.MAX_VALUE);
            } else {
                // The lock holder fires the timers of this tick.
                LockSupport.parkNanos(this, TICK_US * NANOS_PER_MICRO);
            }
        }
        long idleUs = wakeAtUs - now();
        if (idleUs > 0 && !handedToLoopThread) {
            LockSupport.parkNanos(this, idleUs * NANOS_PER_MICRO);
        }
    }

    /**
     * Runs events as the lock holder until the lock is released or handed over. A failure outside of the events, such
     * as an {@link OutOfMemoryError}, occurs only while this thread holds the lock, which nobody else would release.
     */
    private void runAsLockHolder(int maxEvents) {
        for (; ; ) {
            try {
                runUntilRelease(maxEvents);
                return;
            } catch (RuntimeException | Error e) {
                FailureLog.log(e, "event loop failed while it held the lock, continuing");
                LockSupport.parkNanos(this, FAILURE_PAUSE_NANOS);
            }
        }
    }

    /**
     * Runs queued events and due timers as the lock holder. After {@code maxEvents} events the lock is handed over to
     * the loop's own thread.
     */
    private void runUntilRelease(int maxEvents) {
        lockHolder = Thread.currentThread();
        int eventCount = 0;
        for (; ; ) {
            int servedRequests = executionLock.pendingRequests();
            for (ProxyEvent event = nextEvent(); event != null; event = ++eventCount < maxEvents ? nextEvent() : null) {
                handle(event);
            }
            fireTimers();
            if (eventCount < maxEvents && !postedByLockHolder.isEmpty()) {
                continue;
            }
            // Take the deferred tasks now: once the lock is released, another thread may use the list.
            Runnable singleTask = deferredTasks.size() == 1 ? deferredTasks.get(0) : null;
            Runnable[] allTasks = deferredTasks.size() > 1 ? deferredTasks.toArray(Runnable[]::new) : null;
            deferredTasks.clear();
            lockHolder = null;
            if (eventCount >= maxEvents) {
                handedToLoopThread = true;
                LockSupport.unpark(loopThread);
            } else if (!executionLock.tryRelease(servedRequests)) {
                lockHolder = Thread.currentThread();
                restoreDeferredTasks(singleTask, allTasks);
                continue;
            }
            runDeferred(singleTask, allTasks);
            return;
        }
    }

    /** Puts the deferred tasks back, as the lock could not be released and the thread continues as its holder. */
    private void restoreDeferredTasks(Runnable singleTask, Runnable[] allTasks) {
        if (singleTask != null) {
            deferredTasks.add(singleTask);
        } else if (allTasks != null) {
            for (Runnable task : allTasks) {
                deferredTasks.add(task); // allocates nothing, as the list held them before
            }
        }
    }

    /**
     * Returns the next available event, or {@code null}. Uses {@code relaxedPoll}, which does not wait for a poster
     * that was preempted between claiming its queue slot and filling it: {@code poll} would spin until that poster
     * continues, which never happens where only one thread runs at a time. The poster requests the lock after it has
     * filled the slot, so its event is not lost.
     */
    private ProxyEvent nextEvent() {
        ProxyEvent event = postedByLockHolder.poll();
        return event == null ? queue.relaxedPoll() : event;
    }

    private void handle(ProxyEvent event) {
        try {
            if (event instanceof ProxyEvent.Task task) {
                task.task().run();
            } else {
                eventHandler.accept(event);
            }
        } catch (RuntimeException | Error e) {
            // A failed event must not end the process and with it all other requests.
            FailureLog.log(e, "handling an event failed");
        }
    }

    private void fireTimers() {
        long nowUs = now();
        timerWheel.fireUntil(nowUs);
        if (nowUs >= wakeAtUs) {
            wakeAtUs = nowUs + timerWheel.timeToNextTimerUs(nowUs);
        }
    }

    private static void runDeferred(Runnable singleTask, Runnable[] allTasks) {
        if (singleTask != null) {
            runDeferred(singleTask);
        } else if (allTasks != null) {
            for (Runnable task : allTasks) {
                runDeferred(task);
            }
        }
    }

    private static void runDeferred(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // The thread that runs the deferred task is handling a request of its own, which must not fail with it.
            FailureLog.log(e, "deferred task failed");
        }
    }
}
