package olivechute;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import olivechute.net.Threads;
import olivechute.node.NodeLifecycle;
import org.testng.annotations.Test;

/** Tests a shutdown at any moment of a process's start, and signals that arrive meanwhile. */
public class NodeProcessLifecycleTest extends NodeTestBase {
    private final AtomicReference<Thread> shutdownHook = new AtomicReference<>();

    /**
     * Regression test: the shutdown hook was installed only once the node listened, and a request accepted before that
     * was lost.
     */
    @Test
    public void shutdownDuringStartLosesNoRequest() throws Exception {
        TestServer host = startServer(null);
        host.handler = r -> acceptAndReport("s1", doneEvent("ok")).respond(r);
        CountDownLatch listens = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        NodeLifecycle lifecycle = new NodeLifecycle();
        AtomicInteger reloads = new AtomicInteger();
        Threads.start("start", () -> {
            try {
                lifecycle.start(shutdownHook::set, () -> {
                    assertNotNull(shutdownHook.get()); // installed before the node listens
                    start(endpointEntry("s1", host, "active", 0));
                    listens.countDown();
                    DownstreamServerTestBase.awaitLatch(release);
                    return node;
                });
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        lifecycle.whenStarted(n -> reloads.incrementAndGet()); // SIGHUP during the start
        assertTrue(listens.await(5, TimeUnit.SECONDS));
        TestClient client = connectClient().send(TestClient.jobRequest("sign", "t1", 5000));
        shutdownHook.get().start(); // SIGTERM
        lifecycle.whenStarted(n -> reloads.incrementAndGet()); // a second SIGHUP
        assertFalse(hasEnded(100));
        release.countDown();
        assertEquals(statusAndBody(client.receive()), "200 ok");
        assertFalse(hasEnded(500)); // it drains like a node that has been running for a while
        assertTrue(hasEnded(4000));
        assertEquals(reloads.get(), 2);
    }

    @Test
    public void failedStartDoesNotDelayShutdown() throws Exception {
        NodeLifecycle lifecycle = new NodeLifecycle();
        assertThrows(
                IOException.class,
                () -> lifecycle.start(shutdownHook::set, () -> {
                    throw new IOException("in use");
                }));
        lifecycle.whenStarted(n -> {
            throw new AssertionError("has not started");
        });
        shutdownHook.get().start();
        assertTrue(hasEnded(500));
    }

    @Test
    public void hangingStartDelaysShutdownForABoundedTime() throws Exception {
        CountDownLatch starts = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Threads.start(
                "start",
                () -> assertThrows(
                        IOException.class,
                        () -> new NodeLifecycle().start(shutdownHook::set, () -> {
                            starts.countDown();
                            DownstreamServerTestBase.awaitLatch(release);
                            throw new IOException("given up");
                        })));
        assertTrue(starts.await(2, TimeUnit.SECONDS));
        shutdownHook.get().start();
        assertTrue(hasEnded(3000));
        release.countDown();
    }

    private boolean hasEnded(long millis) throws InterruptedException {
        shutdownHook.get().join(millis);
        return !shutdownHook.get().isAlive();
    }
}
