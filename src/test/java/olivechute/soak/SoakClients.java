package olivechute.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import olivechute.http.HttpException;
import olivechute.http.HttpResponse;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;
import olivechute.net.Threads;

/**
 * Clients that keep their connections and use them while they stay open; some idle, write slowly, stall in the middle
 * of a request or disconnect. New connections are made only to nodes that the front-end load balancer sends clients to.
 * One thread for each client.
 */
final class SoakClients implements AutoCloseable {
    private static final int COUNT = 16;
    private static final int IDLE_CLIENTS = 150;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    /** Time for which a client keeps listening after its deadline, so that late responses are detected. */
    private static final int LATE_ANSWER_MILLIS = 800;
    /**
     * Time for which a client that stalled mid-request waits for an error or the end of the connection: more than
     * {@link SoakInvariants} allows the node.
     */
    private static final int STALLED_TIMEOUT_MILLIS = 3500;

    private static final String[] CLASSES = {"verify", "sign", "pay"};
    private static final int BUFFER_BYTES = 8192;

    private final History history;
    private final SoakScenario scenario;
    private final Map<String, InetSocketAddress> nodes;
    private final Map<String, Boolean> acceptingNodes = new ConcurrentHashMap<>();
    private final Map<String, Integer> incarnations = new ConcurrentHashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private volatile boolean stopped;

    SoakClients(History history, SoakScenario scenario, Map<String, InetSocketAddress> nodes) {
        this.history = history;
        this.scenario = scenario;
        this.nodes = nodes;
    }

    /** Sets whether the front-end load balancer sends new connections to this node. */
    void acceptingNodes(String node, boolean now) {
        acceptingNodes.put(node, now);
    }

    /** Records that the node's process was killed or replaced. */
    void onKilled(String node) {
        incarnations.merge(node, 1, Integer::sum);
    }

