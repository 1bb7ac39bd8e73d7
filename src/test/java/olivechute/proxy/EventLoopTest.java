package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.lang.reflect.Field;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.testng.annotations.Test;

/** Tests of the event loop with several posting threads and with failing events. */
public class EventLoopTest {
    /**
     * A posting thread is preempted after it has claimed its queue slot and before it has filled it. Guards against a
     * lock holder that spins until the slot is filled, which never ends where only one thread runs at a time.
     */
    @Test(timeOut = 20_000)
    public void posterStoppedMidOfferDoesNotBlockOtherPosters() throws Exception {
        EventLoop loop = new EventLoop();
        List<String> handled = new CopyOnWriteArrayList<>();
        loop.start(event -> {});
        long claimedIndex = (long) producerIndex(loop).get(loop.queue);
        producerIndex(loop).set(loop.queue, claimedIndex + 1);
        loop.post(new ProxyEvent.Task(() -> handled.add("posted after it")));
        assertEquals(handled, List.of(), "an event must not overtake the claimed slot");
        slots(loop).set((int) claimedIndex, new ProxyEvent.Task(() -> handled.add("the stopped poster's")));
        CountDownLatch lastHandled = new CountDownLatch(1);
        loop.post(new ProxyEvent.Task(() -> {
            handled.add("after both");
            lastHandled.countDown();
        }));
        lastHandled.await();
        assertEquals(handled, List.of("the stopped poster's", "posted after it", "after both"));
    }

    @Test(timeOut = 20_000)
    public void errorInOneEventDoesNotStopTheLoop() throws Exception {
        EventLoop loop = new EventLoop();
        loop.start(event -> {
            throw new StackOverflowError("of one event");
        });
        loop.post(new ProxyEvent.ListWatchFailed());
        CountDownLatch nextEventHandled = new CountDownLatch(1);
        loop.post(new ProxyEvent.Task(nextEventHandled::countDown));
        nextEventHandled.await();
    }

    /** An error that cannot be logged, as logging it fails with the same error, like a heap that is full. */
    private static final class UnloggableError extends Error {
        private static final long serialVersionUID = 1L;

        @Override
        public String getMessage() {
            throw new OutOfMemoryError("no memory for the message");
        }
    }

    /**
     * Guards against an error that escapes from the handling of an error: it ended the loop's own thread, or left the
     * lock with a thread that no longer ran events, so that the node accepted requests and never answered them.
     */
    @Test(timeOut = 20_000)
    public void errorThatCannotBeLoggedDoesNotStopTheLoop() throws Exception {
        EventLoop loop = new EventLoop();
        loop.start(event -> {
            throw new UnloggableError();
        });
        for (int i = 0; i < 3; i++) {
            postIgnoringErrors(loop);
        }
        loop.post(new ProxyEvent.Task(() -> loop.runAt(loop.now(), () -> {
            throw new UnloggableError();
        })));
        loop.post(new ProxyEvent.Task(() -> loop.defer(() -> {
            throw new UnloggableError();
        })));
        CountDownLatch eventHandled = new CountDownLatch(1);
        CountDownLatch timerFired = new CountDownLatch(1);
        loop.post(new ProxyEvent.Task(() -> {
            loop.runAt(loop.now() + 20_000, timerFired::countDown);
            eventHandled.countDown();
        }));
        eventHandled.await();
        timerFired.await();
    }

    /** Posts an event that fails; whatever comes back to its poster, the loop has to go on. */
    private static void postIgnoringErrors(EventLoop loop) {
        try {
            loop.post(new ProxyEvent.ListWatchFailed());
        } catch (OutOfMemoryError escaped) {
            return;
        }
    }

    private static Field producerIndex(EventLoop loop) throws NoSuchFieldException {
        return field(loop.queue.getClass(), "producerIndex");
    }

    @SuppressWarnings("unchecked")
    private static AtomicReferenceArray<ProxyEvent> slots(EventLoop loop) throws ReflectiveOperationException {
        return (AtomicReferenceArray<ProxyEvent>)
                field(loop.queue.getClass(), "buffer").get(loop.queue);
    }

    private static Field field(Class<?> type, String name) throws NoSuchFieldException {
        for (Class<?> c = type; c != null; c = c.getSuperclass()) {
            for (Field f : c.getDeclaredFields()) {
                if (f.getName().equals(name)) {
                    f.setAccessible(true);
                    return f;
                }
            }
        }
        throw new NoSuchFieldException(type + "." + name);
    }
}
