package olivechute.rig;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import olivechute.http.MessageWriter;

/**
 * A stub of discovery with one listener for each node, which returns the workers with their addresses for that node.
 * The list never changes, so a watch waits for its whole timeout.
 */
public final class DiscoveryStub implements AutoCloseable {
    private static final String INDEX = "1";

    private final WorkerStubs workers;
    private final String zone;
    private final Map<String, HttpStub> listeners = new HashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    public DiscoveryStub(WorkerStubs workers, String zone) {
        this.workers = workers;
        this.zone = zone;
    }

    /** Starts a listener for this node and returns its address in the form used in settings. */
    public synchronized String addNode(String node) {
        byte[] fullList = list(true, workers.entries(node, zone));
        byte[] emptyUpdate = list(false, "");
        HttpStub listener = new HttpStub("discovery", request -> {
            if (!INDEX.equals(request.queryParameter("since"))) {
                return fullList;
            }
            String wait = request.queryParameter("timeout_ms");
            closed.await(wait == null ? 1000 : Math.min(60_000, Long.parseLong(wait)), TimeUnit.MILLISECONDS);
            return emptyUpdate;
        });
        listeners.put(node, listener);
        return listener.hostAndPort();
    }

    private static byte[] list(boolean snapshot, String entries) {
        return MessageWriter.response(
                200,
                ("{\"index\":" + INDEX + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + entries + "]}")
                        .getBytes(StandardCharsets.UTF_8),
                true);
    }

    @Override
    public synchronized void close() {
        closed.countDown();
        listeners.values().forEach(HttpStub::close);
    }
}