    void start() {
        for (int i = 0; i < COUNT; i++) {
            SplittableRandom random = new SplittableRandom(scenario.seed() * 1000 + i);
            threads.add(Threads.start("soak-client", () -> new SoakClient(random).run()));
        }
        if (scenario.crowd()) {
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                String node = i % 2 == 0 ? "n0" : "n1";
                threads.add(Threads.start("soak-idle", () -> idle(node)));
            }
        }
    }

    /** Stops submitting requests and returns once all submitted ones have ended. */
    void finish() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** An idle client that waits until the node closes its connection, and reconnects. */
    private void idle(String node) {
        while (!stopped) {
            try (Socket socket = new Socket()) {
                socket.connect(nodes.get(node), CONNECT_TIMEOUT_MILLIS);
                socket.setSoTimeout(300);
                boolean ended = false;
                while (!stopped && !ended) {
                    ended = ended(socket);
                }
            } catch (IOException e) {
                pause(100);
            }
            pause(100);
        }
    }

    private static boolean ended(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A kept-alive connection. */
    private static final class KeptConnection {
        final String node;
        final Socket socket;
        final ResponseParser parser = new ResponseParser();
        boolean used;

        KeptConnection(String node, Socket socket) {
            this.node = node;
            this.socket = socket;
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                return;
            }
        }
    }

    private record Result(History.Ending ending, int status, String answer, boolean keepAlive) {}

    /** One client with one outstanding request at a time. */
    private final class SoakClient {
        private final SplittableRandom random;
        private final Map<String, KeptConnection> connections = new HashMap<>();

        SoakClient(SplittableRandom random) {
            this.random = random;
        }

        void run() {
            while (!stopped) {
                KeptConnection connection = connection();
                if (connection == null) {
                    pause(20);
                    continue;
                }
                if (draw(0.03 * scenario.clientFaultRate())) {
                    stallMidRequest(connection);
                } else {
                    request(connection);
                }
                pause(draw(0.1) ? random.nextInt(600) : random.nextInt(25));
            }
            connections.values().forEach(KeptConnection::close);
        }

        private boolean draw(double probability) {
            return random.nextDouble() < probability;
        }

        /**
         * Returns a kept-alive connection to a random node, even if it is about to close; otherwise a new one if the
         * front-end load balancer allows it.
         */
        private KeptConnection connection() {
            String node = random.nextBoolean() ? "n0" : "n1";
            KeptConnection kept = connections.get(node);
            if (kept != null) {
                return kept;
            }
            if (!acceptingNodes.getOrDefault(node, false)) {
                return null;
            }
            try {
                Socket socket = new Socket();
                socket.connect(nodes.get(node), CONNECT_TIMEOUT_MILLIS);
                socket.setTcpNoDelay(true);
                KeptConnection connection = new KeptConnection(node, socket);
                connections.put(node, connection);
                if (draw(0.3 * scenario.clientFaultRate())) {
                    pause(1850 + random.nextInt(350)); // about the time that a node waits for a first message
                }
                return connection;
            } catch (IOException e) {
                return null;
            }
        }

        private void drop(KeptConnection connection) {
            connections.remove(connection.node, connection);
            connection.close();
        }

        private byte[] message(String id, String requestClass, long deadlineMillis) {
            return MessageWriter.request(
                    "POST",
                    "/" + requestClass,
                    "backend.local",
                    "document".getBytes(StandardCharsets.US_ASCII),
                    "X-Txn",
                    id,
                    "X-Org",
                    "acme",
                    "X-Remaining",
                    deadlineMillis + "m",
                    "Idempotency-Key",
                    requestClass.equals("sign") ? "key-" + id : null);
        }

        private String nextId() {
            return String.format("%08x%08x", scenario.seed() & 0xffffffffL, requestCount.incrementAndGet());
        }

        private void request(KeptConnection connection) {
            String id = nextId();
            String requestClass = CLASSES[random.nextInt(CLASSES.length)];
            long deadlineMillis = draw(0.05) ? 20 + random.nextInt(60) : scenario.deadlineMillis();
            byte[] message = message(id, requestClass, deadlineMillis);
            boolean first = !connection.used;
            connection.used = true;
            boolean leaves = draw(0.1 * scenario.clientFaultRate());
            long sentUs;
            try {
                write(connection, message);
                sentUs = History.nowUs();
            } catch (IOException e) {
                drop(connection);
                return; // never written completely
            }
            Result result;
            if (leaves) {
                pause(random.nextLong(Math.min(300, deadlineMillis)));
                result = new Result(History.Ending.LEFT, 0, "", false);
            } else {
                result = receive(connection, deadlineMillis);
            }
            if (!result.keepAlive()) {
                // Closed before the end is recorded: no attempt may begin for a disconnected client after that time.
                drop(connection);
            }
            history.add(new History.ClientRequest(
                    id,
                    requestClass,
                    connection.node,
                    connection.socket.getLocalPort(),
                    first,
                    sentUs,
                    deadlineMillis * 1000,
                    result.ending(),
                    result.status(),
                    History.nowUs(),
                    result.answer()));
        }

        /** Writes the message at once, or in pieces with pauses. */
        private void write(KeptConnection connection, byte[] message) throws IOException {
            if (!draw(0.2 * scenario.clientFaultRate())) {
                connection.socket.getOutputStream().write(message);
                return;
            }
            int pieces = 2 + random.nextInt(3);
            int totalPauseMillis = random.nextInt(2100);
            for (int i = 0; i < pieces; i++) {
                int from = message.length * i / pieces;
                int to = message.length * (i + 1) / pieces;
                connection.socket.getOutputStream().write(message, from, to - from);
                if (i < pieces - 1) {
                    pause(totalPauseMillis / (pieces - 1));
                }
            }
        }

        private Result receive(KeptConnection connection, long deadlineMillis) {
            long endUs = History.nowUs() + 1000 * (deadlineMillis + LATE_ANSWER_MILLIS);
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                for (; ; ) {
                    connection.socket.setSoTimeout((int) Math.max(1, (endUs - History.nowUs()) / 1000));
                    int n = connection.socket.getInputStream().read(buffer);
                    if (n < 0) {
                        return new Result(History.Ending.CUT, 0, "", false);
                    }
                    connection.parser.feed(buffer, 0, n);
                    if (connection.parser.isComplete()) {
                        HttpResponse response = connection.parser.take();
                        String text = new String(response.body(), StandardCharsets.US_ASCII);
                        return new Result(History.Ending.ANSWERED, response.status(), text, response.keepAlive());
                    }
                }
            } catch (SocketTimeoutException silent) {
                return new Result(History.Ending.SILENT, 0, "", false);
            } catch (IOException | HttpException broken) {
                return new Result(History.Ending.CUT, 0, "", false);
            }
        }

        private void stallMidRequest(KeptConnection connection) {
            byte[] message = message(nextId(), "verify", scenario.deadlineMillis());
            int incarnation = incarnations.getOrDefault(connection.node, 0);
            try {
                connection.socket.getOutputStream().write(message, 0, 1 + random.nextInt(message.length - 2));
            } catch (IOException e) {
                drop(connection);
                return;
            }
            long stoppedUs = History.nowUs();
            receive(connection, STALLED_TIMEOUT_MILLIS);
            long endedUs = History.nowUs();
            drop(connection);
            boolean lived = incarnation == incarnations.getOrDefault(connection.node, 0);
            history.add(new History.StalledClient(connection.node, stoppedUs, endedUs, lived));
        }
    }

    @Override
    public void close() {
        stopped = true;
    }
}
