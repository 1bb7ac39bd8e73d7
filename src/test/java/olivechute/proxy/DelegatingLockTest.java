package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.testng.annotations.Test;

/** Model checks the lock under many interleavings: one holder at a time, and every request is served. */
public class DelegatingLockTest {
    /**
     * Threads that post work as the posters of the event loop do. The counter of handled items is guarded by nothing
     * but the lock.
     */
    public static class ConcurrentPosters {
        private final DelegatingLock lock = new DelegatingLock();
        private final MpscAtomicArrayQueue<Integer> queue = new MpscAtomicArrayQueue<>(16);
        private final AtomicInteger activeHolders = new AtomicInteger();
        private final AtomicInteger postedCount = new AtomicInteger();
        private int handledCount; // not volatile on purpose: two holders at once would lose an increment
        private boolean twoHoldersSeen;

        @Operation
        public void post() {
            postedCount.incrementAndGet();
            queue.offer(1);
            if (!lock.tryAcquireOrDelegate()) {
                return;
            }
            int requests;
            do {
                twoHoldersSeen |= activeHolders.incrementAndGet() > 1;
                requests = lock.pendingRequests();
                for (Integer item = queue.relaxedPoll(); item != null; item = queue.relaxedPoll()) {
                    handledCount += item;
                }
                activeHolders.decrementAndGet();
            } while (!lock.tryRelease(requests));
        }

        /** After each run: every posted item was handled, by one holder at a time. */
        @Validate
        public void everyItemIsHandledByOneHolderAtATime() {
            if (twoHoldersSeen || handledCount != postedCount.get()) {
                throw new IllegalStateException(
                        "two holders " + twoHoldersSeen + ", posted " + postedCount + ", handled " + handledCount);
            }
        }
    }

    @Test
    public void oneHolderAtATimeServesEveryRequest() {
        LinChecker.check(
                ConcurrentPosters.class,
                new ModelCheckingOptions()
                        .iterations(12)
                        .invocationsPerIteration(800)
                        .threads(3)
                        .actorsPerThread(2)
                        .actorsBefore(0)
                        .actorsAfter(0));
    }

    @Test
    public void requestMadeWhileTheLockIsHeldPreventsItsRelease() {
        DelegatingLock lock = new DelegatingLock();
        assertEquals(lock.tryAcquireOrDelegate(), true);
        int requests = lock.pendingRequests();
        assertEquals(lock.tryAcquireOrDelegate(), false);
        assertEquals(lock.tryRelease(requests), false);
        assertEquals(lock.tryRelease(lock.pendingRequests()), true);
        assertEquals(lock.tryAcquireOrDelegate(), true);
    }
}
