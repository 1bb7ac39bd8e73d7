import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.ToLongFunction;

/**
 * Sound sign workers: each takes a job with 202, starts waiting jobs in order in its slots, tells of start, progress
 * each second and end, with its free slots, on the address of the node that sent the job, and tries each call until it
 * is answered. A DELETE is confirmed and stops nothing. A connection that was idle for the time in the settings ends.
 */
final class Workers {
    /** An attempt that arrived: where, from which node (its number), and when its first byte came. */
    record Arrival(String worker, int node, String id, String requestClass, String key, double at, String remaining) {}

    static final class Worker {
        final String name;
        final int slots;
        final int[] ports; // one for each node, so that the worker knows which node sent a job
        final ExecutorService executor;
        volatile int busy;

        Worker(String name, int slots, int nodes) throws IOException {
            this.name = name;
            this.slots = slots;
            this.ports = new int[nodes];
            this.executor = Executors.newFixedThreadPool(slots, Workers::daemon);
        }

        synchronized int change(int by) {
            busy += by;
            return Math.max(0, slots - busy);
        }
    }

    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    private final int[] nodePorts;
    private final int idleMs;
    private final ToLongFunction<Lab.Message> workMs;
    private final Map<Integer, ConcurrentLinkedDeque<Lab.Http>> idle = new ConcurrentHashMap<>();
    private final ExecutorService news = Executors.newCachedThreadPool(Workers::daemon);

    Workers(int[] nodePorts, int idleMs, ToLongFunction<Lab.Message> workMs) {
        this.nodePorts = nodePorts;
        this.idleMs = idleMs;
        this.workMs = workMs;
        for (int i = 0; i < nodePorts.length; i++) {
            idle.put(i, new ConcurrentLinkedDeque<>());
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "worker");
        thread.setDaemon(true);
        return thread;
    }

    /** Starts a worker with this many slots. */
    Worker add(String name, int slots) throws IOException {
        Worker worker = new Worker(name, slots, nodePorts.length);
        for (int node = 0; node < nodePorts.length; node++) {
            ServerSocket listener = Lab.listen(0);
            worker.ports[node] = listener.getLocalPort();
            int from = node;
            Lab.thread("listener", () -> {
                while (true) {
                    Socket accepted = listener.accept();
                    Lab.thread("connection", () -> serve(worker, from, accepted));
                }
            });
        }
        workers.put(name, worker);
        return worker;
    }

    private int serve(Worker worker, int node, Socket accepted) throws Exception {
        accepted.setSoTimeout(idleMs);
        try (Lab.Http http = new Lab.Http(accepted)) {
            for (Lab.Message message = http.receiveOrEnd(); message != null; message = http.receiveOrEnd()) {
                if (message.start().startsWith("DELETE ")) {
                    Lab.log("give-up " + worker.name + " " + message.target());
                    http.send(Lab.response(204, ""));
                    continue;
                }
                Lab.Message job = message;
                String id = job.fields().get("x-txn");
                if (id == null) {
                    http.send(Lab.response(404, ""));
                    continue;
                }
                String requestClass = job.target().substring(1).split("[/?]")[0];
                Arrival arrival = new Arrival(
                        worker.name, node, id, requestClass, job.fields().get("idempotency-key"), job.firstByteAt(),
                        job.fields().get("x-remaining"));
                arrivals.add(arrival);
                Lab.log("arrives " + worker.name + " from n" + node + " " + id + " " + requestClass + " remaining "
                        + arrival.remaining());
                http.send(Lab.response(202, ""));
                worker.executor.execute(() -> work(worker, node, id, job));
            }
        } catch (SocketTimeoutException idleTooLong) {
            // ends
        }
        return 0;
    }

    private void work(Worker worker, int node, String id, Lab.Message job) {
        worker.change(1);
        tell(node, "{\"id\":\"" + id + "\",\"from\":\"" + worker.name + "\",\"state\":\"started\"}");
        long workMs = this.workMs.applyAsLong(job);
        try {
            for (long done = 0; done < workMs; ) {
                long step = Math.min(1000, workMs - done);
                Thread.sleep(step);
                done += step;
                if (done < workMs) {
                    tell(node, "{\"id\":\"" + id + "\",\"from\":\"" + worker.name + "\",\"state\":\"running\",\"share\":"
                            + (double) done / workMs + "}");
                }
            }
        } catch (InterruptedException e) {
            return;
        }
        int free = worker.change(-1);
        Lab.log("done " + worker.name + " " + id);
        tell(node, "{\"id\":\"" + id + "\",\"from\":\"" + worker.name + "\",\"state\":\"done\",\"result\":\"" + id
                + "\",\"load\":{\"x0\":" + free + "}}");
    }

    private void tell(int node, String object) {
        news.execute(() -> {
            String call = "POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: " + object.length() + "\r\n\r\n" + object;
            for (int i = 0; i < 10; i++) {
                Lab.Http http = idle.get(node).poll();
                try {
                    http = http == null ? new Lab.Http(nodePorts[node]) : http;
                    http.socket.setSoTimeout(2000);
                    http.send(call);
                    Lab.Message answer = http.receive();
                    if (answer.closes()) {
                        http.close();
                    } else {
                        idle.get(node).push(http);
                    }
                    return;
                } catch (IOException again) {
                    if (http != null) {
                        http.close();
                    }
                }
                try {
                    Thread.sleep(i == 0 ? 0 : 100);
                } catch (InterruptedException e) {
                    return;
                }
            }
            Lab.log("no answer to the news " + object);
        });
    }
}
