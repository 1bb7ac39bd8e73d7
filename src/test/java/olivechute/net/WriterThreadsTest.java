package olivechute.net;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the threads that run blocking writes. */
public class WriterThreadsTest {
    private static final int FAILING_WRITES = 12;

    /** Guards against an error in a write that leaves its thread counted as running, so that no write ran any more. */
    @Test
    public void errorsInWritesLeaveThreadsForLaterWrites() throws Exception {
        WriterThreads writers = new WriterThreads(100);
        for (int i = 0; i < FAILING_WRITES; i++) {
            assertTrue(writers.offer(() -> {
                throw new OutOfMemoryError("of a test");
            }));
            Thread.sleep(5); // each in a run of its own
        }
        CountDownLatch written = new CountDownLatch(1);
        assertTrue(writers.offer(written::countDown));
        assertTrue(written.await(5, TimeUnit.SECONDS));
    }
}
