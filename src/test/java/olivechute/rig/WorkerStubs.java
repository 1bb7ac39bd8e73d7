package olivechute.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;

/**
 * Stubs of sign workers w0, w1 and so on, each with a separate address for each node, so that status events go to the
 * node that sent the job. A job is accepted with 202, reported as started, runs for a random time within a range in ms,
 * and is reported as done with its id and body as the result. The workers share the set of completed Idempotency-Keys,
 * as workers of class sign do: a job whose key is completed returns its result again and does not run.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the ledger records the outcome of each job
public final class WorkerStubs implements AutoCloseable {
    private static final int MAX_REPORT_ATTEMPTS = 10;
    private static final int REPORT_TIMEOUT_MILLIS = 2000;
    private static final int REPORT_RETRY_MILLIS = 100;
    private static final int MAX_IDLE_CONNECTIONS = 8;
    private static final byte[] ACCEPTED = MessageWriter.response(202, new byte[0], true);
    private static final byte[] CANCELLED = MessageWriter.response(204, null, true);

    private final EventLedger ledger;
    private final int count;
    private final Map<String, List<HttpStub>> listeners = new HashMap<>(); // by node
    private final Map<String, InetSocketAddress> nodes = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentLinkedDeque<HttpTestConnection>> idleConnections = new ConcurrentHashMap<>();
    private final Map<String, RunningJob> running = new ConcurrentHashMap<>(); // by worker and id
    private final Set<String> doneKeys = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1, WorkerStubs::daemon);
    private final ExecutorService reportExecutor = Executors.newCachedThreadPool(WorkerStubs::daemon);
    private final SplittableRandom random;
    private final int minMillis;
    private final int maxMillis;

    /** Creates workers whose jobs take from {@code minMillis} to {@code maxMillis} ms. */
    public WorkerStubs(EventLedger ledger, int count, int minMillis, int maxMillis, long seed) {
        this.ledger = ledger;
        this.count = count;
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = new SplittableRandom(seed);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "rig-worker");
        thread.setDaemon(true);
        return thread;
    }

    private static final class RunningJob {
        final String worker;
        final String node;
        final HttpRequest request;
        final String id;
        final String key;
        final long started = EventLedger.now();
        boolean repeated;
        boolean ended;

        RunningJob(String worker, String node, HttpRequest request) {
            this.worker = worker;
            this.node = node;
            this.request = request;
            this.id = request.headers().get("X-Txn");
            this.key = request.headers().get("Idempotency-Key");
        }

        /** Returns true for the first call only. */
        synchronized boolean end() {
            boolean first = !ended;
            ended = true;
            return first;
        }
    }

    /** Starts a listener of each worker for this node; {@link #setNodeAddress} sets where status events are sent. */
    public synchronized void addNode(String node) {
        List<HttpStub> own = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String worker = "w" + i;
            own.add(new HttpStub(worker, new HttpStub.Responder() {
                @Override
                public byte[] answer(HttpRequest request) {
                    return handleRequest(worker, node, request);
                }

                @Override
                public boolean ignoresClosedConnections() {
                    return true;
                }
            }));
        }
        listeners.put(node, own);
        idleConnections.put(node, new ConcurrentLinkedDeque<>());
    }

    /** Sets the address of a node, or of a link to it. */
    public void setNodeAddress(String node, InetSocketAddress address) {
        nodes.put(node, address);
    }

    /** Returns the JSON entries of the workers in this node's endpoint list. */
    synchronized String entries(String node, String zone) {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < count; i++) {
            entries.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"w")
                    .append(i)
                    .append("\",\"address\":\"")
                    .append(listeners.get(node).get(i).hostAndPort())
                    .append("\",\"zone\":\"")
                    .append(zone)
                    .append("\",\"type\":\"k\",\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}");
        }
        return entries.toString();
    }

    private byte[] handleRequest(String worker, String node, HttpRequest request) {
        if (request.method().equals("DELETE")) {
            String jobKey = worker + " " + request.path().substring("/jobs/".length());
            RunningJob cancelled = running.remove(jobKey);
            if (cancelled != null && cancelled.end()) {
                recordExecution(cancelled, false);
            }
            return CANCELLED;
        }
        RunningJob job = new RunningJob(worker, node, request);
        running.put(worker + " " + job.id, job);
        if (doneKeys.contains(String.valueOf(job.key))) {
            job.repeated = true;
            reportExecutor.execute(() -> finishJob(job));
            return ACCEPTED;
        }
        int durationMillis;
        synchronized (this) {
            durationMillis = random.nextInt(minMillis, maxMillis + 1);
        }
        reportExecutor.execute(() -> reportState(job, "\"started\""));
        scheduler.schedule(() -> reportExecutor.execute(() -> finishJob(job)), durationMillis, TimeUnit.MILLISECONDS);
        return ACCEPTED;
    }

    private void finishJob(RunningJob job) {
        running.remove(job.worker + " " + job.id, job);
        if (job.end()) {
            if (!job.repeated) {
                recordExecution(job, true);
            }
            if (job.key != null) {
                doneKeys.add(job.key);
            }
            reportState(
                    job,
                    "\"done\",\"result\":\"" + job.id + " " + new String(job.request.body(), StandardCharsets.US_ASCII)
                            + "\",\"load\":{\"x0\":64}");
        }
    }

    private void recordExecution(RunningJob job, boolean done) {
        ledger.add(new EventLedger.Execution(
                job.worker,
                job.node,
                job.id,
                job.request.path().substring(1),
                job.key,
                job.started,
                EventLedger.now(),
                done));
    }

    /** Sends a status event, with retries until it is answered. */
    private void reportState(RunningJob job, String state) {
        byte[] event = MessageWriter.request(
                "POST",
                "/_jobs/news",
                "node",
                ("{\"id\":\"" + job.id + "\",\"from\":\"" + job.worker + "\",\"state\":" + state + "}")
                        .getBytes(StandardCharsets.US_ASCII),
                "Content-Type",
                "application/json");
        reportState(job.node, event, 1);
    }

    private void reportState(String node, byte[] event, int tries) {
        ConcurrentLinkedDeque<HttpTestConnection> idle = idleConnections.get(node);
        HttpTestConnection connection = idle.poll();
        try {
            connection =
                    connection == null ? new HttpTestConnection(nodes.get(node), REPORT_TIMEOUT_MILLIS) : connection;
            connection.send(event);
            if (connection.receive(REPORT_TIMEOUT_MILLIS) != null) {
                if (idle.size() < MAX_IDLE_CONNECTIONS) {
                    idle.push(connection);
                    return;
                }
                connection.close();
                return;
            }
        } catch (IOException | HttpException broken) {
            // retried below
        }
        if (connection != null) {
            connection.close();
        }
        if (tries < MAX_REPORT_ATTEMPTS && !scheduler.isShutdown()) {
            scheduler.schedule(
                    () -> reportExecutor.execute(() -> reportState(node, event, tries + 1)),
                    tries == 1 ? 0 : REPORT_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public synchronized void close() {
        scheduler.shutdownNow();
        reportExecutor.shutdown();
        listeners.values().forEach(own -> own.forEach(HttpStub::close));
        idleConnections.values().forEach(kept -> kept.forEach(HttpTestConnection::close));
    }
}
