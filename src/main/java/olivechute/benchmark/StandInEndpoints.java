package olivechute.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulated endpoints (sign workers), named w0, w1 and so on. Each accepts a request with 202 and sends its job status
 * events, started and done, at once from the thread that accepted it, so that for each client one request at a time
 * passes through the node.
 */
final class StandInEndpoints implements AutoCloseable {
    /** Part of the target of requests that are rejected first. */
    static final String REJECTION_MARKER = "user=turned";

    /** The most times that a job status event is sent, as the protocol requires. */
    private static final int MAX_SEND_ATTEMPTS = 10;

    private static final byte[] ACCEPTED_RESPONSE = text("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    private static final byte[] CANCELLED_RESPONSE = text("HTTP/1.1 204 No Content\r\n\r\n");
    private static final byte[] REJECTED_RESPONSE =
            text("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");

    private final ConnectionFactory connectionFactory;
    private final List<Listener> listeners = new ArrayList<>();
    private final int rejectionsPerRequest;
    private final boolean newConnectionPerStatusEvent;
    private final Map<String, Integer> rejectionsById = new ConcurrentHashMap<>();
    private final AtomicLong acceptedRequests = new AtomicLong();
    private final Set<String> requestIds = ConcurrentHashMap.newKeySet();
    private final Semaphore reportedRequests = new Semaphore(0);
    private final AtomicLong endpointTimeNanos = new AtomicLong();
    private volatile InetSocketAddress nodeAddress;

    /**
     * {@code rejectionsPerRequest}: how often each request is rejected first; {@code newConnectionPerStatusEvent}: use
     * a new connection for each job status event.
     */
    StandInEndpoints(
            ConnectionFactory connectionFactory,
            int count,
            int rejectionsPerRequest,
            boolean newConnectionPerStatusEvent)
            throws IOException {
        this.connectionFactory = connectionFactory;
        this.rejectionsPerRequest = rejectionsPerRequest;
        this.newConnectionPerStatusEvent = newConnectionPerStatusEvent;
        for (int i = 0; i < count; i++) {
            String name = "w" + i;
            listeners.add(
                    new Listener("stand-in-host", connectionFactory.listener(), connection -> serve(name, connection)));
        }
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sets the address that job status events are sent to. */
    void nodeAddress(InetSocketAddress address) {
        nodeAddress = address;
    }

    /** Returns the endpoints as JSON elements of discovery's list. */
    String entries() {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < listeners.size(); i++) {
            entries.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"w")
                    .append(i)
                    .append("\",\"address\":\"")
                    .append(listeners.get(i).addressText())
                    .append("\",\"zone\":\"z\",\"type\":\"k\",\"status\":\"active\"}");
        }
        return entries.toString();
    }

    /** Returns the number of connections that the node opened. */
    long acceptedConnections() {
        return listeners.stream().mapToLong(Listener::acceptedConnections).sum();
    }

    /** Returns the requests accepted, each as often as it arrived. */
    long acceptedRequests() {
        return acceptedRequests.get();
    }

    /** Returns the distinct requests accepted. */
    long distinctRequests() {
        return requestIds.size();
    }

    /** Returns the time that requests spent here in microseconds, from reading one to sending its done event. */
    long endpointTimeUs() {
        return endpointTimeNanos.get() / 1000;
    }

    /** Waits until all status events of one more request are sent. */
    void awaitRequestReported() throws InterruptedException {
        reportedRequests.acquire();
    }

    /** Forgets the requests reported so far. */
    void reportedRequests() {
        reportedRequests.drainPermits();
    }

    private void serve(String name, BlockingHttpConnection connection) throws IOException, InterruptedException {
        BlockingHttpConnection statusConnection = null;
        try {
            for (BlockingHttpConnection.Message m = connection.read(); m != null; m = connection.read()) {
                long startNanos = System.nanoTime();
                if (m.head().startsWith("DELETE")) {
                    connection.write(CANCELLED_RESPONSE);
                    continue;
                }
                String id = m.field("X-Txn");
                if (m.head().contains(REJECTION_MARKER)
                        && rejectionsById.merge(id, 1, Integer::sum) <= rejectionsPerRequest) {
                    connection.write(REJECTED_RESPONSE);
                    continue;
                }
                rejectionsById.remove(id);
                acceptedRequests.incrementAndGet();
                requestIds.add(id);
                connection.write(ACCEPTED_RESPONSE);
                for (String state : new String[] {
                    "\"started\"",
                    "\"done\",\"result\":\"a signature\",\"load\":{\"x0\":64,"
                            + "\"err_ps\":0,\"tps\":90.5,\"depth\":0}"
                }) {
                    if (state.startsWith("\"done")) {
                        endpointTimeNanos.addAndGet(System.nanoTime() - startNanos);
                    }
                    statusConnection = sendStatusEvent(
                            newConnectionPerStatusEvent ? null : statusConnection, statusEvent(id, name, state));
                    if (newConnectionPerStatusEvent) {
                        statusConnection.close();
                    }
                }
                reportedRequests.release();
            }
        } finally {
            if (statusConnection != null) {
                statusConnection.close();
            }
        }
    }

    /**
     * Sends a status event on a connection until it is answered, on a new one if the argument is null or has ended;
     * returns the last one used.
     */
    private BlockingHttpConnection sendStatusEvent(BlockingHttpConnection existing, byte[] event) throws IOException {
        BlockingHttpConnection connection = existing;
        for (int attempt = 1; ; attempt++) {
            try {
                connection = connection == null ? connectionFactory.endpoint(nodeAddress) : connection;
                connection.write(event);
                if (connection.read() != null) {
                    return connection;
                }
                throw new IOException("job status event not answered");
            } catch (IOException e) {
                if (attempt == MAX_SEND_ATTEMPTS) {
                    throw e;
                }
                if (connection != null) {
                    connection.close();
                }
                connection = null;
            }
        }
    }

    private static byte[] statusEvent(String id, String from, String stateAndFields) {
        String body = "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":" + stateAndFields + "}";
        return text("POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    @Override
    public void close() throws IOException {
        for (Listener listener : listeners) {
            listener.close();
        }
    }
}
