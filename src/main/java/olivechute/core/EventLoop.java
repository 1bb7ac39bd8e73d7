package olivechute.core;

import java.util.ArrayDeque;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** The thread that owns the decisions, the streams and the timer wheel; all else posts events to its bounded queue. */
public final class EventLoop {
    private static final int QUEUE = 4096;
    private static final long GRAIN = 4000;

    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE);
    private final ArrayDeque<Event> own = new ArrayDeque<>();    // posted by the loop itself, which must never wait
    private final long wallBase = System.currentTimeMillis() * 1000;
    private final long nanoBase = System.nanoTime();
    private final TimerWheel wheel = new TimerWheel(GRAIN, now());
    private Thread thread;

    /** Microseconds since the Unix epoch at start, steady from then on. */
    public long now() {
        return wallBase + (System.nanoTime() - nanoBase) / 1000;
    }

    /** Hands an event to the loop; waits while the queue is full, but never on the loop itself. */
    public void post(Event event) {
        if (Thread.currentThread() == thread) {
            own.add(event);
            return;
        }
        boolean interrupted = false;
        for (;;) {
            try {
                queue.put(event);
                break;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    TimerWheel.Timer at(long at, Runnable task) {
        return wheel.at(at, task);
    }

    /** Runs a task on the loop again and again; to be called on the loop or before it starts. */
    public void every(long period, Runnable task) {
        wheel.at(now() + period, () -> {
            every(period, task);
            task.run();
        });
    }

    /** Starts the thread; {@code handler} gets every event. */
    public void start(Consumer<Event> handler) {
        thread = new Thread(null, () -> run(handler), "loop", 512 * 1024);
        thread.start();
    }

    private void run(Consumer<Event> handler) {
        for (;;) {
            try {
                Event event = own.poll();
                if (event == null) {
                    long idle = wheel.idle(now());
                    event = idle <= 0 ? queue.poll() : queue.poll(idle, TimeUnit.MICROSECONDS);
                }
                if (event instanceof Event.Task task) {
                    task.task().run();
                } else if (event != null) {
                    handler.accept(event);
                }
                wheel.advance(now());
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // One faulty event must not take the node, and all other streams, down with it.
                Logger.error(e, "event failed");
            } catch (Error e) {
                // A node whose loop is gone would take requests and answer none: better to end and be started anew.
                Logger.error(e, "event loop ends");
                Runtime.getRuntime().halt(70);
            }
        }
    }
}
