package olivechute.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import olivechute.config.MetricsSettings;
import olivechute.fleet.wire.NodeFigures;
import olivechute.metrics.MetricsSender.Limits;
import olivechute.proxy.EventLoop;
import olivechute.proxy.ProxyEvent;
import olivechute.rig.Ports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests sending to a supervisor that is reachable, absent, starts late, resets the connection or stops reading. */
@SuppressWarnings("EmptyCatch") // a timeout of accept means that another attempt follows
public class MetricsSenderTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final int CLASSES = 200;
    private static final long SEED = 5;

    private RequestCounters counters;
    private ServerSocket supervisor;
    private MetricsSender sender;
    private final List<Socket> sockets = new ArrayList<>();

    @BeforeMethod
    public void setUp() throws IOException {
        counters = new RequestCounters(CLASSES);
        supervisor = new ServerSocket();
        supervisor.setReceiveBufferSize(4096);
        supervisor.bind(Ports.free());
        supervisor.setSoTimeout(TIMEOUT_MS);
        sender = sender(new Limits(500, 300, 10, 40));
    }

    private MetricsSender sender(Limits limits) throws IOException {
        List<String> classes = new ArrayList<>();
        for (int i = 0; i < CLASSES; i++) {
            classes.add("class-of-some-length-" + i);
        }
        MetricsSender created = new MetricsSender(
                address(), new MetricsSnapshot.Origin("n0", "v1", 7, classes), limits, new SplittableRandom(SEED));
        created.start();
        return created;
    }

    private InetSocketAddress address() {
        return (InetSocketAddress) supervisor.getLocalSocketAddress();
    }

    /** Ends the sender before its port can be reused by another process. */
    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        sender.shutDown();
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
        supervisor.close();
    }

    private long offer() {
        counters.onReceived(0);
        MetricsSnapshot snapshot = counters.snapshot(0);
        sender.offer(snapshot);
        return snapshot.sequence();
    }

    private InputStream accept() throws IOException {
        Socket socket = supervisor.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        sockets.add(socket);
        return socket.getInputStream();
    }

    private static NodeFigures readReport(InputStream in) throws IOException {
        return NodeFigures.parseDelimitedFrom(in);
    }

    /** Returns the first report with at least this sequence number; checks that the numbers increase until then. */
    private static NodeFigures readUntil(InputStream in, long sequence) throws IOException {
        long previous = 0;
        for (; ; ) {
            NodeFigures report = readReport(in);
            assertNotNull(report, "the connection ended");
            assertTrue(report.getSequence() > previous, report.getSequence() + " after " + previous);
            previous = report.getSequence();
            if (previous >= sequence) {
                return report;
            }
        }
    }

    @Test
    public void sendsReportsInOrderOverOneConnection() throws Exception {
        long first = offer();
        InputStream in = accept();
        assertEquals(readUntil(in, first).getSequence(), first);
        for (int i = 0; i < 5; i++) {
            long next = offer();
            NodeFigures report = readUntil(in, next);
            assertEquals(
                    report.getSequence() + " " + report.getIncarnation() + " " + report.getVersion(), next + " 7 v1");
        }
    }

    @Test
    public void sendsOnlyTheNewestReportToASupervisorThatStartsLate() throws Exception {
        int port = supervisor.getLocalPort();
        InetAddress host = supervisor.getInetAddress();
        supervisor.close();
        for (int i = 0; i < 50; i++) {
            offer();
        }
        supervisor = new ServerSocket();
        supervisor.setReuseAddress(true);
        supervisor.setSoTimeout(TIMEOUT_MS);
        long newest = offer();
        supervisor.bind(new InetSocketAddress(host, port));
        NodeFigures report = readReport(accept());
        assertEquals(report.getSequence(), newest);
        assertEquals(report.getClasses(0).getTaken(), newest);
    }

    /**
     * Offers snapshots until the sender connects again. What was sent into a connection that then breaks is lost; the
     * next report makes up for it.
     */
    private InputStream offerUntilReconnected() throws IOException {
        supervisor.setSoTimeout(20);
        for (long end = System.nanoTime() + TIMEOUT_MS * 1_000_000L; System.nanoTime() < end; ) {
            long before = System.nanoTime();
            offer();
            assertTrue(System.nanoTime() - before < TIMEOUT_MS * 1_000_000L / 2, "offer waited for the supervisor");
            try {
                return accept();
            } catch (SocketTimeoutException e) {

            }
        }
        throw new AssertionError("the sender never connected again");
    }

    @Test
    public void reconnectsAfterAReset() throws Exception {
        InputStream in = acceptAfter(offer());
        for (int i = 0; i < 3; i++) {
            assertNotNull(readReport(in));
            sockets.get(i).setSoLinger(true, 0);
            sockets.get(i).close();
            in = offerUntilReconnected();
        }
        long last = offer();
        assertEquals(readUntil(in, last).getClasses(0).getTaken(), last);
    }

    private InputStream acceptAfter(long sequence) throws IOException {
        assertTrue(sequence > 0);
        return accept();
    }

    /**
     * A supervisor that stops reading delays only its own reports. They are not queued for it, and after reconnecting
     * it receives the newest.
     */
    @Test
    public void reconnectsAndSendsTheNewestAfterAWriteTimeout() throws Exception {
        assertNotNull(readReport(acceptAfter(offer())));
        InputStream again = offerUntilReconnected();
        long last = offer();
        assertEquals(readUntil(again, last).getClasses(0).getTaken(), last);
    }

    /** After shutDown the sender sends its pending snapshot and closes the connection. */
    @Test
    public void sendsTheLastReportBeforeShutdown() throws Exception {
        InputStream in = acceptAfter(offer());
        long last = offer();
        sender.shutDown();
        assertEquals(readUntil(in, last).getSequence(), last);
        assertNull(readReport(in));
    }

    @Test
    public void shutsDownWithoutASupervisor() throws Exception {
        supervisor.close();
        MetricsSender alone = new MetricsSender(
                address(),
                new MetricsSnapshot.Origin("n0", "", 7, List.of("verify")),
                new Limits(500, 300, 600_000, 600_000),
                new SplittableRandom(SEED));
        alone.offer(new RequestCounters(1).snapshot(0));
        Thread thread = alone.start();
        alone.shutDown();
        thread.join(TIMEOUT_MS);
        assertTrue(!thread.isAlive(), "the sender waits for its next attempt");
    }

    /**
     * The event loop must go on whatever the supervisor does; here the backlog is full, so not even the connection is
     * accepted.
     */
    @Test
    public void theEventLoopNeverWaitsForTheSupervisor() throws Exception {
        ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket[] waiting = new Socket[4];
        try (full) {
            for (int i = 0; i < waiting.length; i++) {
                waiting[i] = new Socket();
                try {
                    waiting[i].connect(full.getLocalSocketAddress(), 50);
                } catch (IOException backlogFull) {
                    break;
                }
            }
            EventLoop loop = new EventLoop();
            MetricsReporting reporting = new MetricsReporting(
                    loop,
                    new MetricsSettings((InetSocketAddress) full.getLocalSocketAddress(), "v1"),
                    "n0",
                    List.of("verify"),
                    new SplittableRandom(SEED));
            CountDownLatch ran = new CountDownLatch(1000);
            reporting.start();
            loop.runPeriodically(1000, ran::countDown);
            loop.start(event -> {});
            for (int i = 0; i < 500; i++) {
                loop.post(new ProxyEvent.Task(ran::countDown));
            }
            assertTrue(ran.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            reporting.shutDown();
        } finally {
            for (Socket socket : waiting) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
