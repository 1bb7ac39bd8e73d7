package olivechute.proxy;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Validate;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.testng.annotations.Test;

/** The turn under every interleaving that the model checker finds: one holder at a time, and nothing left behind. */
public class DelegatingLockTest {
    /**
     * Threads that hand in work as posters to the loop do. What they hand in is counted without any guard but the turn.
     */
    public static class ConcurrentPosters {
        private final DelegatingLock lock = new DelegatingLock();
        private final MpscAtomicArrayQueue<Integer> queue = new MpscAtomicArrayQueue<>(16);
        private final AtomicInteger activeHolders = new AtomicInteger();
        private final AtomicInteger postedCount = new AtomicInteger();
        private int handledCount; // plain on purpose: two holders at once would lose a count
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

        /** After each run: all that was posted is done, by one at a time. */
        @Validate
        public void everyItemIsHandledByOneHolderAtATime() {
            if (twoHoldersSeen || handledCount != postedCount.get()) {
                throw new IllegalStateException(
                        "two " + twoHoldersSeen + ", posted " + postedCount + ", done " + handledCount);
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
