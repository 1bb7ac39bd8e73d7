package olivechute.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * Runs events one at a time. There is no fixed thread: a thread that posts an event runs queued events itself if nobody
 * does, so that no thread has to be woken for it; the loop's own thread runs timers and what posters leave. "On the
 * event loop" means: on the thread that holds the turn. What an event wants written is written after the turn.
 */
public final class EventLoop {
    /** What is due runs at most this much later, in microseconds, on a machine that is not busy. */
    public static final long TICK_US = 4000;

    private static final int QUEUE_CAPACITY = 4096;
    /** A poster leaves further events to the loop's own thread, as its own peer waits meanwhile. */
    private static final int MAX_EVENTS_PER_POSTER = 4;

    private static final long QUEUE_FULL_RETRY_NANOS = 200_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final long STACK_BYTES = 512 * 1024;

    final MpscAtomicArrayQueue<ProxyEvent> queue = new MpscAtomicArrayQueue<>(QUEUE_CAPACITY);
    private final DelegatingLock executionLock = new DelegatingLock();
    /** Posted by the holder of the turn, which must never wait for itself. */
    private final ArrayDeque<ProxyEvent> postedByLockHolder = new ArrayDeque<>();

    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final long startedAtUs = System.currentTimeMillis() * 1000;
    private final long startedAtNanos = System.nanoTime();
    private final TimerWheel timerWheel = new TimerWheel(TICK_US, now());
    private volatile Thread lockHolder;
    /** Whether the turn was left to the loop's own thread. */
    private volatile boolean handedToLoopThread;
    /** When the loop's own thread is needed next. */
    private volatile long wakeAtUs = Long.MIN_VALUE;

    private Thread loopThread;
    private Consumer<ProxyEvent> eventHandler;

    /** Microseconds since the Unix epoch at the start of the process, monotonic from then on. */
    public long now() {
        return startedAtUs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO;
    }

    /** Posts an event, and runs it if nobody else does; waits while the queue is full. On any thread. */
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

    /** Runs a task once the turn is over, on the thread that held it; to be called on the event loop. */
    public void defer(Runnable task) {
        deferredTasks.add(task);
    }

    /** Whether this is the loop's own thread, whose delay would delay every timer. */
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

    /** Runs a task on the event loop at a moment; to be called on the event loop. */
    public void runAt(long dueUs, Runnable task) {
        scheduleTimer(dueUs, task);
    }

    /** Runs a task on the event loop again and again; to be called there or before it starts. */
    public void runPeriodically(long periodUs, Runnable task) {
        timerWheel.schedule(now() + periodUs, () -> {
            runPeriodically(periodUs, task);
            task.run();
        });
    }

    /** Starts the loop's own thread; the handler gets every event. What was posted before waits for this. */
    public void start(Consumer<ProxyEvent> newEventHandler) {
        this.eventHandler = newEventHandler;
        loopThread = new Thread(null, this::runLoopThread, "loop", STACK_BYTES);
        loopThread.start();
    }

    private void runLoopThread() {
        for (; ; ) {
            if (handedToLoopThread) {
                handedToLoopThread = false;
                runAsLockHolder(Integer.MAX_VALUE);
            } else if (now() >= wakeAtUs) {
                if (executionLock.tryAcquireOrDelegate()) {
                    runAsLockHolder(Integer.MAX_VALUE);
                } else {
                    LockSupport.parkNanos(this, TICK_US * NANOS_PER_MICRO); // the holder sees to the tick
                }
            }
            long idleUs = wakeAtUs - now();
            if (idleUs > 0 && !handedToLoopThread) {
                LockSupport.parkNanos(this, idleUs * NANOS_PER_MICRO);
            }
        }
    }

    /** Runs what is queued and due, as the holder of the turn; after so many events the loop's own thread goes on. */
    private void runAsLockHolder(int maxEvents) {
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
            // What is to be written goes along with this thread: once released, the list is another's.
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

    /** The turn goes on: what is to be written after it stays in the list. */
    private void restoreDeferredTasks(Runnable singleTask, Runnable[] allTasks) {
        if (singleTask != null) {
            deferredTasks.add(singleTask);
        } else if (allTasks != null) {
            deferredTasks.addAll(Arrays.asList(allTasks));
        }
    }

    /**
     * The next event that is there. A poster that was stopped between taking its place in the queue and filling it is
     * not waited for: {@code poll} would spin until it goes on, which it never does where one thread runs at a time. It
     * requests the turn once it has.
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
            // One faulty event must not end the node, and all other requests with it.
            Logger.error(e, "event failed");
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
            // The thread that runs the turn has a request of its own, which must not pay for it.
            Logger.error(e, "write failed");
        }
    }
}
