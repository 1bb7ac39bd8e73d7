package olivechute.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;

/**
 * Clients and the front-end load balancer of the nodes. Jobs of classes verify and sign alternate at a fixed rate,
 * independent of their responses, each sent to a random node whose last probe found it ready. A job is resent only if a
 * kept-alive connection ended as it was sent. The ledger records each job, each response (under the id that its body
 * names) and each readiness probe.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the ledger records the outcome of each request
public final class LoadClients implements AutoCloseable {
    /**
     * Time in ms that a client waits for its response; it keeps listening for {@code LATE_ANSWER_MILLIS} after that.
     */
    public static final int DEADLINE_MILLIS = 5000;

    private static final int LATE_ANSWER_MILLIS = 500;
    private static final int PROBE_INTERVAL_MILLIS = 50;
    private static final int PROBE_TIMEOUT_MILLIS = 1000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final byte[] PROBE_REQUEST = MessageWriter.request("GET", "/health/ready", "node", null);

    private final EventLedger ledger;
    private final SplittableRandom random;
    private final long runId;
    private final Map<String, InetSocketAddress> nodes = new ConcurrentHashMap<>();
    private final Map<String, Boolean> ready = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentLinkedDeque<HttpTestConnection>> idleConnections = new ConcurrentHashMap<>();
    private final Object lock = new Object();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4, LoadClients::daemonThread);
    private final ExecutorService jobExecutor = Executors.newCachedThreadPool(LoadClients::daemonThread);
    private int jobCount;
    private int openJobs;
    private boolean stopped;

    /** Creates the clients; {@code seed} determines which node each job is sent to. */
    public LoadClients(EventLedger ledger, long seed) {
        this.ledger = ledger;
        this.random = new SplittableRandom(seed);
        this.runId = seed & 0xffffffL;
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "rig-client");
        thread.setDaemon(true);
        return thread;
    }

    /** Starts probing the readiness of this node, 20 times a second. */
    public void addNode(String node, InetSocketAddress address) {
        nodes.put(node, address);
        idleConnections.put(node, new ConcurrentLinkedDeque<>());
        ready.put(node, false);
        scheduler.scheduleWithFixedDelay(() -> probe(node), 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void probe(String node) {
        long sent = EventLedger.now();
        boolean isReady = false;
        try (HttpTestConnection connection = new HttpTestConnection(nodes.get(node), PROBE_TIMEOUT_MILLIS)) {
            connection.send(PROBE_REQUEST);
            HttpResponse answer = connection.receive(PROBE_TIMEOUT_MILLIS);
            isReady = answer != null && answer.status() == 200;
        } catch (IOException | HttpException e) {
            isReady = false;
        }
        ledger.add(new EventLedger.ReadinessProbe(node, sent, EventLedger.now(), isReady));
        synchronized (lock) {
            ready.put(node, isReady);
            lock.notifyAll();
        }
    }

    /** Waits until the known readiness of the nodes meets the condition. */
    public void awaitReady(Predicate<Map<String, Boolean>> holds, long withinMillis) {
        await(() -> holds.test(ready), withinMillis, "nodes ready: ");
    }

    /** Waits until this many responses were received in all, whatever their status. */
    public void awaitServed(long jobs, long withinMillis) {
        await(() -> ledger.answers().size() >= jobs, withinMillis, "served: " + ledger.counts() + ", nodes ready: ");
    }

    private void await(java.util.function.BooleanSupplier holds, long withinMillis, String what) {
        long end = EventLedger.now() + withinMillis;
        synchronized (lock) {
            while (!holds.getAsBoolean()) {
                long left = end - EventLedger.now();
                if (left <= 0) {
                    throw new TestSetupException("the awaited condition did not hold within " + withinMillis + " ms; "
                            + what + ready + ", jobs " + ledger.counts());
                }
                try {
                    lock.wait(left);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new TestSetupException("interrupted", e);
                }
            }
        }
    }

    /** Submits jobs at this rate until {@link #stop}. */
    public void startLoad(double perSecond) {
        long gap = Math.round(1_000_000_000 / perSecond);
        scheduler.scheduleAtFixedRate(this::submitJob, 0, gap, TimeUnit.NANOSECONDS);
    }

    private void submitJob() {
        List<String> readyNodes = new ArrayList<>();
        ready.forEach((node, isReady) -> {
            if (isReady) {
                readyNodes.add(node);
            }
        });
        synchronized (lock) {
            if (stopped || readyNodes.isEmpty()) {
                return;
            }
            readyNodes.sort(null);
            String node = readyNodes.get(random.nextInt(readyNodes.size()));
            int number = jobCount++;
            openJobs++;
            jobExecutor.execute(() -> {
                try {
                    runJob(node, number);
                } finally {
                    synchronized (lock) {
                        openJobs--;
                        lock.notifyAll();
                    }
                }
            });
        }
    }

    private void runJob(String node, int number) {
        String requestClass = number % 2 == 0 ? "verify" : "sign";
        String id = String.format("%06x%010x", runId, number);
        String key = requestClass.equals("sign") ? "key-" + id : null;
        byte[] bytes = MessageWriter.request(
                "POST",
                "/" + requestClass + "?user=u" + number % 97,
                "backend.local",
                ("doc" + number).getBytes(StandardCharsets.US_ASCII),
                "X-Txn",
                id,
                "X-Org",
                "acme",
                "X-Remaining",
                DEADLINE_MILLIS + "m",
                "Idempotency-Key",
                key);
        long sent = EventLedger.now();
        EventLedger.Outcome outcome = EventLedger.Outcome.NOT_TAKEN;
        int status = 0;
        HttpTestConnection connection = takeIdle(node);
        boolean mayRetry = connection != null;
        for (boolean retry = true; retry; ) {
            retry = false;
            try {
                connection = connection == null
                        ? new HttpTestConnection(nodes.get(node), CONNECT_TIMEOUT_MILLIS)
                        : connection;
                connection.send(bytes);
                outcome = EventLedger.Outcome.LOST;
                HttpResponse answer =
                        connection.receive((int) (sent + DEADLINE_MILLIS + LATE_ANSWER_MILLIS - EventLedger.now()));
                if (answer != null) {
                    status = answer.status();
                    outcome = outcomeOf(status);
                    recordAnswer(node, id, answer);
                    keepOrClose(node, connection, answer.keepAlive());
                    break;
                }
                retry = mayRetry;
            } catch (SocketTimeoutException silent) {
                retry = false;
            } catch (IOException broken) {
                retry = mayRetry;
            } catch (HttpException garbled) {
                outcome = EventLedger.Outcome.FAILED;
            }
            mayRetry = false;
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }
        ledger.add(new EventLedger.Job(id, requestClass, key, node, sent, EventLedger.now(), outcome, status));
    }

    private static EventLedger.Outcome outcomeOf(int status) {
        return status == 200
                ? EventLedger.Outcome.SERVED
                : status == 429 || status == 503 ? EventLedger.Outcome.REFUSED : EventLedger.Outcome.FAILED;
    }

    /**
     * Records a response: the body of a served one names its job, any other is attributed to the job that is waited
     * for.
     */
    private void recordAnswer(String node, String waitedFor, HttpResponse answer) {
        String id = answer.status() == 200
                ? new String(answer.body(), StandardCharsets.US_ASCII).split(" ", 2)[0]
                : waitedFor;
        ledger.add(new EventLedger.Answer(id, node, EventLedger.now()));
    }

    private HttpTestConnection takeIdle(String node) {
        return idleConnections.get(node).poll();
    }

    private void keepOrClose(String node, HttpTestConnection connection, boolean keepAlive) {
        HttpResponse unsolicited = connection.pollUnsolicited();
        if (unsolicited != null) {
            recordAnswer(node, "unasked", unsolicited);
        }
        if (keepAlive) {
            idleConnections.get(node).push(connection);
        } else {
            connection.close();
        }
    }

    /** Stops submitting jobs and waits until all submitted ones have ended. */
    public void stop() {
        synchronized (lock) {
            stopped = true;
        }
        await(
                () -> openJobs == 0,
                DEADLINE_MILLIS + 4 * LATE_ANSWER_MILLIS,
                "jobs open: " + openJobs + ", nodes ready: ");
        idleConnections.forEach((node, connections) -> connections.forEach(connection -> {
            HttpResponse unsolicited = connection.pollUnsolicited();
            if (unsolicited != null) {
                recordAnswer(node, "unasked", unsolicited);
            }
        }));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        jobExecutor.shutdownNow();
        idleConnections.values().forEach(connections -> connections.forEach(HttpTestConnection::close));
    }
}
