package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.lang.reflect.Field;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.testng.annotations.Test;

/** What posters and the loop do to each other. */
public class EventLoopTest {
    /**
     * A poster that is stopped in the middle of handing in: its place in the queue is taken and still empty. Guards
     * against a holder of the turn that spins until the place is filled. Where one thread runs at a time it spun for
     * good.
     */
    @Test(timeOut = 20_000)
    public void posterStoppedMidOfferDoesNotBlockOtherPosters() throws Exception {
        EventLoop loop = new EventLoop();
        List<String> handled = new CopyOnWriteArrayList<>();
        loop.start(event -> {});
        long claimedIndex = (long) producerIndex(loop).get(loop.queue);
        producerIndex(loop).set(loop.queue, claimedIndex + 1);
        loop.post(new ProxyEvent.Task(() -> handled.add("behind it")));
        assertEquals(handled, List.of(), "nothing overtakes");
        slots(loop).set((int) claimedIndex, new ProxyEvent.Task(() -> handled.add("the stopped one's")));
        CountDownLatch lastHandled = new CountDownLatch(1);
        loop.post(new ProxyEvent.Task(() -> {
            handled.add("after both");
            lastHandled.countDown();
        }));
        lastHandled.await();
        assertEquals(handled, List.of("the stopped one's", "behind it", "after both"));
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
