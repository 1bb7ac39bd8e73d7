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
 * Stand-ins of sign workers, named w0, w1 and so on. Each takes a job with 202 and tells at once that it has started
 * and is done, from the thread that took it, so that one request runs through the node at a time for each client.
 */
final class StandInEndpoints implements AutoCloseable {
    /** In the target of requests that are turned away first. */
    static final String REJECTION_MARKER = "user=turned";

    /** How often news are told at most, as the protocol has it. */
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
     * {@code turnsAway}: how often each job is turned away first; {@code newsOnNew}: a new connection for each news.
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
            listeners.add(new Listener("stand-in-host", connectionFactory.listener(), wire -> serve(name, wire)));
        }
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Where news go. */
    void nodeAddress(InetSocketAddress address) {
        nodeAddress = address;
    }

    /** The hosts as discovery lists them. */
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

    /** Connections that the node dialled. */
    long acceptedConnections() {
        return listeners.stream().mapToLong(Listener::acceptedConnections).sum();
    }

    /** Jobs taken, each as often as it came. */
    long acceptedRequests() {
        return acceptedRequests.get();
    }

    /** Jobs taken, each once. */
    long distinctRequests() {
        return requestIds.size();
    }

    /** Microseconds that requests spent here, from their reading to the word that they are done. */
    long endpointTimeUs() {
        return endpointTimeNanos.get() / 1000;
    }

    /** Waits until one more job is told of in full. */
    void awaitRequestReported() throws InterruptedException {
        reportedRequests.acquire();
    }

    /** All that was told so far is settled. */
    void reportedRequests() {
        reportedRequests.drainPermits();
    }

    private void serve(String name, BlockingHttpConnection wire) throws IOException, InterruptedException {
        BlockingHttpConnection statusConnection = null;
        try {
            for (BlockingHttpConnection.Message m = wire.read(); m != null; m = wire.read()) {
                long startNanos = System.nanoTime();
                if (m.head().startsWith("DELETE")) {
                    wire.write(CANCELLED_RESPONSE);
                    continue;
                }
                String id = m.field("X-Txn");
                if (m.head().contains(REJECTION_MARKER)
                        && rejectionsById.merge(id, 1, Integer::sum) <= rejectionsPerRequest) {
                    wire.write(REJECTED_RESPONSE);
                    continue;
                }
                rejectionsById.remove(id);
                acceptedRequests.incrementAndGet();
                requestIds.add(id);
                wire.write(ACCEPTED_RESPONSE);
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
     * Tells it on a connection, a new one for null or where that has ended, until there is an answer; returns the last.
     */
    private BlockingHttpConnection sendStatusEvent(BlockingHttpConnection existing, byte[] event) throws IOException {
        BlockingHttpConnection wire = existing;
        for (int attempt = 1; ; attempt++) {
            try {
                wire = wire == null ? connectionFactory.endpoint(nodeAddress) : wire;
                wire.write(event);
                if (wire.read() != null) {
                    return wire;
                }
                throw new IOException("news not answered");
            } catch (IOException e) {
                if (attempt == MAX_SEND_ATTEMPTS) {
                    throw e;
                }
                if (wire != null) {
                    wire.close();
                }
                wire = null;
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
