import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Sound clients: one request at a time on a connection, each with a fresh id; more connections when all are busy. */
final class Clients {
    /** A request: when its last byte was written, its time, and when and how it was answered (0: not at all). */
    static final class Call {
        final String id;
        volatile double sentAt;
        volatile double answeredAt;
        volatile int status;

        Call(String id) {
            this.id = id;
        }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffffffL);

    final Map<String, Call> calls = new ConcurrentHashMap<>();
    private final int port;
    private final ConcurrentLinkedDeque<Lab.Http> idle = new ConcurrentLinkedDeque<>();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    volatile boolean ended;

    Clients(int port) {
        this.port = port;
    }

    static String freshId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    static String request(String requestClass, String tenant, String id, long remainingMs, String more) {
        return "POST /" + requestClass + "?user=u" + id + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id + "\r\nX-Org: "
                + tenant + "\r\nX-Remaining: " + remainingMs + "m\r\n" + more + "Content-Length: 10\r\n\r\na document";
    }

    /** Sends requests at a steady rate until {@link #ended}; every fifth is a sign, the others are verify. */
    void steady(double perSecond, String tenant) {
        Lab.thread("steady", () -> {
            double next = Lab.now();
            for (int i = 0; !ended; i++) {
                Lab.sleepUntil(next);
                next += 1000 / perSecond;
                String id = freshId();
                String requestClass = i % 5 == 4 ? "sign" : "verify";
                executor.execute(() -> call(requestClass, tenant, id));
            }
            return 0;
        });
    }

    Call call(String requestClass, String tenant, String id) {
        Call call = new Call(id);
        calls.put(id, call);
        String message = request(
                requestClass, tenant, id, 5000, requestClass.equals("sign") ? "Idempotency-Key: k" + id + "\r\n" : "");
        for (int i = 0; i < 2; i++) { // once more if the node closed the connection under it without reading it
            Lab.Http http = i == 0 ? idle.pollFirst() : null;
            boolean reused = http != null;
            try {
                http = reused ? http : new Lab.Http(port);
                http.socket.setSoTimeout(8000);
                http.send(message);
                call.sentAt = Lab.now();
                Lab.Message answer = http.receive();
                call.answeredAt = Lab.now();
                call.status = answer.status();
                if (answer.closes()) {
                    http.close();
                } else {
                    idle.addFirst(http);
                }
                Lab.log("answered " + id + " " + requestClass + " " + call.status);
                return call;
            } catch (IOException e) {
                if (http != null) {
                    http.close();
                }
                if (!reused) {
                    Lab.log("no answer " + id + ": " + e);
                    return call;
                }
            }
        }
        return call;
    }
}
